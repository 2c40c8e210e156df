// Package storeconfig loads and checks the operator's configuration file of the idempotency
// store, such as deploy/record.toml, and opens the store that it names.
package storeconfig

import (
	"fmt"
	"time"

	"martendrum/internal/idempotency"
	"martendrum/internal/quantity"
)

// The values of the setting "store".
const (
	storeSQLite   = "sqlite"
	storePostgres = "postgres"
)

// The values of a class's setting "away", which says what happens to its requests while the
// store is unavailable.
const (
	rejectRequests = "refuse"
	failOpen       = "pass" // requests continue without the store
)

// Config is the content of the file. Package recorder and the stores describe the settings.
// Relative paths are relative to the file's folder.
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
		Fraction         float64           `toml:"share"` // longest wait for the store, as a fraction of a class's latency objective
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
	rules []idempotency.KeyRule // of Classes, in their order
}

// Class is the settings of one class whose requests are recorded.
type Class struct {
	Name          string `toml:"name"`
	Key           string `toml:"key"`  // text of an idempotency.KeyRule
	OnUnavailable string `toml:"away"` // "refuse", which is the default, or "pass"
}

// Load reads and checks the file at path. Settings that the file does not contain have their
// defaults. Errors name the file and the line or the setting.
func Load(path string) (*Config, error) {
	c := defaults()
	c.path = path
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

// defaults returns a Config with the default values.
func defaults() *Config {
	c := &Config{}
	c.SQLite.Path = "record.db"
	c.SQLite.MaxBytes = 256 << 20
	c.Postgres.Connections = 2
	c.Postgres.ConnectTimeout = quantity.Duration(2 * time.Second)
	c.Wait.Fraction = 0.1
	c.Wait.StatementTimeout = quantity.Duration(time.Second)
	c.Wait.EndRetryDuration = quantity.Duration(time.Minute)
	c.Wait.LeaseMargin = quantity.Duration(5 * time.Second)
	c.Retention.Answered = quantity.Duration(24 * time.Hour)
	c.Retention.NeverRan = quantity.Duration(time.Hour)
	c.Retention.Unsettled = quantity.Duration(720 * time.Hour)
	c.Retention.MaxAnswerBytes = 64 << 10
	c.Retention.SweepInterval = quantity.Duration(5 * time.Second)
	c.Queue.MaxOps = 1024
	c.Queue.MaxBytes = 2 << 20
	c.Queue.MaxBatch = 128
	c.Breaker.FailureThreshold = 5
	c.Breaker.MinBackoff = quantity.Duration(100 * time.Millisecond)
	c.Breaker.MaxBackoff = quantity.Duration(5 * time.Second)
	return c
}

// RetentionPeriods returns how long entries are stored.
func (c *Config) RetentionPeriods() idempotency.Retention {
	return idempotency.Retention{
		Answered:  time.Duration(c.Retention.Answered),
		NeverRan:  time.Duration(c.Retention.NeverRan),
		Unsettled: time.Duration(c.Retention.Unsettled),
	}
}
