// Package sqlitefile is what stores in SQLite files share: opening a file with its
// pragmas, checking its integrity, migrating its schema and reading rows. Schemas and
// transactions are the stores' own.
package sqlitefile

import (
	"context"
	"database/sql"
	"errors"
	"fmt"
	"net/url"

	_ "modernc.org/sqlite" // the driver
)

// Open returns the database in a file. Each connection begins with the pragmas, and each
// transaction takes the writer's lock when it begins.
func Open(path string, pragmas ...string) (*sql.DB, error) {
	query := url.Values{"_pragma": pragmas, "_txlock": {"immediate"}}
	return sql.Open("sqlite", "file:"+(&url.URL{Path: path}).EscapedPath()+"?"+query.Encode())
}

// CheckIntegrity checks the file for damage. It takes time in proportion to its size.
func CheckIntegrity(ctx context.Context, db *sql.DB) error {
	var result string
	err := db.QueryRowContext(ctx, "PRAGMA quick_check(1)").Scan(&result)
	if err == nil && result != "ok" {
		err = errors.New(result)
	}
	return err
}

// NewerSchemaError says that a newer build wrote the schema.
type NewerSchemaError struct{ Version, Known int }

// Error has the versions and the next step.
func (e *NewerSchemaError) Error() string {
	return fmt.Sprintf("its schema is version %d and this build knows up to %d: %s", e.Version, e.Known, e.Advice())
}

// Advice is the next step.
func (e *NewerSchemaError) Advice() string { return "run the newer build that wrote it" }

// CheckVersion returns a *NewerSchemaError if a schema's version is above the one that
// this build knows.
func CheckVersion(version, known int) error {
	if version <= known {
		return nil
	}
	return &NewerSchemaError{Version: version, Known: known}
}

// Migrate brings the schema to a version in one transaction. migrations[n] brings it from
// version n to n+1.
func Migrate(ctx context.Context, db *sql.DB, migrations []string, to int) error {
	tx, err := db.BeginTx(ctx, nil)
	if err != nil {
		return fmt.Errorf("it can't be written: %w", err)
	}
	defer tx.Rollback()
	var version int
	if err := tx.QueryRowContext(ctx, "PRAGMA user_version").Scan(&version); err != nil {
		return err
	}
	if err := CheckVersion(version, len(migrations)); err != nil {
		return err
	}
	if version >= to {
		return nil
	}
	for n := version; n < to; n++ {
		if _, err := tx.ExecContext(ctx, migrations[n]); err != nil {
			return fmt.Errorf("to schema version %d: %w", n+1, err)
		}
	}
	if _, err := tx.ExecContext(ctx, fmt.Sprintf("PRAGMA user_version = %d", to)); err != nil {
		return err
	}
	return tx.Commit()
}

// ForEachRow calls scan for each row of a query, until it fails.
func ForEachRow(ctx context.Context, db *sql.DB, query string, scan func(*sql.Rows) error, args ...any) error {
	rows, err := db.QueryContext(ctx, query, args...)
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
