#!/bin/sh
# Builds what the scripts of cases 6 to 10 start besides the programs of the deploy file: nothing has to be
# compiled, as their stand-ins are Python with its standard library alone. Checks that they can be started.
set -eu
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 8))' || { echo "Python 3.8 or later is needed" >&2; exit 1; }
python3 -c 'import ast, sys
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        ast.parse(file.read(), name)' review/standins-2/standins.py $(ls review/*/case.py)
[ -x target/release/hillstall ] || { echo "run the build of deploy/balancer.toml first" >&2; exit 1; }
echo "the stand-ins are ready"
