#!/bin/sh
# Checks the stand-ins and scripts of the cases. They are plain Python files
# that only use the standard library, so nothing has to be compiled.
set -eu
cd "$(dirname "$0")"
for file in *.py [0-9]/*.py; do
  [ -e "$file" ] || continue
  python3 -S -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
