#!/bin/sh
# Installs the product and its dependencies into target/deps, from which hosts start.
set -eu
exec python3 -S deploy/build_product.py
