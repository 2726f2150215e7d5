#!/bin/sh
# Puts the libraries and the product's code into target/deps, for hosts to start from.
#
# Nothing is replaced that is the same already: hosts that run from target/deps restart at any time,
# and one that starts while its code is being copied ends at once.
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
# It is replaced at once, so that a host which starts meanwhile reads the old or the new one.
PYTHONPATH="$deps" python3 -S deploy/build_image.py target/host.image
