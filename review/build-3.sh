#!/usr/bin/env bash
# Builds the programs that the scripts of the cases 11 to 15 start, with the stand-ins that they contain. Run it after the build of
# deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for case in review/1[1-5]; do
  if [ -f "$case/main.go" ]; then
    go build -o "target/review-3/$(basename "$case")" "./$case"
  fi
done
