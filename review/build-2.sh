#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/10 start, after the build of the deploy file: the project's stand-in of the
# platform, and the rig with the stand-ins of workers and clients.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/ ./cmd/spurhall-soak
go build -o target/review/rig2 ./review/_rig2/platform
