#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# Needs the build of deploy/system.toml and review/build.sh. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[[ -x target/review/release/review && -x target/release/geraniummount ]] || exit 2
exec target/review/release/review expired . review/2/record.txt
