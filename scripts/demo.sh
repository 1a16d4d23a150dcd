#!/usr/bin/env bash
# The whole path on loopback: a platform, two halls with two nodes each, three
# engines and a plain service. Ends only the processes that it started.
set -eu
cd "$(dirname "$0")/.."
BASE=${DEMO_PORT:-23000}
LOG=$(mktemp -d)
PIDS=()
cleanup() {
  for p in "${PIDS[@]}"; do kill "$p" 2>/dev/null || true; done
  for p in "${PIDS[@]}"; do wait "$p" 2>/dev/null || true; done
}
trap cleanup EXIT
at() { echo "127.0.0.1:$((BASE + $1))"; }
run() { local name=$1; shift; "$@" >"$LOG/$name.log" 2>&1 & PIDS+=($!); }

run platform bin/spurhall-standin platform --listen "$(at 0)"
sleep 0.3
run e1 bin/spurhall-standin engine --listen "$(at 1)" --platform "http://$(at 0)" --id e1 --pool llm --hall hall-a --zone zone-1 --reclaimable --price 1
run e2 bin/spurhall-standin engine --listen "$(at 2)" --platform "http://$(at 0)" --id e2 --pool llm --hall hall-a --zone zone-2 --reclaimable --price 1
run e3 bin/spurhall-standin engine --listen "$(at 3)" --platform "http://$(at 0)" --id e3 --pool llm --hall hall-b --zone zone-3 --price 3
run orders bin/spurhall-standin plain --listen "$(at 4)" --platform "http://$(at 0)" --id o1 --pool orders --hall hall-a --zone zone-1
NODES=() ADMINS=()
i=0
for v in a1:hall-a a2:hall-a b1:hall-b b2:hall-b; do
  c=$((10 + i * 10))
  run "node-${v%%:*}" bin/spurhalld --vm "${v%%:*}" --hall "${v##*:}" --platform "http://$(at 0)" \
    --listen "$(at $c)" --peer-listen "$(at $((c + 1)))" --admin-listen "$(at $((c + 2)))" --seed "$(at 11)" --seed "$(at 31)"
  NODES+=(--node "$(at $c)")
  ADMINS+=(--node "$(at $((c + 2)))")
  i=$((i + 1))
done
for try in $(seq 1 50); do
  bin/spurhall --node "$(at 12)" status >/dev/null 2>&1 && break
  sleep 0.1
done
sleep 2
bin/spurhall --node "$(at 12)" apply -f examples/print-host.yaml -f examples/courier.yaml --note "first revision" --wait
sleep 1
rc=0
bin/spurhall-standin demo --platform "$(at 0)" "${NODES[@]}" --plain "$(at 4)" \
  --engine "e1=$(at 1)" --engine "e2=$(at 2)" --engine "e3=$(at 3)" || rc=$?
echo
echo "time line of all nodes:"
bin/spurhall "${ADMINS[@]}" timeline --since 1m || true
[ "$rc" = 0 ] || echo "logs: $LOG"
exit "$rc"
