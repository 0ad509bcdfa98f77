#!/usr/bin/env bash
# Plays seeds of requests that may run once: the real programs, servers that turn away in each
# form and repeat answers late, and a record of runs against what callers were told. About 16 s a
# seed. A request that ran twice, or was refused and ran, is printed with its log lines.
#
#   scripts/once.sh [SEEDS [FIRST [FLAG...]]]     default: 25 seeds from one taken from the clock
#
# Flags: the shape of the deployment (-once.hosts, .disks, .zones, .engines, .models, .plain), the load
# (-once.rate, .streams), -once.length, -once.load, -once.series, -once.pauses=false, -once.program PATH
# (another build)
set -euo pipefail
cd "$(dirname "$0")/.."
seeds=${1:-25} first=${2:-$(date +%s)}
shift $(($# < 2 ? $# : 2))
echo "seeds $first to $((first + seeds - 1))"
exec go test ./platform -run 'TestRequestsRunOnce$' -count=1 -timeout $((2 * seeds + 5))m -v -once.seeds "$seeds" -once.first "$first" "$@"
