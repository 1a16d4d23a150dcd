#!/usr/bin/env bash
# Runs each fuzz target for ten seconds.
set -eu
cd "$(dirname "$0")/.."
for t in ./internal/upstream:FuzzChatStream ./internal/ingress:FuzzParseChat ./internal/config:FuzzParseAndRender \
  ./internal/forward:FuzzEvents ./platform:FuzzDecodeCatalog ./platform:FuzzDecodeEntry ./platform:FuzzReadParts \
  ./platform:FuzzDecodeOrder ./platform:FuzzDecodeSettings ./platform:FuzzReadAnswer ./internal/message:FuzzMessages \
  ./internal/quarantine:FuzzWords ./internal/edge:FuzzRecords ./internal/tunnel:FuzzFrames ./internal/reply:FuzzCheck; do
  go test "${t%%:*}" -run XXX -fuzz "${t##*:}\$" -fuzztime "${FUZZ_TIME:-10s}"
done
