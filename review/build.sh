#!/usr/bin/env bash
# Builds what the scripts of the cases start beside the programs of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/ ./test/standin ./review/harness
