#!/bin/sh
# Builds the stand-ins of review/4 and later: they are Python without packages, so they are compiled.
set -e
cd "$(dirname "$0")/.."
python3 -m compileall -q review/rig-2 review/[4-8]
