#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They need the standard library of the
# python3 on the path alone (3.11 or newer), so they are only checked here; the
# cases start the daemons from what the build of the deploy file leaves in target/.
set -e
cd "$(dirname "$0")"
python3 - standin_2.py [6-9]/case.py 10/case.py <<'END'
import sys

for path in sys.argv[1:]:
    with open(path, "rb") as file:
        compile(file.read(), path, "exec")
END
END_OF_BUILD=done
echo "stand-ins: $END_OF_BUILD"
