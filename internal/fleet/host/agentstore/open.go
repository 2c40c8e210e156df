// Package agentstore opens the store of an agent's record, in SQLite or in PostgreSQL as the agent's
// configuration selects.
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

// maxConnections to PostgreSQL is enough for an agent, which makes one change at a time and may read
// its audit log meanwhile.
const maxConnections = 2

// Opener returns a function, for agent.New, that opens the store of the configured agent's record.
// SQLite uses the file at path; PostgreSQL ignores path.
func Opener(config *agent.Config) func(path string) (store.Store, error) {
	return func(path string) (store.Store, error) {
		record := &config.Record
		if record.Store != agent.Postgres {
			return sqlite.Open(path, int64(config.Limits.Record))
		}
		return postgres.Open(context.Background(), pg.Config{
			URL:              record.URL,
			PasswordFile:     record.PasswordFile,
			CA:               record.CA,
			MaxConnections:   maxConnections,
			StatementTimeout: time.Duration(record.Statement),
			ConnectTimeout:   time.Duration(record.Connect),
		}, config.Name)
	}
}
