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

echo "== test with the race detector"
go test -race -timeout 20m ./...
