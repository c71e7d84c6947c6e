"""Runs the `marjoramyard` command as `python3 -m marjoramyard.fleet`."""

from marjoramyard.fleet.cmd.daemon import main

main()
