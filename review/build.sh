#!/bin/sh
# The stand-ins and the plays are Python without packages: building them is compiling them.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q standins 1 2 3
