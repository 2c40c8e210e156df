package storeconfig

import (
	"fmt"
	"time"

	"martendrum/internal/idempotency"
	"martendrum/internal/quantity"
)

// The limits of the settings. Error messages quote them.
const (
	minSQLiteBytes   = 1 << 20
	maxConnections   = 64
	maxWaitFraction  = 0.5 // of a class's latency objective
	minLeaseMargin   = quantity.Duration(time.Second)
	minRetention     = quantity.Duration(time.Minute)
	minSweepInterval = quantity.Duration(100 * time.Millisecond)
	minQueueBytes    = 64 << 10 // of answers
)

// check checks what can be checked without the deployment's settings, and sets the defaults
// of the classes. Errors name the key; Load adds the file's path.
func (c *Config) check() error {
	if err := c.checkStore(); err != nil {
		return err
	}
	if err := c.checkLimits(); err != nil {
		return err
	}
	return c.checkClasses()
}

// checkStore checks the choice of the store and the settings of both stores.
func (c *Config) checkStore() error {
	switch {
	case c.Store != storeSQLite && c.Store != storePostgres:
		return fmt.Errorf("store: %q; want \"sqlite\" or \"postgres\"", c.Store)
	case c.Store == storeSQLite && c.SQLite.MaxBytes < minSQLiteBytes:
		return fmt.Errorf("sqlite.most: want at least 1MiB")
	case c.Store == storePostgres && c.Postgres.URL == "":
		return fmt.Errorf("postgres.url is missing; want a URL such as \"postgres://user@host/database\"")
	case c.Postgres.Connections < 1 || c.Postgres.Connections > maxConnections:
		return fmt.Errorf("postgres.connections: %d; want 1 to 64", c.Postgres.Connections)
	}
	return nil
}

// checkLimits checks the sections wait, keep, queue and breaker, and postgres.connect.
func (c *Config) checkLimits() error {
	switch {
	case !(c.Wait.Fraction > 0 && c.Wait.Fraction <= maxWaitFraction): // written so that it rejects NaN too
		return fmt.Errorf("wait.share: %v; want a share of a class's latency objective, above 0 and at most 0.5", c.Wait.Fraction)
	case c.Wait.StatementTimeout <= 0 || c.Wait.EndRetryDuration <= 0 || c.Postgres.ConnectTimeout <= 0:
		return fmt.Errorf("wait.statement, wait.end_for and postgres.connect must be above 0")
	case c.Wait.LeaseMargin < minLeaseMargin:
		return fmt.Errorf("wait.lease: want at least 1s")
	case c.Retention.Answered < minRetention || c.Retention.Unsettled < minRetention || c.Retention.NeverRan <= 0:
		return fmt.Errorf("keep.answered and keep.may_have_run must be at least 1m, and keep.never_ran above 0")
	case c.Retention.MaxAnswerBytes < 0 || c.Retention.SweepInterval < minSweepInterval:
		return fmt.Errorf("keep.answer must be at least 0B, and keep.sweep_each at least 100ms")
	case c.Queue.MaxOps < 1 || c.Queue.MaxBytes < minQueueBytes || c.Queue.MaxBatch < 1:
		return fmt.Errorf("queue.ops and queue.batch must be at least 1, and queue.bytes at least 64KiB")
	case c.Breaker.FailureThreshold < 1 || c.Breaker.MinBackoff <= 0 || c.Breaker.MaxBackoff < c.Breaker.MinBackoff:
		return fmt.Errorf("breaker: after must be at least 1, pause_min above 0, and pause_max at least pause_min")
	}
	return nil
}

// checkClasses checks the classes, sets their defaults and parses their key rules.
func (c *Config) checkClasses() error {
	if len(c.Classes) == 0 {
		return fmt.Errorf("class: there is no [[class]] section, so no request would be recorded")
	}
	seen := make(map[string]bool)
	for n := range c.Classes {
		class := &c.Classes[n]
		if class.Name == "" || seen[class.Name] {
			return fmt.Errorf("class %d: name %q is empty or used twice", n+1, class.Name)
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
