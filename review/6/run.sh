#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
# With TROUBLE=0 it does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/elmcove ] && [ -x target/stand2 ] || exit 2
export TROUBLE="${TROUBLE:-1}"
exec target/stand2 grey target/elmcove review/6/record.txt
