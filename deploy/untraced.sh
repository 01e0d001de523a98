#!/usr/bin/env bash
# Counts the failed requests of a played day that no log line explains.
#
# Usage: deploy/untraced.sh LOG, with LOG the output of
#   fleetbench run SITE DAY --log all
# A request of the report's list of those not served is explained if the logs
# have a line with its id that says how it ended, or if no gateway got it.
set -euo pipefail
log=$1
ids=$(grep -oE 'request [0-9a-f]{16} ' "$log" | awk '{print $2}' | sort -u | head -50)
untraced=0
total=0
for id in $ids; do
    total=$((total + 1))
    if grep -q "event=request id=$id .*outcome=" "$log"; then continue; fi
    if grep -A3 "request $id " "$log" | grep -qE 'no connection|not read|cut'; then continue; fi
    untraced=$((untraced + 1))
    echo "no line explains $id"
done
echo "$untraced of $total failed requests have no line that explains them"
