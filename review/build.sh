#!/usr/bin/env bash
# The stand-ins are Python and need only the standard library: building them is compiling them.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q common [1-5]
