#!/bin/sh
# Installs the product and its dependencies into target/deps, from which hosts start.
#
# Files that are up to date are not replaced: hosts that run from target/deps may restart at any
# time, and a host that starts while its code is being copied exits immediately.
set -eu
deps=target/deps
if [ ! "$deps/.built" -nt pyproject.toml ] || [ ! "$deps/.built" -nt constraints.txt ]; then
    rm -rf "$deps"
    python3 -m pip install -q --target "$deps" -c constraints.txt .
    touch "$deps/.built"
fi
if ! diff -rq -x __pycache__ src/tanagerscale "$deps/tanagerscale" > /dev/null 2>&1; then
    rm -rf target/next "$deps/tanagerscale"
    cp -r src/tanagerscale target/next
    mv target/next "$deps/tanagerscale"
    python3 -m compileall -q "$deps/tanagerscale"
fi
# The image is replaced atomically: a host that starts meanwhile reads either the old or the new one.
PYTHONPATH="$deps" python3 -S deploy/build_image.py target/host.image
