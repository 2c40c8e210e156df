package pg

import (
	"context"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5"
)

// migrationTimeout bounds a migration, with the wait for another program's.
const migrationTimeout = 20 * time.Second

// Schema is a set of tables that has a version.
type Schema struct {
	Name string // of the table that holds the version
	Lock int64  // the advisory lock of migrations
	// Migrations[n] are the statements that bring it from version n to n+1. Released ones
	// are never changed.
	Migrations [][]string
}

// Ready migrates the schema at the first call, or says why the database can't be used.
func (db *DB) Ready(ctx context.Context) error {
	db.mu.Lock()
	defer db.mu.Unlock()
	if db.migrated {
		return nil
	}
	if err := db.Migrate(ctx, len(db.schema.Migrations)); err != nil {
		return db.Explain(err)
	}
	db.migrated = true
	return nil
}

// Migrate brings the schema to a version. Of programs that start together one migrates,
// and the others wait for it.
func (db *DB) Migrate(ctx context.Context, to int) error {
	ctx, cancel := context.WithTimeout(ctx, migrationTimeout)
	defer cancel()
	return pgx.BeginFunc(ctx, db.Pool, func(tx pgx.Tx) error { return db.migrate(ctx, tx, to) })
}

func (db *DB) migrate(ctx context.Context, tx pgx.Tx, to int) error {
	execute := func(statement string, args ...any) error {
		_, err := tx.Exec(ctx, statement, args...)
		return err
	}
	if err := execute("SELECT pg_advisory_xact_lock($1::bigint)", db.schema.Lock); err != nil {
		return err
	}
	if err := execute("CREATE TABLE IF NOT EXISTS " + db.schema.Name + " (version BIGINT NOT NULL)"); err != nil {
		return err
	}
	var version int
	if err := tx.QueryRow(ctx, "SELECT CAST(coalesce(max(version), 0) AS bigint) FROM "+db.schema.Name).Scan(&version); err != nil {
		return err
	}
	if version > len(db.schema.Migrations) {
		return fmt.Errorf("%w: its schema is version %d and this build knows up to %d: run the newer build that wrote it", ErrUnusable, version, len(db.schema.Migrations))
	}
	for n := version; n < to; n++ {
		for _, statement := range db.schema.Migrations[n] {
			if err := execute(statement); err != nil {
				return fmt.Errorf("to schema version %d: %w", n+1, err)
			}
		}
		if err := execute("INSERT INTO "+db.schema.Name+" (version) VALUES ($1::bigint)", int64(n+1)); err != nil {
			return err
		}
	}
	return nil
}
