#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays the same without what breaks the rule; case.py reads it.
python3 -c 'import asyncio, tomllib; asyncio.timeout' || exit 2
TROUBLE="${TROUBLE:-1}" exec python3 "$(dirname "$0")/case.py"
