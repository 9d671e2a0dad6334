#!/bin/sh
# Builds what the cases 6 to 9 start beside the program: the stand-ins are plain Python of the standard library, so
# there is nothing to fetch or compile; this checks that the interpreter of the deploy file's build can load them.
set -eu
cd "$(dirname "$0")/.."
test -x .venv/bin/python
for file in review/scene_2.py review/[6-9]/case_2.py; do
    test ! -e "$file" || .venv/bin/python -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
