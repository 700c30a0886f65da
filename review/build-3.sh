#!/bin/bash
# Builds the stand-ins of the scripts in review/11 to review/15: compiles them, and checks that they
# can be imported with the libraries that the build of the deploy file has put into target/deps.
set -e
source "$(dirname "${BASH_SOURCE[0]}")/stage-3/prepare.sh"
python3 -m compileall -q review/stage-3 packages/goldcrestgrade-testing/goldcrestgrade_testing
python3 -c "import stage"
