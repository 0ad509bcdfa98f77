#!/usr/bin/env bash
# Exits with 1 if a configuration that was acknowledged was lost, 0 if not, 2 if the case could not run.
# TROUBLE=0 plays it without freezes and kills.
set -u
cd "$(dirname "$0")/../.."
[ -x review/bin/case1 ] && [ -x target/cassiapass-platform ] || exit 2
exec review/bin/case1 "${RECORD:-review/1/record.txt}"
