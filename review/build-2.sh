#!/usr/bin/env bash
# Builds what the scripts of the second review start: the nodes' libraries, as
# the deploy file does, and the stand-ins, which are Python beside these.
set -euo pipefail
cd "$(dirname "$0")/.."
build=$(python3 - <<'END'
import tomllib
with open('deploy/system.toml', 'rb') as deploy:
    print(tomllib.load(deploy)['build'])
END
)
mkdir -p target
bash -c "$build"
export PYTHONPATH="$PWD/target/deps:$PWD"
python3 -m compileall -q review/second
python3 -c 'import review.second.tests.fleet'
