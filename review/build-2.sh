#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start. They are Python 3.11 programs of the
# standard library, so this only checks that each of them compiles. The gateway itself comes from the build of the
# deploy file.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || {
    echo "python3 of version 3.11 or later is needed" >&2
    exit 2
}
for file in stand-2/*.py [0-9]*/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
echo "stand-ins are ready"
