#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They are Python, so this only
# compiles them and checks that the build of the deploy file is there.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -d target/deps ] || { echo 'run the build of the deploy file first'; exit 1; }
python3 -m compileall -q review standins/__init__.py \
  standins/platform_store.py standins/platform_ranks.py standins/rank_orders.py
export PYTHONPATH="$PWD/target/deps:$PWD:$PWD/review"
python3 -c 'import harness, standins.platform_ranks'
