#!/bin/sh
# Runs the case: exit 1 if the rule was broken, 0 if it held, 2 if it can't run.
cd "$(dirname "$0")/../.." || exit 2
# TROUBLE=0 leaves the disruption out.
TROUBLE="${TROUBLE:-1}"
export TROUBLE
exec python3 review/5/case.py
