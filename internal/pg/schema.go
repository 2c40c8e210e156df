package pg

import (
	"context"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5"
)

// migrationTimeout limits a migration, including the wait for one by another program.
const migrationTimeout = 20 * time.Second

// Schema is a set of tables with a version. The version of an empty database is 0.
type Schema struct {
	VersionTable    string // name of the table that contains the version
	AdvisoryLockKey int64  // key of the advisory lock that a migration holds
	// Migrations[n] are the statements that bring the tables from version n to n+1. They are
	// not changed once they are released.
	Migrations [][]string
}

// EnsureSchema connects to the database and migrates its schema to the latest version, unless an
// earlier call has. It returns an error if the database can't be reached or used.
func (db *DB) EnsureSchema(ctx context.Context) error {
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

// Migrate brings the schema to version target in one transaction. If several programs call it
// at the same time, one migrates and the others wait. It returns an error that wraps
// ErrUnusable if a newer build has migrated the schema.
func (db *DB) Migrate(ctx context.Context, target int) error {
	ctx, cancel := context.WithTimeout(ctx, migrationTimeout)
	defer cancel()
	return pgx.BeginFunc(ctx, db.Pool, func(tx pgx.Tx) error { return db.migrate(ctx, tx, target) })
}

// migrate runs the statements of Migrate in a transaction.
func (db *DB) migrate(ctx context.Context, tx pgx.Tx, target int) error {
	execute := func(statement string, args ...any) error {
		_, err := tx.Exec(ctx, statement, args...)
		return err
	}
	if err := execute("SELECT pg_advisory_xact_lock($1::bigint)", db.schema.AdvisoryLockKey); err != nil {
		return err
	}
	if err := execute("CREATE TABLE IF NOT EXISTS " + db.schema.VersionTable + " (version BIGINT NOT NULL)"); err != nil {
		return err
	}
	var version int
	if err := tx.QueryRow(ctx, "SELECT CAST(coalesce(max(version), 0) AS bigint) FROM "+db.schema.VersionTable).Scan(&version); err != nil {
		return err
	}
	if version > len(db.schema.Migrations) {
		return fmt.Errorf("%w: its schema version is %d, and this build supports versions up to %d: run the newer build that migrated it", ErrUnusable, version, len(db.schema.Migrations))
	}
	for n := version; n < target; n++ {
		for _, statement := range db.schema.Migrations[n] {
			if err := execute(statement); err != nil {
				return fmt.Errorf("migrate to schema version %d: %w", n+1, err)
			}
		}
		if err := execute("INSERT INTO "+db.schema.VersionTable+" (version) VALUES ($1::bigint)", int64(n+1)); err != nil {
			return err
		}
	}
	return nil
}
