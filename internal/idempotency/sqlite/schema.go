package sqlite

import (
	"context"
	"database/sql"
	"errors"
	"fmt"
	"strings"
	"time"

	"martendrum/internal/idempotency"
	"martendrum/internal/sqlitefile"
)

// migrations[n] are the statements that bring a file from schema version n to n+1. A
// migration is not changed once it is released, as there may be files of every version.
var migrations = []string{
	`CREATE TABLE record (
		class TEXT NOT NULL, key TEXT NOT NULL, state TEXT NOT NULL, body BLOB NOT NULL, owner TEXT NOT NULL, token TEXT NOT NULL,
		request TEXT NOT NULL, attempts INTEGER NOT NULL, servers TEXT NOT NULL, began INTEGER NOT NULL, changed INTEGER NOT NULL,
		expires INTEGER NOT NULL, status INTEGER NOT NULL, header BLOB NOT NULL, answer BLOB NOT NULL, cut INTEGER NOT NULL,
		settled TEXT NOT NULL, note TEXT NOT NULL, version INTEGER NOT NULL, PRIMARY KEY (class, key)) WITHOUT ROWID;
	CREATE INDEX record_state ON record (state, changed);
	CREATE TABLE meta (name TEXT PRIMARY KEY, value INTEGER NOT NULL);`,
	`CREATE TABLE gaps (n INTEGER PRIMARY KEY AUTOINCREMENT, owner TEXT NOT NULL, class TEXT NOT NULL, since INTEGER NOT NULL,
		until INTEGER NOT NULL, requests INTEGER NOT NULL, cause TEXT NOT NULL);`,
}

// Version is the schema version that this build reads and writes.
var Version = len(migrations)

// migrate checks the file and, if this process is its only owner, brings its schema to
// version target.
func (s *Store) migrate(ctx context.Context, target int) error {
	if s.config.Owner && s.config.Lock == nil {
		if err := sqlitefile.CheckIntegrity(ctx, s.db); err != nil {
			return firstReadError(err)
		}
		return withAdvice(sqlitefile.Migrate(ctx, s.db, migrations, target))
	}
	// The integrity is not checked, as an operator may open a damaged file to export what can
	// be read.
	var current int
	if err := s.db.QueryRowContext(ctx, "PRAGMA user_version").Scan(&current); err != nil {
		return firstReadError(err)
	}
	if current < target {
		return &FileError{
			Problem: fmt.Errorf("the file has schema version %d, and this build needs version %d", current, Version),
			Next:    "start the sidecar first, which migrates the file",
		}
	}
	return sqlitefile.CheckVersion(current, Version)
}

// prepare sets the clock and the prepared statements. If this process is the file's only
// owner, it also ends the claims that the previous owner left in flight, as Entry.Lapse
// does for a single entry.
func (s *Store) prepare(ctx context.Context) error {
	var saved int64
	if err := s.db.QueryRowContext(ctx, "SELECT value FROM meta WHERE name = 'clock'").Scan(&saved); err != nil && !errors.Is(err, sql.ErrNoRows) {
		return err
	}
	wall := time.Now()
	s.clock = idempotency.NewClock(saved, wall, s.config.Retention)
	if err := s.prepareStatements(ctx); err != nil || !s.config.Owner || s.config.Lock != nil {
		return err
	}
	// The previous owner has ended, as its lock was free.
	now := s.clock.Time(wall)
	return s.transact(ctx, func(tx *sql.Tx) error {
		if _, err := tx.ExecContext(ctx, `UPDATE record SET `+idempotency.LapseAssignments+`, changed = ? WHERE state = 'in-flight'`, now); err != nil {
			return err
		}
		return s.saveClock(ctx, tx, now)
	})
}

// prepareStatements prepares the statements that are used for each op.
func (s *Store) prepareStatements(ctx context.Context) (err error) {
	prepare := func(query string) (statement *sql.Stmt) {
		if err == nil {
			statement, err = s.db.PrepareContext(ctx, query)
		}
		return statement
	}
	s.getEntry = prepare("SELECT " + idempotency.Columns + " FROM record WHERE class = ? AND key = ?")
	s.putEntry = prepare("INSERT OR REPLACE INTO record (" + idempotency.Columns + ") VALUES (?" + strings.Repeat(",?", strings.Count(idempotency.Columns, ",")) + ")")
	s.countPages = prepare("SELECT p.page_count - f.freelist_count FROM pragma_page_count p, pragma_freelist_count f")
	return err
}

// saveClock stores the clock's time, from which it continues after a restart.
func (s *Store) saveClock(ctx context.Context, tx *sql.Tx, now int64) error {
	_, err := tx.ExecContext(ctx, "INSERT OR REPLACE INTO meta (name, value) VALUES ('clock', ?)", now)
	return err
}
