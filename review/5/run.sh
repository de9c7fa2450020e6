#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/citronvane-node ] || [ ! -x target/review/case5 ]; then
  echo "build first: the build line of deploy/system.toml, then review/build.sh"
  exit 2
fi
target/review/case5 review/5
