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

// migrations bring a file from version n to n+1. They are never changed once
// released: a file may be at any of them.
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

// Version is the schema's that this build reads and writes.
var Version = len(migrations)

func (s *Store) migrate(ctx context.Context, to int) error {
	if s.config.Owner && s.config.Lock == nil {
		if err := sqlitefile.CheckIntegrity(ctx, s.db); err != nil {
			return damagedError(err)
		}
		return withAdvice(sqlitefile.Migrate(ctx, s.db, migrations, to))
	}
	// Others may look into what is left of a damaged file, and leave the schema alone.
	var have int
	if err := s.db.QueryRowContext(ctx, "PRAGMA user_version").Scan(&have); err != nil {
		return damagedError(err)
	}
	if have < to {
		return fmt.Errorf("its schema is version %d, this build's %d: start the sidecar first, which brings it up to date", have, Version)
	}
	return sqlitefile.CheckVersion(have, Version)
}

// prepare takes up where the last owner stopped.
func (s *Store) prepare(ctx context.Context) error {
	var saved int64
	if err := s.db.QueryRowContext(ctx, "SELECT value FROM meta WHERE name = 'clock'").Scan(&saved); err != nil && !errors.Is(err, sql.ErrNoRows) {
		return err
	}
	wall := time.Now()
	s.clock = idempotency.NewClock(saved, wall, s.config.Retention)
	var err error
	prepare := func(q string) (st *sql.Stmt) {
		if err == nil {
			st, err = s.db.PrepareContext(ctx, q)
		}
		return st
	}
	s.getEntry = prepare("SELECT " + idempotency.Columns + " FROM record WHERE class = ? AND key = ?")
	s.putEntry = prepare("INSERT OR REPLACE INTO record (" + idempotency.Columns + ") VALUES (?" + strings.Repeat(",?", strings.Count(idempotency.Columns, ",")) + ")")
	s.countPages = prepare("SELECT p.page_count - f.freelist_count FROM pragma_page_count p, pragma_freelist_count f")
	if err != nil || !s.config.Owner || s.config.Lock != nil {
		return err
	}
	// The former owner is dead: its lock was free. What Lapse says of one row is said
	// here of all.
	now := s.clock.Time(wall)
	return s.transact(ctx, func(tx *sql.Tx) error {
		if _, err := tx.ExecContext(ctx, `UPDATE record SET `+idempotency.LapseAssignments+`, changed = ? WHERE state = 'in-flight'`, now); err != nil {
			return err
		}
		return s.saveClock(ctx, tx, now)
	})
}

func (s *Store) saveClock(ctx context.Context, tx *sql.Tx, now int64) error {
	_, err := tx.ExecContext(ctx, "INSERT OR REPLACE INTO meta (name, value) VALUES ('clock', ?)", now)
	return err
}
