#!/bin/sh
# Checks that what the cases of the second review start can be started. The stand-ins are Python
# modules of the project (standins/) and of the cases; they need target/, but no build of their own.
set -eu
cd "$(dirname "$0")/.."
if ! test -f target/host.image; then
    echo "target/ is missing: run the build of the deploy file first" >&2
    exit 1
fi
PYTHONPATH="$PWD:$PWD/target/deps" PYTHONDONTWRITEBYTECODE=1 python3 - <<'PYTHON'
import importlib
import pathlib

for name in ("platform_engine", "platform_store", "platform_world"):
    importlib.import_module(f"standins.{name}")
path = pathlib.Path("review/4/case.py")
compile(path.read_text(), str(path), "exec")
PYTHON
