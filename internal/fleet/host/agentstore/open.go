// Package agentstore opens an agent's store where the agent's configuration says. What is
// stored is the agent's own, and how, the stores'.
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

// maxConnections is for an agent that makes one change at a time and reads its audit log.
const maxConnections = 2

// Record returns the function that opens an agent's store. path is where a file is.
func Record(config *agent.Config) func(path string) (store.Store, error) {
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
