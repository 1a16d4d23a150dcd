#!/bin/sh
# Builds what the scripts of the review start, beside the build of the deploy file: the project's own stand-in of the
# platform, and the stand-ins of workers and clients with the checks.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/ ./cmd/spurhalld ./cmd/spurhall-soak
go build -o target/review-rig ./review/_rig/platform
