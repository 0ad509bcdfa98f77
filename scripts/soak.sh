#!/usr/bin/env bash
# Runs seeds of the fault soak test: the real programs run as separate processes under
# random injected faults and are checked by what callers and operators observe. Takes
# about 12 s a seed. A seed that fails prints the last log lines of all processes.
#
#   scripts/soak.sh [SEEDS [FIRST [FLAG...]]]     default: 50 seeds from one taken from the clock
#
# Flags: -soak.length, -soak.old PATH (another build on every second host), -soak.program PATH (on all)
set -euo pipefail
cd "$(dirname "$0")/.."
seeds=${1:-50} first=${2:-$(date +%s)}
shift $(($# < 2 ? $# : 2))
echo "seeds $first to $((first + seeds - 1))"
exec go test ./platform -run 'TestSoak$' -count=1 -timeout $((seeds + 5))m -v -soak.seeds "$seeds" -soak.first "$first" "$@"
