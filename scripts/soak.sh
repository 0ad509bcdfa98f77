#!/usr/bin/env bash
# Plays seeds of the fault soak: the real programs as processes of their own, broken
# from outside at random, checked by what callers and operators see. About 12 s a seed;
# ends by itself. A seed that fails prints the last log lines of all processes.
#
#   scripts/soak.sh [SEEDS [FIRST]]     50 seeds from a first one drawn by the clock
set -euo pipefail
cd "$(dirname "$0")/.."
seeds=${1:-50} first=${2:-$(date +%s)}
echo "seeds $first to $((first + seeds - 1))"
exec go test ./platform -run 'TestSoak$' -count=1 -timeout $((seeds + 5))m -v -soak.seeds "$seeds" -soak.first "$first"
