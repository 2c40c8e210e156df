// Package sqlitefile has what the stores in SQLite files have in common: opening a file with
// pragmas, checking its integrity, migrating its schema and reading rows. The stores have
// their own schemas and transactions.
package sqlitefile

import (
	"context"
	"database/sql"
	"errors"
	"fmt"
	"net/url"

	_ "modernc.org/sqlite" // the driver
)

// Open returns the database in the file at path. Each connection executes the pragmas, such
// as "journal_mode(WAL)", when it is opened, and each transaction takes the write lock when
// it begins. Open does not access the file: the first query does.
func Open(path string, pragmas ...string) (*sql.DB, error) {
	query := url.Values{"_pragma": pragmas, "_txlock": {"immediate"}}
	return sql.Open("sqlite", "file:"+(&url.URL{Path: path}).EscapedPath()+"?"+query.Encode())
}

// CheckIntegrity returns an error if the file is damaged. It reads the whole file, so its
// duration is proportional to the file's size.
func CheckIntegrity(ctx context.Context, db *sql.DB) error {
	var result string
	err := db.QueryRowContext(ctx, "PRAGMA quick_check(1)").Scan(&result)
	if err == nil && result != "ok" {
		err = errors.New(result)
	}
	return err
}

// NewerSchemaError means that a newer build has migrated the file. Version is the file's
// schema version, Known the latest that this build supports.
type NewerSchemaError struct{ Version, Known int }

// Error joins the versions and the operator's next step.
func (e *NewerSchemaError) Error() string {
	return fmt.Sprintf("its schema version is %d, and this build supports versions up to %d: %s", e.Version, e.Known, e.Advice())
}

// Advice returns what the operator can do.
func (e *NewerSchemaError) Advice() string { return "run the newer build that migrated it" }

// CheckVersion returns a *NewerSchemaError if version, a file's schema version, is above
// known, the latest that this build supports.
func CheckVersion(version, known int) error {
	if version <= known {
		return nil
	}
	return &NewerSchemaError{Version: version, Known: known}
}

// Migrate brings a file's schema to version target in one transaction; migrations[n] are the
// statements that bring it from version n to n+1. A file that has this version or a later
// one is not changed. If its version is above len(migrations), the error is a
// *NewerSchemaError.
func Migrate(ctx context.Context, db *sql.DB, migrations []string, target int) error {
	tx, err := db.BeginTx(ctx, nil)
	if err != nil {
		return fmt.Errorf("the file can't be written: %w", err)
	}
	defer tx.Rollback()
	var version int
	if err := tx.QueryRowContext(ctx, "PRAGMA user_version").Scan(&version); err != nil {
		return err
	}
	if err := CheckVersion(version, len(migrations)); err != nil {
		return err
	}
	if version >= target {
		return nil
	}
	for n := version; n < target; n++ {
		if _, err := tx.ExecContext(ctx, migrations[n]); err != nil {
			return fmt.Errorf("migrate to schema version %d: %w", n+1, err)
		}
	}
	if _, err := tx.ExecContext(ctx, fmt.Sprintf("PRAGMA user_version = %d", target)); err != nil {
		return err
	}
	return tx.Commit()
}

// ForEachRow runs a query and calls scan for each row of its result. It stops at the first
// error of scan and returns it.
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
