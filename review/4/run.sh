#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. Plays two orders of
# events, one after the other; either breaks the rule.
# Needs the build of deploy/system.toml and review/build.sh. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[[ -x target/review/release/review && -x target/release/geraniummount ]] || exit 2
target/review/release/review stale . review/4/record.txt
first=$?
record=$(mktemp)
trap 'rm -f "$record"' EXIT
target/review/release/review regress . "$record"
second=$?
cat "$record" >>review/4/record.txt
((first == 1 || second == 1)) && exit 1
((first == 0 && second == 0)) && exit 0
exit 2
