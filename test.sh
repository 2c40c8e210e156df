#!/usr/bin/env bash
# Everything that must hold before a change lands: format, vet, staticcheck,
# the tests under the race detector, and the build that operators run.
set -euo pipefail
cd "$(dirname "$0")"

unformatted=$(gofmt -s -l .)
if [ -n "$unformatted" ]; then
	echo "not gofmt'd: $unformatted" >&2
	exit 1
fi
go vet ./...
go run honnef.co/go/tools/cmd/staticcheck@v0.7.0 ./...
build=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/balancer.toml)
test -n "$build"
sh -c "$build"
test -x bin/simulator
# The full fleet's days load a library into the sidecar, which needs the C
# library's loader: a static bin/sidecar, or one that Go's own linker made,
# would be refused at its start.
if ! readelf -d bin/sidecar | grep -q 'NEEDED.*\[libc\.so'; then
	echo "bin/sidecar is not linked against the C library: see build in deploy/balancer.toml" >&2
	exit 1
fi
if ! go version -m bin/sidecar | grep -q -- '-ldflags=-linkmode=external'; then
	echo "bin/sidecar was not linked by the C toolchain: build in deploy/balancer.toml lacks -linkmode=external" >&2
	exit 1
fi
# The sidecar that has the store of record is a build of its own.
go vet -tags record ./cmd/sidecar
# So has the one that breaks rules on purpose, for the soak's own tests.
go vet -tags seams ./cmd/sidecar
go test -race -count=1 -tags record ./cmd/sidecar
# -short leaves out the longer ones of the tests with many processes.
# KNOWN-RED.txt names the tests that may fail, if any.
go run ./internal/ci/knownred -race -short -count=1 ./...
