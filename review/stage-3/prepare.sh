# Sourced by the scripts: goes to the root of the repository and sets the import path of stand-ins.
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
packages="$PWD/packages"
export PYTHONPATH="$PWD/target/deps:$packages/goldcrestgrade:$packages/goldcrestgrade-node:$packages/goldcrestgrade-testing:$PWD/review/stage-3"
python3 -c "import stage" || exit 2
