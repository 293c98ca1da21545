#!/bin/sh
# Builds the stand-ins of review/11 to review/15: Python, without packages
# beyond those that the build of the deploy file puts into target/deps.
set -eu
cd "$(dirname "$0")/.."
[ -d target/deps/bergamotshed ] || {
  echo 'target/deps is missing: run the build of deploy/system.toml first' >&2
  exit 1
}
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps python3 - <<'CHECK'
import ast
import pathlib

for path in sorted(pathlib.Path('review').glob('1[1-5]/*.py')) + sorted(
    pathlib.Path('review/standins-3').glob('*.py')
):
    ast.parse(path.read_text(), str(path))
import aiohttp  # noqa: F401  needed by the stand-in of the store
CHECK
