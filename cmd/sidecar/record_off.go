//go:build !record

package main

import (
	"errors"
	"os"

	"martendrum/internal/settings"
)

// recordConfig is the configuration of the idempotency store. It has no fields because this build has
// no store: the database drivers would cost memory even while unused. docs/design/record.md has the
// figures.
type recordConfig struct{}

// Sockets returns 0, the number of descriptors that the store uses.
func (*recordConfig) Sockets() int { return 0 }

// loadRecord returns an error, because this build has no store to configure.
func loadRecord(string, *settings.Settings, int) (*recordConfig, error) {
	return nil, errors.New("this build has no idempotency store: run the build that has one, `go build -tags record -o bin/sidecar-record ./cmd/sidecar`")
}

// openRecord returns nil, because this build has no store.
func openRecord(*config, *os.File) (requestRecorder, error) { return nil, nil }

// recordVersion is the schema version of the idempotency store, 0 because this build has none.
func recordVersion() int { return 0 }
