#!/bin/sh
# Runs the case in the given folder: 0 the rule held, 1 it was broken, 2 the
# case could not be run.
python3 -S "$1/case.py"
case $? in
  0) exit 0 ;;
  10) exit 1 ;;
  *) exit 2 ;;
esac
