#!/bin/sh
# The stand-ins of review/6 to review/10 are Python files that use the standard library only, run by the
# interpreter that `build` of deploy/balancer.toml leaves in .venv: this checks that they compile and needs no network.
cd "$(dirname "$0")/.." || exit 1
exec .venv/bin/python - <<'PY'
import ast
import pathlib

for folder in ("standins-2", "6", "7", "8", "9", "10"):
    for path in sorted(pathlib.Path("review", folder).glob("*.py")):
        ast.parse(path.read_text(), str(path))
PY
