#!/usr/bin/env bash
# Compiles the stand-ins and cases. They need nothing but python3 itself; the
# instances that they start are what the deploy file's build puts into target/.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q .
