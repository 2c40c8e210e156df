// Package sqlitefile is what the users of SQLite files share: how one is named and
// tuned, looked over for damage and brought up to date, and rows are read.
package sqlitefile

import (
	"context"
	"database/sql"
	"errors"
	"fmt"
	"net/url"

	_ "modernc.org/sqlite" // the driver
)

// Open returns a file's database, each connection of which begins with the pragmas.
// Transactions take the writer's lock at their begin.
func Open(path string, pragmas ...string) (*sql.DB, error) {
	q := url.Values{"_pragma": pragmas, "_txlock": {"immediate"}}
	return sql.Open("sqlite", "file:"+(&url.URL{Path: path}).EscapedPath()+"?"+q.Encode())
}

// CheckIntegrity looks the file over for damage, in proportion to its size.
func CheckIntegrity(ctx context.Context, db *sql.DB) error {
	var ok string
	err := db.QueryRowContext(ctx, "PRAGMA quick_check(1)").Scan(&ok)
	if err == nil && ok != "ok" {
		err = errors.New(ok)
	}
	return err
}

// CheckVersion is the error of a schema that a newer build wrote, nil if this build knows it.
func CheckVersion(have, known int) error {
	if have <= known {
		return nil
	}
	return fmt.Errorf("its schema is version %d and this build knows up to %d: run the newer build that wrote it", have, known)
}

// Migrate brings the schema to a version in one transaction; migrations bring it from
// version n to n+1.
func Migrate(ctx context.Context, db *sql.DB, migrations []string, to int) error {
	tx, err := db.BeginTx(ctx, nil)
	if err != nil {
		return fmt.Errorf("it can't be written: %w", err)
	}
	defer tx.Rollback()
	var have int
	if err := tx.QueryRowContext(ctx, "PRAGMA user_version").Scan(&have); err != nil {
		return err
	}
	if err := CheckVersion(have, len(migrations)); err != nil {
		return err
	}
	if have >= to {
		return nil
	}
	for n := have; n < to; n++ {
		if _, err := tx.ExecContext(ctx, migrations[n]); err != nil {
			return fmt.Errorf("to schema version %d: %w", n+1, err)
		}
	}
	if _, err := tx.ExecContext(ctx, fmt.Sprintf("PRAGMA user_version = %d", to)); err != nil {
		return err
	}
	return tx.Commit()
}

// ForEachRow reads the rows of a query, of which scan takes each.
func ForEachRow(ctx context.Context, db *sql.DB, q string, scan func(*sql.Rows) error, args ...any) error {
	rows, err := db.QueryContext(ctx, q, args...)
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
