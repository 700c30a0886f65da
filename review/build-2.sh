#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/6 and later. They need the standard library only.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q support_2.py ./*/play.py
