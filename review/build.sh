#!/bin/sh
# Builds the stand-ins of the scripts. They are Python on its standard library (3.11 or newer), so
# this only checks that they can be read.
set -e
cd "$(dirname "$0")"
python3 - <<'CHECK'
import pathlib
import sys
assert sys.version_info >= (3, 11), "Python 3.11 or newer is needed"
for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
CHECK
