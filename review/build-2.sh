#!/usr/bin/env bash
# Builds the stand-ins that the scripts in review/6 to review/10 start. The build of the deploy file comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/standin ./test/standin
go build -o target/review-2/rig ./review/rig
