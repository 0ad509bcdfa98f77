#!/usr/bin/env bash
# Exits with 1 if more than two streams hold events of two software versions, 0 if not, 2 if the case
# could not run. TROUBLE=0 plays it without kills.
set -u
cd "$(dirname "$0")/../.."
[ -x review/bin/case3 ] && [ -x target/cassiapass-platform ] || exit 2
exec review/bin/case3 "${RECORD:-review/3/record.txt}"
