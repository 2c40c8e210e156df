// Package open opens an agent's record where its configuration says.
package open

import (
	"context"
	"time"

	"chalkrack/internal/fleet/agent"
	"chalkrack/internal/fleet/store"
	"chalkrack/internal/fleet/store/postgres"
	"chalkrack/internal/fleet/store/sqlite"
	"chalkrack/internal/pg"
)

// connections are enough: an agent makes one change at a time, and reads its audit log.
const connections = 2

// Record returns what opens the record of an agent; a file is at the path that the
// agent gives it.
func Record(cfg *agent.Config) func(path string) (store.Store, error) {
	return func(path string) (store.Store, error) {
		if r := &cfg.Record; r.Store == agent.Postgres {
			return postgres.Open(context.Background(), pg.Config{URL: r.URL, PasswordFile: r.PasswordFile, CA: r.CA, Connections: connections,
				Statement: time.Duration(r.Statement), Connect: time.Duration(r.Connect)}, cfg.Name)
		}
		return sqlite.Open(path, int64(cfg.Limits.Record))
	}
}
