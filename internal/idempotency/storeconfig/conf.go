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
		Path string         `toml:"path"`
		Most quantity.Bytes `toml:"most"`
	} `toml:"sqlite"`
	Postgres struct {
		URL          string            `toml:"url"`
		PasswordFile string            `toml:"password_file"`
		CA           string            `toml:"ca"`
		Connections  int               `toml:"connections"`
		Connect      quantity.Duration `toml:"connect"`
	} `toml:"postgres"`
	Wait struct {
		Share     float64           `toml:"share"`
		Statement quantity.Duration `toml:"statement"`
		EndFor    quantity.Duration `toml:"end_for"`
		Lease     quantity.Duration `toml:"lease"`
	} `toml:"wait"`
	Keep struct {
		Answered      quantity.Duration `toml:"answered"`
		NeverRan      quantity.Duration `toml:"never_ran"`
		Unsettled     quantity.Duration `toml:"may_have_run"`
		Answer        quantity.Bytes    `toml:"answer"`
		SweepInterval quantity.Duration `toml:"sweep_each"`
	} `toml:"keep"`
	Queue struct {
		Ops   int            `toml:"ops"`
		Bytes quantity.Bytes `toml:"bytes"`
		Batch int            `toml:"batch"`
	} `toml:"queue"`
	Breaker struct {
		After int               `toml:"after"`
		Least quantity.Duration `toml:"pause_min"`
		Most  quantity.Duration `toml:"pause_max"`
	} `toml:"breaker"`
	Classes []Class `toml:"class"`

	path  string
	rules []idempotency.KeyRule
}

// Class is one class that is recorded.
type Class struct {
	Name string `toml:"name"`
	Key  string `toml:"key"`
	Away string `toml:"away"` // "refuse" or "pass"
}

const (
	refuse = "refuse"
	pass   = "pass"
)

// Load reads and checks a file. Errors name the file and the place.
func Load(path string) (*Config, error) {
	c := &Config{path: path}
	d := func(v time.Duration) quantity.Duration { return quantity.Duration(v) }
	c.SQLite.Path, c.SQLite.Most = "record.db", 256<<20
	c.Postgres.Connections, c.Postgres.Connect = 2, d(2*time.Second)
	c.Wait.Share, c.Wait.Statement, c.Wait.EndFor, c.Wait.Lease = 0.1, d(time.Second), d(time.Minute), d(5*time.Second)
	c.Keep.Answered, c.Keep.NeverRan, c.Keep.Unsettled, c.Keep.Answer, c.Keep.SweepInterval = d(24*time.Hour), d(time.Hour), d(720*time.Hour), 64<<10, d(5*time.Second)
	c.Queue.Ops, c.Queue.Bytes, c.Queue.Batch = 1024, 2<<20, 128
	c.Breaker.After, c.Breaker.Least, c.Breaker.Most = 5, d(100*time.Millisecond), d(5*time.Second)
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
	case c.Store == "sqlite" && c.SQLite.Most < 1<<20:
		return fmt.Errorf("sqlite.most: 1MiB at least")
	case c.Store == "postgres" && c.Postgres.URL == "":
		return fmt.Errorf("postgres.url is missing, as in \"postgres://user@host/database\"")
	case c.Postgres.Connections < 1 || c.Postgres.Connections > 64:
		return fmt.Errorf("postgres.connections: %d; want 1 to 64", c.Postgres.Connections)
	case !(c.Wait.Share > 0 && c.Wait.Share <= 0.5):
		return fmt.Errorf("wait.share: %v; want a share of a class's aim, above 0 and at most 0.5", c.Wait.Share)
	case c.Wait.Statement <= 0 || c.Wait.EndFor <= 0 || c.Postgres.Connect <= 0:
		return fmt.Errorf("wait.statement, wait.end_for and postgres.connect must be above 0")
	case c.Wait.Lease < quantity.Duration(time.Second):
		return fmt.Errorf("wait.lease: 1s at least")
	case c.Keep.Answered < quantity.Duration(time.Minute) || c.Keep.Unsettled < quantity.Duration(time.Minute) || c.Keep.NeverRan <= 0:
		return fmt.Errorf("keep.answered and keep.may_have_run must be 1m at least, keep.never_ran above 0")
	case c.Keep.Answer < 0 || c.Keep.SweepInterval < quantity.Duration(100*time.Millisecond):
		return fmt.Errorf("keep.answer must be 0B or more, keep.sweep_each 100ms at least")
	case c.Queue.Ops < 1 || c.Queue.Bytes < 64<<10 || c.Queue.Batch < 1:
		return fmt.Errorf("queue.ops and queue.batch must be 1 at least, queue.bytes 64KiB")
	case c.Breaker.After < 1 || c.Breaker.Least <= 0 || c.Breaker.Most < c.Breaker.Least:
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
		if k.Away == "" {
			k.Away = refuse
		}
		if k.Away != refuse && k.Away != pass {
			return fmt.Errorf("class %s: away: %q; want %q or %q", k.Name, k.Away, refuse, pass)
		}
		rule, err := idempotency.ParseKeyRule(k.Key)
		if err != nil {
			return fmt.Errorf("class %s: key: %w", k.Name, err)
		}
		c.rules = append(c.rules, rule)
	}
	return nil
}

// Keeping is how long rows are kept.
func (c *Config) Keeping() idempotency.Retention {
	return idempotency.Retention{Answered: time.Duration(c.Keep.Answered), NeverRan: time.Duration(c.Keep.NeverRan), Unsettled: time.Duration(c.Keep.Unsettled)}
}

// Keeper checks the file against a deployment's settings and says how the store is
// used. sockets bounds the store's connections.
func (c *Config) Keeper(set *settings.Settings, sockets int) (recorder.Config, error) {
	out := recorder.Config{StoreName: c.Store, Writers: 1, MaxBatch: c.Queue.Batch, MaxQueuedOps: c.Queue.Ops, MaxQueuedBytes: int(c.Queue.Bytes),
		StatementTimeout: time.Duration(c.Wait.Statement), EndRetryDuration: time.Duration(c.Wait.EndFor), LeaseMargin: time.Duration(c.Wait.Lease),
		MaxAnswerBytes: int(c.Keep.Answer), Retention: c.Keeping(), SweepInterval: time.Duration(c.Keep.SweepInterval),
		BreakerThreshold: c.Breaker.After, MinBackoff: time.Duration(c.Breaker.Least), MaxBackoff: time.Duration(c.Breaker.Most)}
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
		if k.Away == pass && class.Idempotency == martendrum.NonIdempotent {
			return out, fmt.Errorf("%s: class %s: away: its requests must not run twice, so that they can't go on without a record; want %q", c.path, k.Name, refuse)
		}
		wait := min(time.Duration(c.Wait.Share*float64(class.LatencyObjective)), set.Deadlines[at]/8)
		out.Classes = append(out.Classes, recorder.Class{Name: k.Name, KeyRule: c.rules[n], FailOpen: k.Away == pass, MaxWait: max(wait, time.Millisecond)})
	}
	return out, nil
}

// Sockets is how many descriptors the store takes of a sidecar at most.
func (c *Config) Sockets() int {
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
		return sqlite.Open(ctx, sqlite.Config{Path: c.SQLite.Path, MaxBytes: int64(c.SQLite.Most), Retention: c.Keeping(), Owner: owner, Lock: lock})
	}
	return postgres.Open(postgres.Config{URL: c.Postgres.URL, PasswordFile: c.Postgres.PasswordFile, CA: c.Postgres.CA,
		Connections: c.Postgres.Connections, Statement: time.Duration(c.Wait.Statement), Connect: time.Duration(c.Postgres.Connect)})
}
