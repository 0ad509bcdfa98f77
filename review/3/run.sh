#!/usr/bin/env bash
# Exits with 1 if a request reached a server later than drainMs after the list showed that it drains,
# 0 if none did, 2 if the case could not run. TROUBLE=0 plays it with a platform that answers at once.
set -u
cd "$(dirname "$0")/../.."
[ -x review/bin/case3 ] && [ -x target/cassiapass-platform ] || exit 2
exec review/bin/case3 review/3/record.txt
