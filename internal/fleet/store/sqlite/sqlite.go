// Package sqlite is an agent's store in a SQLite file of bounded size, with a write-ahead
// log that is synced at each commit. The schema has a version; an older one is migrated in
// one transaction when the file is opened. Only one agent may use a file at a time, which the
// agent must ensure.
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

// migrations[n] migrates a file from schema version n to n+1. A released migration must never be
// changed, because a file may have any version.
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
	// 3: the release that a rollback leads to, and the restarts and exits of processes.
	`ALTER TABLE instances ADD COLUMN previous TEXT NOT NULL DEFAULT '';
	ALTER TABLE instances ADD COLUMN restarts INTEGER NOT NULL DEFAULT 0;
	ALTER TABLE instances ADD COLUMN last_exit TEXT NOT NULL DEFAULT '';`,
	// 4: the distributed settings.
	`CREATE TABLE settings (key TEXT PRIMARY KEY, body TEXT NOT NULL) WITHOUT ROWID;`,
	// 5: the properties of the store, such as how old the operations are that were dropped.
	`CREATE TABLE properties (key TEXT PRIMARY KEY, value TEXT NOT NULL) WITHOUT ROWID;`,
}

// Version is the schema version that this build reads and writes.
var Version = len(migrations)

const (
	pageSize = 4096 // bytes
	// minPages is the smallest limit on the pages of a file.
	minPages         = 64
	migrationTimeout = 30 * time.Second // for the integrity check and the migration of a file
)

// Store is an agent's store in a file.
type Store struct {
	db   *sql.DB
	path string
}

// UnreadableError reports that a file could not be read and may be damaged.
type UnreadableError struct{ Cause error }

// Error implements error. The text includes the advice.
func (e *UnreadableError) Error() string {
	return fmt.Sprintf("the file can't be read (%v): %s", e.Cause, e.Advice())
}

// Unwrap returns the cause.
func (e *UnreadableError) Unwrap() error { return e.Cause }

// Advice says what an operator can do.
func (e *UnreadableError) Advice() string {
	return "if it is damaged, move it and its -wal and -shm files aside; the agent then finds its sidecars by their environment and starts a new record"
}

// Open opens the file, creates it if there is none, and migrates its schema. maxBytes bounds the
// size of the file, but never to less than 64 pages. Errors name the file. Those for a damaged file,
// an *UnreadableError, and for one with a newer schema also say what an operator can do.
func Open(path string, maxBytes int64) (*Store, error) {
	return open(path, maxBytes, Version)
}

// open does what Open does, but migrates the schema to the given version. Tests of the migrations
// give older versions than the latest.
func open(path string, maxBytes int64, version int) (*Store, error) {
	db, err := sqlitefile.Open(path, "busy_timeout(2000)", "journal_mode(WAL)", "synchronous(FULL)", "foreign_keys(ON)", "cache_size(-256)",
		"wal_autocheckpoint(256)", "journal_size_limit(1048576)", fmt.Sprintf("max_page_count(%d)", max(maxBytes/pageSize, minPages)))
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

// migrate checks the integrity of the file and migrates its schema to a version.
func (s *Store) migrate(to int) error {
	ctx, cancel := context.WithTimeout(context.Background(), migrationTimeout)
	defer cancel()
	if err := sqlitefile.CheckIntegrity(ctx, s.db); err != nil {
		return &UnreadableError{Cause: err}
	}
	return sqlitefile.Migrate(ctx, s.db, migrations, to)
}

// Close implements store.Store.
func (s *Store) Close() error { return s.db.Close() }

// Commit implements store.Store.
func (s *Store) Commit(ctx context.Context, change *store.Change) error {
	if err := s.commit(ctx, change); err != nil {
		return fmt.Errorf("record %s: %w", s.path, err)
	}
	return nil
}

// commit writes a change in one transaction.
func (s *Store) commit(ctx context.Context, change *store.Change) error {
	tx, err := s.db.BeginTx(ctx, nil)
	if err != nil {
		return err
	}
	defer tx.Rollback()
	w := &writer{ctx: ctx, tx: tx}
	w.putAll(change)
	w.dropAll(change)
	if w.err != nil {
		return w.err
	}
	return tx.Commit()
}

// writer executes the statements of a change until one fails.
type writer struct {
	ctx context.Context
	tx  *sql.Tx
	err error
}

// execute executes a statement unless an earlier one has failed.
func (w *writer) execute(statement string, args ...any) {
	if w.err == nil {
		_, w.err = w.tx.ExecContext(w.ctx, statement, args...)
	}
}

// put inserts or replaces a row. values and err are the results of the function that returns the
// row's values.
func (w *writer) put(table, columns string, values []any, err error) {
	if w.err == nil {
		w.err = err
	}
	w.execute("INSERT OR REPLACE INTO "+table+" ("+columns+") VALUES (?"+strings.Repeat(",?", len(values)-1)+")", values...)
}

// putAll writes the rows of a change.
func (w *writer) putAll(change *store.Change) {
	for _, instance := range change.Instances {
		w.put("instances", store.InstanceColumns, instance.Values(), nil)
	}
	for _, operation := range change.Operations {
		values, err := operation.Values()
		w.put("operations", store.OperationColumns, values, err)
	}
	for _, step := range change.Steps {
		values, err := store.StepValues(&step)
		w.put("steps", store.StepColumns, values, err)
	}
	for _, lease := range change.Leases {
		w.put("leases", store.LeaseColumns, store.LeaseValues(&lease), nil)
	}
	for _, entry := range change.Settings {
		w.put("settings", store.SettingsColumns, store.SettingsValues(&entry), nil)
	}
	for _, entry := range change.Audit {
		w.put("audit", store.AuditColumns, store.AuditValues(&entry), nil)
	}
	for _, values := range change.PropertyValues() {
		w.put("properties", store.PropertyColumns, values, nil)
	}
}

// dropAll deletes the rows that a change drops, including audit entries over its limit.
func (w *writer) dropAll(change *store.Change) {
	for _, key := range change.DropSettings {
		w.execute(`DELETE FROM settings WHERE key = ?`, key)
	}
	for _, id := range change.DropOperations {
		w.execute(`DELETE FROM steps WHERE op = ?`, id)
		w.execute(`DELETE FROM operations WHERE id = ?`, id)
	}
	for _, name := range change.DropInstances {
		w.execute(`DELETE FROM instances WHERE name = ?`, name)
		w.execute(`DELETE FROM leases WHERE instance = ?`, name)
	}
	if change.AuditLimit > 0 {
		w.execute(`DELETE FROM audit WHERE n <= (SELECT max(n) FROM audit) - ?`, change.AuditLimit)
	}
}

// Load implements store.Store.
func (s *Store) Load(ctx context.Context) (*store.Snapshot, error) {
	snapshot := &store.Snapshot{}
	for _, query := range []struct {
		text string
		scan func(store.Scanner) error
	}{
		{"SELECT " + store.InstanceColumns + " FROM instances ORDER BY name", snapshot.ReadInstance},
		{"SELECT " + store.OperationColumns + " FROM operations ORDER BY closed, id", snapshot.ReadOperation},
		{"SELECT " + store.StepColumns + " FROM steps ORDER BY op, instance, kind", snapshot.ReadStep},
		{"SELECT " + store.LeaseColumns + " FROM leases ORDER BY instance", snapshot.ReadLease},
		{"SELECT " + store.SettingsColumns + " FROM settings ORDER BY key", snapshot.ReadSettings},
		{"SELECT " + store.PropertyColumns + " FROM properties ORDER BY key", snapshot.ReadProperty},
	} {
		if err := sqlitefile.ForEachRow(ctx, s.db, query.text, func(row *sql.Rows) error { return query.scan(row) }); err != nil {
			return nil, fmt.Errorf("record %s: %w", s.path, err)
		}
	}
	return snapshot, nil
}

// Audit implements store.Store.
func (s *Store) Audit(ctx context.Context, limit int) (entries []api.AuditEntry, err error) {
	err = sqlitefile.ForEachRow(ctx, s.db, "SELECT "+store.AuditColumns+" FROM audit ORDER BY n DESC LIMIT ?", func(row *sql.Rows) error {
		entry, err := store.ReadAudit(row)
		entries = append(entries, entry)
		return err
	}, limit)
	if err != nil {
		return nil, fmt.Errorf("record %s: %w", s.path, err)
	}
	return entries, nil
}
