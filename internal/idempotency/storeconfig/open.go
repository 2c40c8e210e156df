package storeconfig

import (
	"context"
	"fmt"
	"os"
	"time"

	"martendrum"
	"martendrum/internal/idempotency"
	"martendrum/internal/idempotency/postgres"
	"martendrum/internal/idempotency/recorder"
	"martendrum/internal/idempotency/sqlite"
	"martendrum/internal/settings"
)

const (
	// sqliteDescriptors are the file, its log, its index and its lock, twice for a reader.
	sqliteDescriptors = 6
	// maxDeadlineFraction is the fraction of a class's deadline that a request may wait for
	// the store, as its reciprocal.
	maxDeadlineFraction = 8
	minWait             = time.Millisecond
)

// RecorderConfig checks the file against a deployment's settings and says how the
// recorder uses the store. maxSockets bounds the store's connections.
func (c *Config) RecorderConfig(set *settings.Settings, maxSockets int) (recorder.Config, error) {
	config := recorder.Config{
		StoreName:        c.Store,
		Writers:          1,
		MaxBatch:         c.Queue.MaxBatch,
		MaxQueuedOps:     c.Queue.MaxOps,
		MaxQueuedBytes:   int(c.Queue.MaxBytes),
		StatementTimeout: time.Duration(c.Wait.StatementTimeout),
		EndRetryDuration: time.Duration(c.Wait.EndRetryDuration),
		LeaseMargin:      time.Duration(c.Wait.LeaseMargin),
		MaxAnswerBytes:   int(c.Retention.MaxAnswerBytes),
		Retention:        c.RetentionPeriods(),
		SweepInterval:    time.Duration(c.Retention.SweepInterval),
		BreakerThreshold: c.Breaker.FailureThreshold,
		MinBackoff:       time.Duration(c.Breaker.MinBackoff),
		MaxBackoff:       time.Duration(c.Breaker.MaxBackoff),
	}
	if c.Store == storePostgres {
		if config.Writers = c.Postgres.Connections; config.Writers > maxSockets {
			return config, fmt.Errorf("%s: postgres.connections: %d; the sidecar's limits.sockets leave %d", c.path, config.Writers, maxSockets)
		}
	}
	for n := range c.Classes {
		class, err := c.recorderClass(n, set)
		if err != nil {
			return config, err
		}
		config.Classes = append(config.Classes, class)
	}
	return config, nil
}

// recorderClass is the n-th class, with its bound on waiting for the store.
func (c *Config) recorderClass(n int, set *settings.Settings) (recorder.Class, error) {
	class := c.Classes[n]
	index := set.ClassIndex([]byte(class.Name))
	if index < 0 {
		return recorder.Class{}, fmt.Errorf("%s: class %s: the settings have no class of that name", c.path, class.Name)
	}
	policy := set.Config.Classes[index]
	if class.OnUnavailable == failOpen && policy.Idempotency == martendrum.NonIdempotent {
		return recorder.Class{}, fmt.Errorf("%s: class %s: away: its requests must not run twice, so that they can't go on without a record; want %q", c.path, class.Name, rejectRequests)
	}
	wait := min(time.Duration(c.Wait.Fraction*float64(policy.LatencyObjective)), set.Deadlines[index]/maxDeadlineFraction)
	return recorder.Class{
		Name:     class.Name,
		KeyRule:  c.rules[n],
		FailOpen: class.OnUnavailable == failOpen,
		MaxWait:  max(wait, minWait),
	}, nil
}

// MaxDescriptors is how many file descriptors the store takes of a sidecar.
func (c *Config) MaxDescriptors() int {
	if c.Store == storePostgres {
		return c.Postgres.Connections
	}
	return sqliteDescriptors
}

// Open opens the store. owner opens it for a sidecar, which owns a SQLite file alone, or
// together with the process that passed lock on (nil: none did). A PostgreSQL database
// that is unavailable is no error.
func (c *Config) Open(ctx context.Context, owner bool, lock *os.File) (idempotency.Backend, error) {
	if c.Store == storeSQLite {
		return sqlite.Open(ctx, sqlite.Config{
			Path:      c.SQLite.Path,
			MaxBytes:  int64(c.SQLite.MaxBytes),
			Retention: c.RetentionPeriods(),
			Owner:     owner,
			Lock:      lock,
		})
	}
	return postgres.Open(postgres.Config{
		URL:              c.Postgres.URL,
		PasswordFile:     c.Postgres.PasswordFile,
		CA:               c.Postgres.CA,
		MaxConnections:   c.Postgres.Connections,
		StatementTimeout: time.Duration(c.Wait.StatementTimeout),
		ConnectTimeout:   time.Duration(c.Postgres.ConnectTimeout),
	})
}
