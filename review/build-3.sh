#!/usr/bin/env bash
# The stand-ins of cases 11 to 15 need no build: they are run by python3 with its
# standard library alone. This only checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 - standin_3.py 1[1-5]/case.py <<'CHECK'
import sys

for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as source:
        compile(source.read(), name, "exec")
CHECK
