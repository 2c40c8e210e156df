// Package sqlite keeps an agent's record in a SQLite file: write-ahead log, full
// synchronous, a bounded size. The schema has a version, and each older one is
// brought up to date in one transaction when the file is opened.
package sqlite

import (
	"context"
	"database/sql"
	"fmt"
	"strings"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/store"
	"martendrum/internal/sqlitefile"
)

// migrations bring a file from version n to n+1. They are never changed once
// released: a file may be at any of them.
var migrations = []string{
	// 1: desired and actual state, operations, steps, leases.
	`CREATE TABLE instances (
		name TEXT PRIMARY KEY, desired TEXT NOT NULL, generation INTEGER NOT NULL, release TEXT NOT NULL,
		launch TEXT NOT NULL, process INTEGER NOT NULL, running TEXT NOT NULL, pid INTEGER NOT NULL,
		ticks INTEGER NOT NULL, boot TEXT NOT NULL, launched INTEGER NOT NULL);
	CREATE TABLE operations (id TEXT PRIMARY KEY, body TEXT NOT NULL, state TEXT NOT NULL, result TEXT NOT NULL, closed INTEGER NOT NULL);
	CREATE TABLE steps (op TEXT NOT NULL, instance TEXT NOT NULL, kind TEXT NOT NULL, status TEXT NOT NULL, body TEXT NOT NULL,
		PRIMARY KEY (op, instance, kind));
	CREATE TABLE leases (instance TEXT PRIMARY KEY, op TEXT NOT NULL, holder TEXT NOT NULL, token INTEGER NOT NULL,
		granted INTEGER NOT NULL, expires INTEGER NOT NULL);`,
	// 2: the audit log.
	`CREATE TABLE audit (n INTEGER PRIMARY KEY AUTOINCREMENT, at INTEGER NOT NULL, who TEXT NOT NULL, what TEXT NOT NULL,
		target TEXT NOT NULL, result TEXT NOT NULL);`,
	// 3: what a rollback goes back to, and what became of processes.
	`ALTER TABLE instances ADD COLUMN previous TEXT NOT NULL DEFAULT '';
	ALTER TABLE instances ADD COLUMN restarts INTEGER NOT NULL DEFAULT 0;
	ALTER TABLE instances ADD COLUMN last_exit TEXT NOT NULL DEFAULT '';`,
	// 4: the settings' distribution.
	`CREATE TABLE settings (key TEXT PRIMARY KEY, body TEXT NOT NULL) WITHOUT ROWID;`,
}

// Version is the schema's that this build reads and writes.
var Version = len(migrations)

// pageSize is the file's, in bytes.
const pageSize = 4096

// Store is a record in a file.
type Store struct {
	db   *sql.DB
	path string
}

// Open opens the file, makes it if there is none, and brings its schema up to
// date. most bounds it, in bytes. Errors name the file and say what to do.
func Open(path string, limit int64) (*Store, error) {
	return open(path, limit, Version)
}

func open(path string, limit int64, version int) (*Store, error) {
	db, err := sqlitefile.Open(path, "busy_timeout(2000)", "journal_mode(WAL)", "synchronous(FULL)", "foreign_keys(ON)", "cache_size(-256)",
		"wal_autocheckpoint(256)", "journal_size_limit(1048576)", fmt.Sprintf("max_page_count(%d)", max(limit/pageSize, 64)))
	if err != nil {
		return nil, fmt.Errorf("record %s: %w", path, err)
	}
	db.SetMaxOpenConns(1)
	s := &Store{db: db, path: path}
	if err := s.migrate(version); err != nil {
		db.Close()
		return nil, fmt.Errorf("record %s: %w", path, err)
	}
	return s, nil
}

func (s *Store) migrate(to int) error {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	if err := sqlitefile.CheckIntegrity(ctx, s.db); err != nil {
		return fmt.Errorf("it can't be read (%w): if it is damaged, move it and its -wal and -shm files aside; the agent then finds its sidecars by their environment and begins a new record", err)
	}
	return sqlitefile.Migrate(ctx, s.db, migrations, to)
}

// Close closes the file.
func (s *Store) Close() error { return s.db.Close() }

// Commit implements store.Store.
func (s *Store) Commit(ctx context.Context, c *store.Change) error {
	tx, err := s.db.BeginTx(ctx, nil)
	if err != nil {
		return fmt.Errorf("record %s: %w", s.path, err)
	}
	defer tx.Rollback()
	put := func(q string, args ...any) {
		if err == nil {
			_, err = tx.ExecContext(ctx, q, args...)
		}
	}
	row := func(table, columns string, args []any, e error) {
		if err == nil {
			err = e
		}
		put("INSERT OR REPLACE INTO "+table+" ("+columns+") VALUES (?"+strings.Repeat(",?", len(args)-1)+")", args...)
	}
	for _, i := range c.Instances {
		row("instances", store.InstanceColumns, i.Values(), nil)
	}
	for _, o := range c.Operations {
		args, e := o.Values()
		row("operations", store.OperationColumns, args, e)
	}
	for _, x := range c.Steps {
		args, e := store.StepValues(&x)
		row("steps", store.StepColumns, args, e)
	}
	for _, l := range c.Leases {
		row("leases", store.LeaseColumns, store.LeaseValues(&l), nil)
	}
	for _, r := range c.Settings {
		row("settings", store.SettingsColumns, store.SettingsValues(&r), nil)
	}
	for _, key := range c.DropSettings {
		put(`DELETE FROM settings WHERE key = ?`, key)
	}
	for _, a := range c.Audit {
		row("audit", store.AuditColumns, store.AuditValues(&a), nil)
	}
	for _, id := range c.DropOperations {
		put(`DELETE FROM steps WHERE op = ?`, id)
		put(`DELETE FROM operations WHERE id = ?`, id)
	}
	for _, name := range c.DropInstances {
		put(`DELETE FROM instances WHERE name = ?`, name)
		put(`DELETE FROM leases WHERE instance = ?`, name)
	}
	if c.AuditLimit > 0 {
		put(`DELETE FROM audit WHERE n <= (SELECT max(n) FROM audit) - ?`, c.AuditLimit)
	}
	if err == nil {
		err = tx.Commit()
	}
	if err != nil {
		return fmt.Errorf("record %s: %w", s.path, err)
	}
	return nil
}

// Load implements store.Store.
func (s *Store) Load(ctx context.Context) (*store.Snapshot, error) {
	out := &store.Snapshot{}
	for _, q := range []struct {
		text string
		scan func(store.Scanner) error
	}{
		{"SELECT " + store.InstanceColumns + " FROM instances ORDER BY name", out.ReadInstance},
		{"SELECT " + store.OperationColumns + " FROM operations ORDER BY closed, id", out.ReadOperation},
		{"SELECT " + store.StepColumns + " FROM steps ORDER BY op, instance, kind", out.ReadStep},
		{"SELECT " + store.LeaseColumns + " FROM leases ORDER BY instance", out.ReadLease},
		{"SELECT " + store.SettingsColumns + " FROM settings ORDER BY key", out.ReadSettings},
	} {
		if err := sqlitefile.ForEachRow(ctx, s.db, q.text, func(r *sql.Rows) error { return q.scan(r) }); err != nil {
			return nil, fmt.Errorf("record %s: %w", s.path, err)
		}
	}
	return out, nil
}

// Audit implements store.Store.
func (s *Store) Audit(ctx context.Context, limit int) (out []api.AuditEntry, err error) {
	err = sqlitefile.ForEachRow(ctx, s.db, "SELECT "+store.AuditColumns+" FROM audit ORDER BY n DESC LIMIT ?", func(r *sql.Rows) error {
		a, err := store.ReadAudit(r)
		out = append(out, a)
		return err
	}, limit)
	if err != nil {
		return nil, fmt.Errorf("record %s: %w", s.path, err)
	}
	return out, nil
}
