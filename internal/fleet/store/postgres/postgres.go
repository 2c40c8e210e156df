// Package postgres is an agent's store in a PostgreSQL database that many agents share,
// each under its name. The agent that opened a store last owns it: opening increments the
// store's epoch, and each change requires the current epoch, so that two agents with the same
// name can't both write. If the outcome of a COMMIT is unknown, the ID of the last change shows
// whether it took effect.
package postgres

import (
	"context"
	"fmt"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/store"
	"martendrum/internal/pg"
)

var schema = pg.Schema{VersionTable: "martendrum_fleet_schema", AdvisoryLockKey: 0x6d6172746f, Migrations: [][]string{
	{`CREATE TABLE martendrum_agents (agent TEXT PRIMARY KEY, epoch BIGINT NOT NULL, last TEXT NOT NULL)`,
		`CREATE TABLE martendrum_instances (agent TEXT NOT NULL, name TEXT NOT NULL, desired TEXT NOT NULL, generation BIGINT NOT NULL,
		release TEXT NOT NULL, previous TEXT NOT NULL, launch TEXT NOT NULL, process BIGINT NOT NULL, running TEXT NOT NULL, pid BIGINT NOT NULL,
		ticks BIGINT NOT NULL, boot TEXT NOT NULL, launched BIGINT NOT NULL, restarts BIGINT NOT NULL, last_exit TEXT NOT NULL, PRIMARY KEY (agent, name))`,
		`CREATE TABLE martendrum_operations (agent TEXT NOT NULL, id TEXT NOT NULL, body TEXT NOT NULL, state TEXT NOT NULL, result TEXT NOT NULL,
		closed BIGINT NOT NULL, PRIMARY KEY (agent, id))`,
		`CREATE TABLE martendrum_steps (agent TEXT NOT NULL, op TEXT NOT NULL, instance TEXT NOT NULL, kind TEXT NOT NULL, status TEXT NOT NULL,
		body TEXT NOT NULL, PRIMARY KEY (agent, op, instance, kind))`,
		`CREATE TABLE martendrum_leases (agent TEXT NOT NULL, instance TEXT NOT NULL, op TEXT NOT NULL, holder TEXT NOT NULL, token BIGINT NOT NULL,
		granted BIGINT NOT NULL, expires BIGINT NOT NULL, PRIMARY KEY (agent, instance))`},
	{`CREATE TABLE martendrum_audit (agent TEXT NOT NULL, n BIGINT NOT NULL, at BIGINT NOT NULL, who TEXT NOT NULL, what TEXT NOT NULL,
		target TEXT NOT NULL, result TEXT NOT NULL, PRIMARY KEY (agent, n))`},
	{`CREATE TABLE martendrum_settings (agent TEXT NOT NULL, key TEXT NOT NULL, body TEXT NOT NULL, PRIMARY KEY (agent, key))`},
	{`CREATE TABLE martendrum_properties (agent TEXT NOT NULL, key TEXT NOT NULL, value TEXT NOT NULL, PRIMARY KEY (agent, key))`},
}}

// Version is the schema version that this build reads and writes.
var Version = len(schema.Migrations)

const (
	openTimeout = 30 * time.Second // for Open, with the migration of the schema
	// maxRetries is the maximum number of times that Commit repeats a failed transaction.
	maxRetries = 5
	// changeIDBytes is the length of a change's random ID, in bytes.
	changeIDBytes = 12
)

// Store is one agent's store.
type Store struct {
	db    *pg.DB
	agent string
	epoch int64
}

// SupersededError reports that another agent with the same name has opened the store since and
// now owns it.
type SupersededError struct{}

// Error implements error. The text includes the advice.
func (e SupersededError) Error() string {
	return "another agent with this name has taken over the record: " + e.Advice()
}

// Advice says what an operator can do.
func (SupersededError) Advice() string {
	return "give the agent of each host a unique name, and stop one of the two agents"
}

// ErrSuperseded is the only value of SupersededError, for errors.Is.
var ErrSuperseded error = SupersededError{}

// Open opens an agent's store and takes it over from any agent that opened it before. It creates
// the store if there is none, and migrates the schema. It returns an error if the database can't
// be reached.
func Open(ctx context.Context, config pg.Config, agent string) (*Store, error) {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	db, err := pg.Open(config, schema)
	if err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	s := &Store{db: db, agent: agent}
	if err = db.EnsureSchema(ctx); err == nil {
		err = db.Explain(db.Pool.QueryRow(ctx, `INSERT INTO martendrum_agents (agent, epoch, last) VALUES ($1::text, 1, '')
			ON CONFLICT (agent) DO UPDATE SET epoch = martendrum_agents.epoch + 1 RETURNING epoch`, agent).Scan(&s.epoch))
	}
	if err != nil {
		db.Close()
		return nil, fmt.Errorf("record: %w", err)
	}
	return s, nil
}

// Close closes the connections to the database.
func (s *Store) Close() error {
	s.db.Close()
	return nil
}

// read calls scan for each row of a query. The query's first parameter is the agent's name, and
// args are the others.
func (s *Store) read(ctx context.Context, query string, scan func(store.Scanner) error, args ...any) error {
	rows, err := s.db.Pool.Query(ctx, query, append([]any{s.agent}, args...)...)
	if err != nil {
		return err
	}
	defer rows.Close()
	for rows.Next() {
		if err := scan(rows); err != nil {
			return err
		}
	}
	return rows.Err()
}

// Load implements store.Store.
func (s *Store) Load(ctx context.Context) (*store.Snapshot, error) {
	snapshot := &store.Snapshot{}
	for _, table := range []struct {
		columns, name, order string
		scan                 func(store.Scanner) error
	}{
		{store.InstanceColumns, "martendrum_instances", "name", snapshot.ReadInstance},
		{store.OperationColumns, "martendrum_operations", "closed, id", snapshot.ReadOperation},
		{store.StepColumns, "martendrum_steps", "op, instance, kind", snapshot.ReadStep},
		{store.LeaseColumns, "martendrum_leases", "instance", snapshot.ReadLease},
		{store.SettingsColumns, "martendrum_settings", "key", snapshot.ReadSettings},
		{store.PropertyColumns, "martendrum_properties", "key", snapshot.ReadProperty},
	} {
		if err := s.read(ctx, "SELECT "+table.columns+" FROM "+table.name+" WHERE agent = $1::text ORDER BY "+table.order, table.scan); err != nil {
			return nil, fmt.Errorf("record: %w", s.db.Explain(err))
		}
	}
	return snapshot, nil
}

// Audit implements store.Store.
func (s *Store) Audit(ctx context.Context, limit int) (entries []api.AuditEntry, err error) {
	err = s.read(ctx, "SELECT "+store.AuditColumns+" FROM martendrum_audit WHERE agent = $1::text ORDER BY n DESC LIMIT $2::bigint", func(row store.Scanner) error {
		entry, err := store.ReadAudit(row)
		entries = append(entries, entry)
		return err
	}, int64(limit))
	if err != nil {
		return nil, fmt.Errorf("record: %w", s.db.Explain(err))
	}
	return entries, nil
}
