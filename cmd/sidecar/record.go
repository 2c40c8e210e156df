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

// recordOpenTimeout bounds the opening of the store at the start.
const recordOpenTimeout = 30 * time.Second

// recordPingTimeout bounds the check of the store at the start. The sidecar starts while the
// store is unavailable, but not with one that is unusable.
const recordPingTimeout = time.Second

// recordConfig is the operator's file of the idempotency store, with the recorder's configuration
// for this sidecar.
type recordConfig struct {
	*storeconfig.Config
	recorder recorder.Config
}

// Sockets returns how many descriptors the store uses at most.
func (c *recordConfig) Sockets() int {
	if c == nil {
		return 0
	}
	return c.Config.MaxDescriptors()
}

// loadRecord reads the store's file; sockets is how many descriptors the store may use.
func loadRecord(path string, set *settings.Settings, sockets int) (*recordConfig, error) {
	c, err := storeconfig.Load(path)
	if err != nil {
		return nil, err
	}
	recorderConfig, err := c.RecorderConfig(set, sockets)
	return &recordConfig{c, recorderConfig}, err
}

// openRecord opens the idempotency store; nil if there is none. lock is its ownership if a predecessor
// has handed that over.
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

// recordVersion is the schema version of the idempotency store that this build reads and
// writes, the same for both databases.
func recordVersion() int { return max(sqlite.Version, postgres.Version) }
