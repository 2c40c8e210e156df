// Package agentstore opens an agent's record where its configuration says.
package agentstore

import (
	"context"
	"time"

	"martendrum/internal/fleet/host/agent"
	"martendrum/internal/fleet/store"
	"martendrum/internal/fleet/store/postgres"
	"martendrum/internal/fleet/store/sqlite"
	"martendrum/internal/pg"
)

// connections are enough: an agent makes one change at a time, and reads its audit log.
const connections = 2

// Record returns what opens the record of an agent; a file is at the path that the
// agent gives it.
func Record(cfg *agent.Config) func(path string) (store.Store, error) {
	return func(path string) (store.Store, error) {
		if r := &cfg.Record; r.Store == agent.Postgres {
			return postgres.Open(context.Background(), pg.Config{URL: r.URL, PasswordFile: r.PasswordFile, CA: r.CA, MaxConnections: connections,
				StatementTimeout: time.Duration(r.Statement), ConnectTimeout: time.Duration(r.Connect)}, cfg.Name)
		}
		return sqlite.Open(path, int64(cfg.Limits.Record))
	}
}
