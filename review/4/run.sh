#!/bin/sh
# Runs the case on real processes; see claim.txt. TROUBLE=0 leaves out the outage.
cd "$(dirname "$0")/../.."
exec env PYTHONPATH="$PWD:$PWD/target/deps" PYTHONDONTWRITEBYTECODE=1 python3 review/4/case.py
