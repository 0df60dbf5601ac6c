#!/bin/sh
# Prepares what the scripts in review/6 to review/10 start beside the hosts.
# Their stand-ins, in review/standins2, are plain Python with the standard
# library only, so that nothing is installed: this checks that they compile.
set -eu
cd "$(dirname "$0")"
exec python3 -B - standins2/*.py [0-9]*/case.py <<'EOF'
import pathlib
import sys

assert sys.version_info >= (3, 11), "Python 3.11 or later is needed"
for name in sys.argv[1:]:
    compile(pathlib.Path(name).read_bytes(), name, "exec")
EOF
