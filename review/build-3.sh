#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. They are in Python 3.11 and need nothing but its standard library.
set -e
cd "$(dirname "$0")/.."
python3 -c 'import sys; assert sys.version_info >= (3, 11), "Python 3.11 is needed"'
python3 -B -c 'import ast, pathlib
for path in sorted(pathlib.Path("review").glob("stand-3/*.py")) + sorted(pathlib.Path("review").glob("1[1-5]/*.py")):
    ast.parse(path.read_text(encoding="utf-8"), str(path))'
test -x target/release/mulberrymill || { echo "build the program of deploy/system.toml first" >&2; exit 1; }
