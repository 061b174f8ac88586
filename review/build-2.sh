#!/usr/bin/env bash
# Builds the stand-ins of the second review. The program under review is built as the deploy file says.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/stand2 ./review/stand2
