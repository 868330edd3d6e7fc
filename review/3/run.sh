#!/usr/bin/env bash
# Plays the case; see claim.txt. TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if it held, 2 if it
# could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/review-rig ] && [ -x bin/swifthall ] || { echo "build first: deploy/balancer.toml, review/build.sh" >&2; exit 2; }
exec bin/review-rig indented review/3
