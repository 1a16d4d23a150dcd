#!/usr/bin/env bash
# Runs a command of tests, and when it fails says once more at the end what did: where output is cut, its end is what is left.
set -uo pipefail
shown=2500 # bytes
out=$(mktemp)
trap 'rm -f "$out"' EXIT
"$@" 2>&1 | tee "$out"
status=${PIPESTATUS[0]}
if [ "$status" -ne 0 ]; then
  echo "what failed:"
  grep -E -A1 '^ *--- FAIL|^FAIL|^panic:|^WARNING: DATA RACE|^ +Error Trace:|^ +Error: |^ +Messages:' "$out" |
    grep -vE '^--$|^ts=| level=|Unsolicited response' | cut -c1-220 | head -c "$shown"
fi
exit "$status"
