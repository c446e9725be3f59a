#!/bin/sh
# Exit 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0 leaves out the disruption.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
test -x .venv/bin/python || exit 2
PYTHONPATH="$here/../standins-2" exec .venv/bin/python "$here/case.py" "$here"
