//go:build !record

package main

import (
	"errors"
	"os"

	"martendrum/internal/settings"
)

// recordConfig has no fields: this build has no idempotency store, whose databases would
// cost memory even while unused. docs/design/record.md has the figures.
type recordConfig struct{}

// Sockets is none.
func (*recordConfig) Sockets() int { return 0 }

func loadRecord(string, *settings.Settings, int) (*recordConfig, error) {
	return nil, errors.New("this build has no store of record: run the one that has, `go build -tags record -o bin/sidecar-record ./cmd/sidecar`")
}

func openRecord(*config, *os.File) (requestRecorder, error) { return nil, nil }

// recordVersion is the schema version of the idempotency store; this build has none.
func recordVersion() int { return 0 }
