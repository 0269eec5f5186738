#!/bin/sh
# Builds what the scripts of this review start besides the nodes: stand-ins in
# Python that use the standard library only. There is nothing to install; this
# checks that they compile. The nodes come from deploy/build.sh.
set -eu
cd "$(dirname "$0")/.."
test -d target/deps/almondshift
python3 - <<'CHECK'
import pathlib

for folder in ("common-2", "6", "7", "8", "9", "10"):
    for path in sorted(pathlib.Path("review", folder).glob("*.py")):
        compile(path.read_text(encoding="utf-8"), str(path), "exec")
CHECK
