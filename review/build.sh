#!/bin/sh
# Builds the stand-ins of the scripts: they are Python and need no package, so
# this checks that they compile and that the build of the deploy file is there.
set -e
cd "$(dirname "$0")/.."
test -d target/deps || { echo "build the deploy file first" >&2; exit 2; }
for file in review/standin.py review/[1-5]/case.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
