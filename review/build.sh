#!/bin/sh
# Checks that every stand-in that the scripts start can be run. They are plain
# Python with the standard library only; the nodes come from deploy/build.sh.
set -eu
cd "$(dirname "$0")"
python3 -c '
import pathlib, sys
for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
'
test -d ../target/deps/almondshift || {
    echo "run deploy/build.sh first" >&2
    exit 1
}
