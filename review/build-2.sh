#!/bin/sh
# Builds the stand-ins that the scripts of cases 4 to 7 start.
set -e
cd "$(dirname "$0")/.."
python3 -m compileall -q tests/real_processes review/second review/4 review/5 review/6 review/7
