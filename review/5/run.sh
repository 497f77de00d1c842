#!/usr/bin/env bash
# Plays the case; see claim.txt. Needs the build of the deploy file and review/build.sh.
# TROUBLE=0 leaves the disruption out. Exit code: 1 the rule was broken, 0 it held, 2 the case
# could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-standin ] || exit 2
export TROUBLE="${TROUBLE:-1}"
exec target/review-standin lateturn "review/5/record.txt"
