#!/usr/bin/env bash
# Measures all cost slopes and rewrites docs/capacity.json and the computed part of
# docs/CAPACITY.md. Takes about three minutes.
set -euo pipefail
cd "$(dirname "$0")/.."
dir=$(mktemp -d)
go build -o "$dir/" ./cmd/cassiapass-control ./cmd/cassiapass-capacity
echo "a-key-for-measuring" > "$dir/key"
"$dir/cassiapass-control" --host capacity-1 --availability-zone a --listen 127.0.0.1:7801 \
  --operator-listen 127.0.0.1:7802 --insecure-no-operator-token --shared-key-file "$dir/key" \
  --data "$dir/data" --bootstrap --log-level error &
pid=$!
trap 'kill "$pid" 2>/dev/null || true; wait "$pid" 2>/dev/null || true; rm -rf "$dir"' EXIT
until (exec 3<>/dev/tcp/127.0.0.1/7802) 2>/dev/null; do sleep 0.1; done
"$dir/cassiapass-capacity" --control 127.0.0.1:7801 --control-url http://127.0.0.1:7802 \
  --control-pid "$pid" --shared-key-file "$dir/key"
