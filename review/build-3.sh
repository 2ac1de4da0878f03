#!/bin/sh
# Checks that the stand-ins of the cases 11 to 15 can run. They are Python files and need no build.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 11)'
for file in harness-3/*.py 1[1-5]/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
