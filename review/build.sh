#!/bin/sh
# Prepares the stand-ins of all cases; they are Python programs that need only target/deps.
cd "$(dirname "$0")/.." || exit 1
python3 -m compileall -q review packages/goldcrestgrade-testing/goldcrestgrade_testing
