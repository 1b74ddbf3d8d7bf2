#!/bin/sh
# Builds the stand-ins of the cases: Python modules of the standard library.
here=$(cd "$(dirname "$0")" && pwd)
exec python3 -m compileall -q "$here/tests"
