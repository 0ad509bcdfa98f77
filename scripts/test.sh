#!/usr/bin/env bash
# Runs every check. The README names this as the test command.
set -euo pipefail
cd "$(dirname "$0")/.."
export CGO_ENABLED=1

echo "== format"
unformatted=$(gofmt -l cmd internal platform)
if [ -n "$unformatted" ]; then
  echo "not formatted:"; echo "$unformatted"; exit 1
fi

echo "== vet"
go vet ./...

echo "== staticcheck"
go tool staticcheck ./...

echo "== build, linked to the C library"
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
go build -o "$bin/" ./cmd/...
for f in "$bin"/*; do
  if ! go version -m "$f" | grep -q 'CGO_ENABLED=1' || ! readelf -d "$f" | grep -q 'NEEDED.*libc\.so'; then
    echo "$(basename "$f") is not linked to the C library dynamically"; exit 1
  fi
done

# KNOWN-RED.txt lists the tests that fail for a known fault, one a line, with the cause.
# They run separately and their results are printed; every other test must pass.
known=$(grep -oE '^Test[A-Za-z0-9_]+' KNOWN-RED.txt 2>/dev/null | paste -sd '|' || true)

# Tests beside crowds of clients measure the memory of processes. They run one at a time, apart from
# other load, without the race detector.
crowds='TestCrowd[A-Za-z0-9_]*'

echo "== test with the race detector"
go test -race -timeout 20m -skip "^($crowds${known:+|$known})\$" ./...

echo "== crowds of clients, one test at a time"
go test -count=1 -p 1 -timeout 20m -run "^$crowds\$" ${known:+-skip "^($known)\$"} ./platform ./internal/app/daemon

# Tests that depend on the time that large messages take run here without the race detector,
# at full size; above, with the detector, they run at a tenth of that size.
echo "== large messages without the race detector"
go test -count=1 -run 'Large|RepeatedDeployment' ./internal/app/control

echo "== random schedules of permits without the race detector"
CASSIAPASS_SCHEDULES=3000 go test -count=1 -run RandomSchedulesKeepToTheLimits ./internal/core/allowance

# Decoders of external input must accept arbitrary bytes without a fault. A few seconds each
# find simple mistakes; a failing input is stored under testdata/fuzz and becomes a test. The
# end is a number of inputs: at a time limit the fuzzer itself may fail with an exceeded deadline.
echo "== fuzz what is read from outside, 100000 inputs each"
for target in FuzzListEntry FuzzReport FuzzDocument FuzzCredential FuzzPause FuzzParts; do
  go test ./platform -run '^$' -fuzz "^$target\$" -fuzztime 100000x -fuzzminimizetime 20x | grep -E '^(ok|FAIL|---)|context|testdata'
done

echo "== fuzz answers of endpoints"
for target in FuzzAnswer FuzzAnswerHeadsAreReadOneWay; do
  go test ./internal/adapter/http1 -run '^$' -fuzz "^$target\$" -fuzztime 100000x -fuzzminimizetime 20x | grep -E '^(ok|FAIL|---)|context|testdata'
done
for target in FuzzFramingIsReadAsMeant FuzzCallersReadWhatEndpointsSay; do
  go test ./internal/app/gateway -run '^$' -fuzz "^$target\$" -fuzztime 5000x -fuzzminimizetime 20x | grep -E '^(ok|FAIL|---)|context|testdata'
done

echo "== fuzz what is read back from a disk, 20000 inputs each"
for target in FuzzSegment FuzzSnapshot; do
  go test ./internal/adapter/disklog -run '^$' -fuzz "^$target\$" -fuzztime 20000x -fuzzminimizetime 20x | grep -E '^(ok|FAIL|---)|context|testdata'
done

if [ -n "$known" ]; then
  echo "== known to fail, see KNOWN-RED.txt"
  cat KNOWN-RED.txt
  { go test -run "^($known)\$" ./... 2>&1 || true; } | grep -E '^ *--- ' || echo "none of them failed: take them off the list"
fi
