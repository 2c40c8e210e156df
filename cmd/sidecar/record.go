//go:build record

package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"time"

	"martendrum/internal/idempotency"
	"martendrum/internal/idempotency/postgres"
	"martendrum/internal/idempotency/recorder"
	"martendrum/internal/idempotency/sqlite"
	"martendrum/internal/idempotency/storeconfig"
	"martendrum/internal/settings"
)

// recordOpenTimeout is the longest time that the store may take to open at the start.
const recordOpenTimeout = 30 * time.Second

// recordPingTimeout is the longest time that the check of the store may take at the start. The
// sidecar starts even if the store is unavailable, but not if it is unusable or read-only.
const recordPingTimeout = time.Second

// recordConfig is the configuration of the idempotency store from the file that MARTENDRUM_RECORD
// names, with the recorder's configuration for this sidecar.
type recordConfig struct {
	*storeconfig.Config
	recorder recorder.Config
}

// Sockets returns the largest number of descriptors that the store uses, 0 without a store.
func (c *recordConfig) Sockets() int {
	if c == nil {
		return 0
	}
	return c.Config.MaxDescriptors()
}

// loadRecord reads the store's configuration file; sockets is the number of descriptors that the
// store may use.
func loadRecord(path string, set *settings.Settings, sockets int) (*recordConfig, error) {
	c, err := storeconfig.Load(path)
	if err != nil {
		return nil, err
	}
	recorderConfig, err := c.RecorderConfig(set, sockets)
	return &recordConfig{c, recorderConfig}, err
}

// openRecord opens the idempotency store. It returns nil if none is configured. lock is the open lock
// file of the store if a predecessor has handed it over, else nil.
func openRecord(c *config, lock *os.File) (requestRecorder, error) {
	if c.record == nil {
		return nil, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), recordOpenTimeout)
	defer cancel()
	store, err := c.record.Open(ctx, true, lock)
	if err != nil {
		return nil, fmt.Errorf("MARTENDRUM_RECORD: %w", err)
	}
	pingContext, cancelPing := context.WithTimeout(ctx, recordPingTimeout)
	defer cancelPing()
	switch err := store.Ping(pingContext); {
	case errors.Is(err, idempotency.ErrUnusable), errors.Is(err, idempotency.ErrReadOnly):
		store.Close()
		return nil, fmt.Errorf("MARTENDRUM_RECORD: %w", err)
	case err != nil:
		slog.Warn("idempotency store unavailable at the start", "err", err)
	}
	return recorder.New(c.record.recorder, store), nil
}

// recordVersion is the schema version of the idempotency store that this build reads and writes: the
// higher one, if those of the two databases differ.
func recordVersion() int { return max(sqlite.Version, postgres.Version) }
