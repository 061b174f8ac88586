#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/elmcove ] && [ -x target/stand2 ] || exit 2
exec target/stand2 tenant target/elmcove review/7/record.txt
