#!/bin/sh
# Builds what the cases of the second review start, after the build of the deploy file: their driver, which is also
# their clients, servers and discovery, and the sidecar with the idempotency store.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/driver-2/out
CGO_ENABLED=1 go build -ldflags=-linkmode=external -o review/driver-2/out/driver ./review/driver-2
CGO_ENABLED=1 go build -tags record -ldflags=-linkmode=external -o review/driver-2/out/sidecar-record ./cmd/sidecar
