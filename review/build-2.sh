#!/bin/sh
# Builds the stand-ins of the cases 6, 8, 9 and 10. They are written in Python with
# what the build of the deploy file has installed; this compiles them, so that
# an error shows before a case is run.
set -e
here=$(cd "$(dirname "$0")" && pwd)
python3 -m compileall -q -f "$here/lab" "$here/6" "$here/8" "$here/9" "$here/10"
PYTHONPATH="$here/../target/deps:$here" python3 -c 'import lab.poison, lab.site'
