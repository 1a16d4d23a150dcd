#!/usr/bin/env bash
# Prints every table with its baseline. Takes about eight minutes; run it on a machine
# that does nothing else.
set -eu
cd "$(dirname "$0")/.."
echo "# $(git rev-parse --short HEAD 2>/dev/null || echo 'no commit'), $(nproc) cores"
table() { grep -E '^Benchmark|^---|FAIL' | sed -E 's/^Benchmark//; s/-[0-9]+[[:space:]]+[0-9]+[[:space:]]+/\t/; s/0 ns\/op//'; }
echo "## decisions"
go test ./internal/measure -run XXX -bench 'Routing|Spread|Weights|Limits|Retries|Reclaim' -benchtime 1x | table
go test ./internal/measure -run XXX -bench 'Pick70' | table
echo "## speed of the path"
go test ./internal/node -run XXX -bench 'PlainCall|Stream|Leaving|ConfigInForce|PlannedStop' -benchtime 1x | table
echo "## control cost"
go test ./internal/node -run XXX -bench 'Control' -benchtime 1x -timeout 20m | table
