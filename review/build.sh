#!/bin/sh
# The stand-ins are Python 3 programs of the standard library: nothing is compiled, their text is only checked.
set -eu
cd "$(dirname "$0")"
exec python3 -B - standins/*.py */case.py <<'PYTHON'
import sys
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
    print("checked", path)
PYTHON
