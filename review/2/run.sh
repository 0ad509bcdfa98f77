#!/usr/bin/env bash
# Exits with 1 if a request that may run once at most ran twice or ran though it was refused, 0 if
# not, 2 if the case could not run. TROUBLE=0 plays it without late extra answers.
set -u
cd "$(dirname "$0")/../.."
[ -x review/bin/case2 ] && [ -x target/cassiapass-platform ] || exit 2
exec review/bin/case2 "${RECORD:-review/2/record.txt}"
