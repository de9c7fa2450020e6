#!/bin/bash
# Case 10. Exit code 0: the rule held, 1: it was broken, 2: the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-10 ] && [ -x target/citronvane-node ] || { echo "run the build of deploy/system.toml and review/build-2.sh first"; exit 2; }
exec timeout -k 5 118 target/review-10 -folder review/10
