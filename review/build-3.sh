#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15: Python, so they are compiled only.
# The store is the project's own stand-in, sesameroute/platform/tests.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review/third sesameroute/platform/tests
test -d target/deps
