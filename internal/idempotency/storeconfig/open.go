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
	// sqliteDescriptors is the number of file descriptors of a SQLite store: the file, its
	// write-ahead log, the log's index and the lock, and further ones for the second
	// connection.
	sqliteDescriptors = 6
	// deadlineDivisor limits how long a request waits for the store, to the deadline of its
	// class divided by it, but not to less than minWait.
	deadlineDivisor = 8
	minWait         = time.Millisecond
)

// RecorderConfig returns the configuration of the recorder. It returns an error if c does not
// fit the deployment's settings, or if the store needs more than maxSockets connections.
func (c *Config) RecorderConfig(set *settings.Settings, maxSockets int) (recorder.Config, error) {
	config := recorder.Config{
		StoreName:        c.Store,
		MaxTransactions:  1,
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
		if config.MaxTransactions = c.Postgres.Connections; config.MaxTransactions > maxSockets {
			return config, fmt.Errorf("%s: postgres.connections: %d; the sidecar's limits.sockets leaves only %d", c.path, config.MaxTransactions, maxSockets)
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

// recorderClass returns the recorder's configuration of Classes[n].
func (c *Config) recorderClass(n int, set *settings.Settings) (recorder.Class, error) {
	class := c.Classes[n]
	index := set.ClassIndex([]byte(class.Name))
	if index < 0 {
		return recorder.Class{}, fmt.Errorf("%s: class %s: the settings have no class of that name", c.path, class.Name)
	}
	policy := set.Config.Classes[index]
	if class.OnUnavailable == failOpen && policy.Idempotency == martendrum.NonIdempotent {
		return recorder.Class{}, fmt.Errorf("%s: class %s: away: its requests must not run twice, so they can't continue without the store; want %q", c.path, class.Name, rejectRequests)
	}
	wait := min(time.Duration(c.Wait.Fraction*float64(policy.LatencyObjective)), set.Deadlines[index]/deadlineDivisor)
	return recorder.Class{
		Name:     class.Name,
		KeyRule:  c.rules[n],
		FailOpen: class.OnUnavailable == failOpen,
		MaxWait:  max(wait, minWait),
	}, nil
}

// MaxDescriptors returns the maximum number of file descriptors that the store uses in a
// sidecar.
func (c *Config) MaxDescriptors() int {
	if c.Store == storePostgres {
		return c.Postgres.Connections
	}
	return sqliteDescriptors
}

// Open opens the store. owner and lock apply to SQLite only. owner opens the file for a
// sidecar that owns it; without owner, another process may own the file meanwhile. lock, if
// not nil, is the file's lock that the predecessor passed to this process, so that both own
// the file. If a PostgreSQL database is unavailable, Open still succeeds.
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
