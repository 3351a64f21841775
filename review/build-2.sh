#!/bin/sh
# Checks that the stand-ins of this review can be loaded. They are Python and
# use only the project's own stand-ins and what the deploy file's build puts
# into target/deps, so nothing has to be compiled.
cd "$(dirname "$0")/.." || exit 1
export PYTHONPATH=target/deps
export PYTHONDONTWRITEBYTECODE=1
python3 -c 'import sys; sys.path.insert(0, "review"); import rank_site' || exit 1
for case in review/[4-8]/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$case" ||
        exit 1
done
