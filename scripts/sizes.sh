#!/usr/bin/env bash
# Plays what a node, a relay and a watcher do in fleets of several sizes, and writes the figures and their plot to
# docs/sizes.txt and docs/sizes.svg. Takes about two minutes; run it on a machine that does nothing else.
set -eu
cd "$(dirname "$0")/.."
bench() { go test "$1" -run XXX -bench "$2" -benchtime "${3:-200ms}"; }
{
  echo "# $(git rev-parse --short HEAD 2>/dev/null || echo 'no commit'), $(nproc) cores"
  bench ./internal/edge 'IdleNode|ListUpdate|RelayNode'
  bench ./internal/edge 'NodeMemory' 1x
  bench ./internal/pool 'PickLarge'
  bench ./internal/quota 'LargeFleet'
  bench ./internal/relay 'Relay$' 1x
} | grep -E '^#|^Benchmark' | tee docs/sizes.txt
bin/spurhall-standin plot <docs/sizes.txt >docs/sizes.svg
