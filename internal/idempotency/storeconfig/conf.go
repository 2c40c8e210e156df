// Package storeconfig reads the operator's file for the store of record, deploy/record.toml,
// and opens the store that it names.
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
	"martendrum/internal/quantity"
	"martendrum/internal/settings"
)

// Config is the file. Relative paths in it are relative to its folder.
type Config struct {
	Store  string `toml:"store"`
	SQLite struct {
		Path     string         `toml:"path"`
		MaxBytes quantity.Bytes `toml:"most"`
	} `toml:"sqlite"`
	Postgres struct {
		URL            string            `toml:"url"`
		PasswordFile   string            `toml:"password_file"`
		CA             string            `toml:"ca"`
		Connections    int               `toml:"connections"`
		ConnectTimeout quantity.Duration `toml:"connect"`
	} `toml:"postgres"`
	Wait struct {
		WaitFraction     float64           `toml:"share"`
		StatementTimeout quantity.Duration `toml:"statement"`
		EndRetryDuration quantity.Duration `toml:"end_for"`
		LeaseMargin      quantity.Duration `toml:"lease"`
	} `toml:"wait"`
	Retention struct {
		Answered       quantity.Duration `toml:"answered"`
		NeverRan       quantity.Duration `toml:"never_ran"`
		Unsettled      quantity.Duration `toml:"may_have_run"`
		MaxAnswerBytes quantity.Bytes    `toml:"answer"`
		SweepInterval  quantity.Duration `toml:"sweep_each"`
	} `toml:"keep"`
	Queue struct {
		MaxOps   int            `toml:"ops"`
		MaxBytes quantity.Bytes `toml:"bytes"`
		MaxBatch int            `toml:"batch"`
	} `toml:"queue"`
	Breaker struct {
		FailureThreshold int               `toml:"after"`
		MinBackoff       quantity.Duration `toml:"pause_min"`
		MaxBackoff       quantity.Duration `toml:"pause_max"`
	} `toml:"breaker"`
	Classes []Class `toml:"class"`

	path  string
	rules []idempotency.KeyRule
}

// Class is one class that is recorded.
type Class struct {
	Name          string `toml:"name"`
	Key           string `toml:"key"`
	OnUnavailable string `toml:"away"` // "refuse" or "pass"
}

const (
	rejectRequests = "refuse"
	failOpen       = "pass"
)

// Load reads and checks a file. Errors name the file and the place.
func Load(path string) (*Config, error) {
	c := &Config{path: path}
	d := func(v time.Duration) quantity.Duration { return quantity.Duration(v) }
	c.SQLite.Path, c.SQLite.MaxBytes = "record.db", 256<<20
	c.Postgres.Connections, c.Postgres.ConnectTimeout = 2, d(2*time.Second)
	c.Wait.WaitFraction, c.Wait.StatementTimeout, c.Wait.EndRetryDuration, c.Wait.LeaseMargin = 0.1, d(time.Second), d(time.Minute), d(5*time.Second)
	c.Retention.Answered, c.Retention.NeverRan, c.Retention.Unsettled, c.Retention.MaxAnswerBytes, c.Retention.SweepInterval = d(24*time.Hour), d(time.Hour), d(720*time.Hour), 64<<10, d(5*time.Second)
	c.Queue.MaxOps, c.Queue.MaxBytes, c.Queue.MaxBatch = 1024, 2<<20, 128
	c.Breaker.FailureThreshold, c.Breaker.MinBackoff, c.Breaker.MaxBackoff = 5, d(100*time.Millisecond), d(5*time.Second)
	if err := quantity.Load(path, c); err != nil {
		return nil, err
	}
	if err := quantity.ResolvePaths(path, &c.SQLite.Path, &c.Postgres.PasswordFile, &c.Postgres.CA); err != nil {
		return nil, err
	}
	if err := c.check(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

func (c *Config) check() error {
	switch {
	case c.Store != "sqlite" && c.Store != "postgres":
		return fmt.Errorf("store: %q; want \"sqlite\" or \"postgres\"", c.Store)
	case c.Store == "sqlite" && c.SQLite.MaxBytes < 1<<20:
		return fmt.Errorf("sqlite.most: 1MiB at least")
	case c.Store == "postgres" && c.Postgres.URL == "":
		return fmt.Errorf("postgres.url is missing, as in \"postgres://user@host/database\"")
	case c.Postgres.Connections < 1 || c.Postgres.Connections > 64:
		return fmt.Errorf("postgres.connections: %d; want 1 to 64", c.Postgres.Connections)
	case !(c.Wait.WaitFraction > 0 && c.Wait.WaitFraction <= 0.5):
		return fmt.Errorf("wait.share: %v; want a share of a class's aim, above 0 and at most 0.5", c.Wait.WaitFraction)
	case c.Wait.StatementTimeout <= 0 || c.Wait.EndRetryDuration <= 0 || c.Postgres.ConnectTimeout <= 0:
		return fmt.Errorf("wait.statement, wait.end_for and postgres.connect must be above 0")
	case c.Wait.LeaseMargin < quantity.Duration(time.Second):
		return fmt.Errorf("wait.lease: 1s at least")
	case c.Retention.Answered < quantity.Duration(time.Minute) || c.Retention.Unsettled < quantity.Duration(time.Minute) || c.Retention.NeverRan <= 0:
		return fmt.Errorf("keep.answered and keep.may_have_run must be 1m at least, keep.never_ran above 0")
	case c.Retention.MaxAnswerBytes < 0 || c.Retention.SweepInterval < quantity.Duration(100*time.Millisecond):
		return fmt.Errorf("keep.answer must be 0B or more, keep.sweep_each 100ms at least")
	case c.Queue.MaxOps < 1 || c.Queue.MaxBytes < 64<<10 || c.Queue.MaxBatch < 1:
		return fmt.Errorf("queue.ops and queue.batch must be 1 at least, queue.bytes 64KiB")
	case c.Breaker.FailureThreshold < 1 || c.Breaker.MinBackoff <= 0 || c.Breaker.MaxBackoff < c.Breaker.MinBackoff:
		return fmt.Errorf("breaker: want after >= 1 and 0 < pause_min <= pause_max")
	case len(c.Classes) == 0:
		return fmt.Errorf("class: none is named, so nothing would be recorded")
	}
	seen := make(map[string]bool)
	for n := range c.Classes {
		k := &c.Classes[n]
		if k.Name == "" || seen[k.Name] {
			return fmt.Errorf("class %d: name %q is empty or there twice", n+1, k.Name)
		}
		seen[k.Name] = true
		if k.OnUnavailable == "" {
			k.OnUnavailable = rejectRequests
		}
		if k.OnUnavailable != rejectRequests && k.OnUnavailable != failOpen {
			return fmt.Errorf("class %s: away: %q; want %q or %q", k.Name, k.OnUnavailable, rejectRequests, failOpen)
		}
		rule, err := idempotency.ParseKeyRule(k.Key)
		if err != nil {
			return fmt.Errorf("class %s: key: %w", k.Name, err)
		}
		c.rules = append(c.rules, rule)
	}
	return nil
}

// RetentionPeriods is how long rows are kept.
func (c *Config) RetentionPeriods() idempotency.Retention {
	return idempotency.Retention{Answered: time.Duration(c.Retention.Answered), NeverRan: time.Duration(c.Retention.NeverRan), Unsettled: time.Duration(c.Retention.Unsettled)}
}

// RecorderConfig checks the file against a deployment's settings and says how the store is
// used. sockets bounds the store's connections.
func (c *Config) RecorderConfig(set *settings.Settings, sockets int) (recorder.Config, error) {
	out := recorder.Config{StoreName: c.Store, Writers: 1, MaxBatch: c.Queue.MaxBatch, MaxQueuedOps: c.Queue.MaxOps, MaxQueuedBytes: int(c.Queue.MaxBytes),
		StatementTimeout: time.Duration(c.Wait.StatementTimeout), EndRetryDuration: time.Duration(c.Wait.EndRetryDuration), LeaseMargin: time.Duration(c.Wait.LeaseMargin),
		MaxAnswerBytes: int(c.Retention.MaxAnswerBytes), Retention: c.RetentionPeriods(), SweepInterval: time.Duration(c.Retention.SweepInterval),
		BreakerThreshold: c.Breaker.FailureThreshold, MinBackoff: time.Duration(c.Breaker.MinBackoff), MaxBackoff: time.Duration(c.Breaker.MaxBackoff)}
	if c.Store == "postgres" {
		if out.Writers = c.Postgres.Connections; out.Writers > sockets {
			return out, fmt.Errorf("%s: postgres.connections: %d; the sidecar's limits.sockets leave %d", c.path, out.Writers, sockets)
		}
	}
	for n, k := range c.Classes {
		at := set.Class([]byte(k.Name))
		if at < 0 {
			return out, fmt.Errorf("%s: class %s: the settings have no class of that name", c.path, k.Name)
		}
		class := set.Config.Classes[at]
		if k.OnUnavailable == failOpen && class.Idempotency == martendrum.NonIdempotent {
			return out, fmt.Errorf("%s: class %s: away: its requests must not run twice, so that they can't go on without a record; want %q", c.path, k.Name, rejectRequests)
		}
		wait := min(time.Duration(c.Wait.WaitFraction*float64(class.LatencyObjective)), set.Deadlines[at]/8)
		out.Classes = append(out.Classes, recorder.Class{Name: k.Name, KeyRule: c.rules[n], FailOpen: k.OnUnavailable == failOpen, MaxWait: max(wait, time.Millisecond)})
	}
	return out, nil
}

// MaxDescriptors is how many descriptors the store takes of a sidecar at most.
func (c *Config) MaxDescriptors() int {
	if c.Store == "postgres" {
		return c.Postgres.Connections
	}
	return 6 // the file, its log, its index and its lock, twice for a reader
}

// Open opens the store; owner says that it is for a sidecar, which holds a SQLite file
// alone, or with the process that passed lock on (nil: none did). A PostgreSQL database
// that is away is no error.
func (c *Config) Open(ctx context.Context, owner bool, lock *os.File) (idempotency.Backend, error) {
	if c.Store == "sqlite" {
		return sqlite.Open(ctx, sqlite.Config{Path: c.SQLite.Path, MaxBytes: int64(c.SQLite.MaxBytes), Retention: c.RetentionPeriods(), Owner: owner, Lock: lock})
	}
	return postgres.Open(postgres.Config{URL: c.Postgres.URL, PasswordFile: c.Postgres.PasswordFile, CA: c.Postgres.CA,
		Connections: c.Postgres.Connections, Statement: time.Duration(c.Wait.StatementTimeout), Connect: time.Duration(c.Postgres.ConnectTimeout)})
}
