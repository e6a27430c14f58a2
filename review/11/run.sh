#!/usr/bin/env bash
# After a rebirth under its id and a change of the leader, a minion that is cut off is given up too soon: a task runs twice at once.
# TROUBLE=0 plays the same without the disruption. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
set -uo pipefail
case_folder=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
cd "$case_folder/../.." || exit 2
source scripts/find-java || exit 2
[ -d target/review-3 ] && [ -f target/platform/nettlering.jar ] || { echo "build first" >&2; exit 2; }
exec timeout -k 5 115 "$JAVA_HOME/bin/java" -Dhold_max_ms=10000 -Dstop_grace_ms=900 -Xmx256m -XX:+UseSerialGC -Djdk.httpclient.allowRestrictedHeaders=host \
    -cp target/review-3 ClockOfAFormerLife "$case_folder/record.txt"
