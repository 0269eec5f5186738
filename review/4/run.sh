#!/bin/sh
# Runs the case: exit 1 if the rule was broken, 0 if it held, 2 if it can't run.
cd "$(dirname "$0")/../.." || exit 2
exec python3 review/4/case.py
