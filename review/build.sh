#!/bin/sh
# The stand-ins need nothing but Python; this checks that they compile.
cd "$(dirname "$0")/.." || exit 1
exec python3 - <<'PYTHON'
import pathlib

for path in sorted(pathlib.Path("review").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
PYTHON
