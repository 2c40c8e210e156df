package storeconfig

import (
	"fmt"
	"time"

	"martendrum/internal/idempotency"
	"martendrum/internal/quantity"
)

const (
	minSQLiteBytes   = 1 << 20
	maxConnections   = 64
	maxWaitFraction  = 0.5
	minLeaseMargin   = quantity.Duration(time.Second)
	minRetention     = quantity.Duration(time.Minute)
	minSweepInterval = quantity.Duration(100 * time.Millisecond)
	minQueueBytes    = 64 << 10
)

// check checks the file without the settings. Errors name the key; Load adds the file.
func (c *Config) check() error {
	if err := c.checkStore(); err != nil {
		return err
	}
	if err := c.checkUse(); err != nil {
		return err
	}
	return c.checkClasses()
}

func (c *Config) checkStore() error {
	switch {
	case c.Store != storeSQLite && c.Store != storePostgres:
		return fmt.Errorf("store: %q; want \"sqlite\" or \"postgres\"", c.Store)
	case c.Store == storeSQLite && c.SQLite.MaxBytes < minSQLiteBytes:
		return fmt.Errorf("sqlite.most: 1MiB at least")
	case c.Store == storePostgres && c.Postgres.URL == "":
		return fmt.Errorf("postgres.url is missing, as in \"postgres://user@host/database\"")
	case c.Postgres.Connections < 1 || c.Postgres.Connections > maxConnections:
		return fmt.Errorf("postgres.connections: %d; want 1 to 64", c.Postgres.Connections)
	}
	return nil
}

func (c *Config) checkUse() error {
	switch {
	case !(c.Wait.Fraction > 0 && c.Wait.Fraction <= maxWaitFraction): // also rejects NaN
		return fmt.Errorf("wait.share: %v; want a share of a class's aim, above 0 and at most 0.5", c.Wait.Fraction)
	case c.Wait.StatementTimeout <= 0 || c.Wait.EndRetryDuration <= 0 || c.Postgres.ConnectTimeout <= 0:
		return fmt.Errorf("wait.statement, wait.end_for and postgres.connect must be above 0")
	case c.Wait.LeaseMargin < minLeaseMargin:
		return fmt.Errorf("wait.lease: 1s at least")
	case c.Retention.Answered < minRetention || c.Retention.Unsettled < minRetention || c.Retention.NeverRan <= 0:
		return fmt.Errorf("keep.answered and keep.may_have_run must be 1m at least, keep.never_ran above 0")
	case c.Retention.MaxAnswerBytes < 0 || c.Retention.SweepInterval < minSweepInterval:
		return fmt.Errorf("keep.answer must be 0B or more, keep.sweep_each 100ms at least")
	case c.Queue.MaxOps < 1 || c.Queue.MaxBytes < minQueueBytes || c.Queue.MaxBatch < 1:
		return fmt.Errorf("queue.ops and queue.batch must be 1 at least, queue.bytes 64KiB")
	case c.Breaker.FailureThreshold < 1 || c.Breaker.MinBackoff <= 0 || c.Breaker.MaxBackoff < c.Breaker.MinBackoff:
		return fmt.Errorf("breaker: want after >= 1 and 0 < pause_min <= pause_max")
	}
	return nil
}

// checkClasses checks the classes, sets their defaults and parses their key rules.
func (c *Config) checkClasses() error {
	if len(c.Classes) == 0 {
		return fmt.Errorf("class: none is named, so nothing would be recorded")
	}
	seen := make(map[string]bool)
	for n := range c.Classes {
		class := &c.Classes[n]
		if class.Name == "" || seen[class.Name] {
			return fmt.Errorf("class %d: name %q is empty or there twice", n+1, class.Name)
		}
		seen[class.Name] = true
		if class.OnUnavailable == "" {
			class.OnUnavailable = rejectRequests
		}
		if class.OnUnavailable != rejectRequests && class.OnUnavailable != failOpen {
			return fmt.Errorf("class %s: away: %q; want %q or %q", class.Name, class.OnUnavailable, rejectRequests, failOpen)
		}
		rule, err := idempotency.ParseKeyRule(class.Key)
		if err != nil {
			return fmt.Errorf("class %s: key: %w", class.Name, err)
		}
		c.rules = append(c.rules, rule)
	}
	return nil
}
