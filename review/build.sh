#!/bin/sh
# Checks that the stand-ins and cases compile and import; they need Python's standard library only.
set -eu
cd "$(dirname "$0")"
python3 -B - <<'PYTHON'
import pathlib
import sys

sys.dont_write_bytecode = True
for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
import stand_callers
PYTHON
test -f ../target/host.image || echo "target/ is missing: run the build of the deploy file first" >&2
