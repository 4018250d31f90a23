#!/bin/sh
# The stand-ins of cases 6 to 10 are Python files that need the standard library only: nothing is compiled or
# installed. This checks that all of them can be read by the Python that runs them.
set -eu
cd "$(dirname "$0")"
python=../.venv/bin/python
[ -x "$python" ] || python=python3
for file in bench2.py 6/case.py 7/case.py 8/case.py 9/case.py 10/case.py; do
    [ ! -f "$file" ] || "$python" -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
