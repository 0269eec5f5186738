#!/bin/sh
# Lays the pinned libraries and the package into target/deps, where the
# platform's Python looks. Libraries are installed again only when pins change.
set -eu
deps=target/deps
mkdir -p target
if ! cmp -s requirements.txt target/requirements.built; then
    rm -rf "$deps"
    python3 -m pip install -q --disable-pip-version-check \
        --target "$deps" -r requirements.txt
    cp requirements.txt target/requirements.built
fi
rm -rf "$deps/almondshift"
cp -r src/almondshift "$deps/almondshift"
python3 -m compileall -q "$deps/almondshift"
