#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH="$PWD/target/deps"
export PYTHONPATH
python3 -c 'import sys; sys.path.insert(0, "review"); import support' || exit 2
exec python3 review/5/case.py
