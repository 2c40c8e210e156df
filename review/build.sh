#!/usr/bin/env bash
# Builds what the cases start besides the programs of the deploy file: the stand-ins, and the
# sidecar that has the idempotency store.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin/record
CGO_ENABLED=1 go build -o review/bin/ ./review/standin
CGO_ENABLED=1 go build -tags record -ldflags=-linkmode=external -o review/bin/record/ ./cmd/sidecar
