#!/usr/bin/env bash
# Builds the stand-ins of the scripts: store, routers, hosts and clients in one
# program. It needs the Go toolchain only.
set -euo pipefail
cd "$(dirname "$0")/standin"
mkdir -p ../../target/review
GOWORK=off GOFLAGS=-buildvcs=false CGO_ENABLED=0 go build -o ../../target/review/standin .
