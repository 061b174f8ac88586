#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. It needs no network: they use Go's standard
# library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/stand ./review/stand
