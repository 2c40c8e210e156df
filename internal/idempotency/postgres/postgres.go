// Package postgres stores idempotency entries in a PostgreSQL database that many sidecars
// share, so that each recognises the keys of the others. All times are those of the
// database server. A key belongs to the claim whose token is in the key's row, and ops with
// another token are fenced. Each write requires that the row still has the version that was
// read. A transaction whose outcome is unknown, for example because the connection was lost
// during COMMIT, is repeated. Package idempotency decides how an op changes an entry.
package postgres

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"martendrum/internal/idempotency"
	"martendrum/internal/pg"
)

// schema has the tables of the store, see idempotency.Columns for the columns of an entry.
var schema = pg.Schema{VersionTable: "martendrum_schema", AdvisoryLockKey: 0x6d6172746e, Migrations: [][]string{
	{`CREATE TABLE martendrum_record (
		class TEXT NOT NULL, key TEXT NOT NULL, state TEXT NOT NULL, body BYTEA NOT NULL, owner TEXT NOT NULL, token TEXT NOT NULL,
		request TEXT NOT NULL, attempts BIGINT NOT NULL, servers TEXT NOT NULL, began BIGINT NOT NULL, changed BIGINT NOT NULL,
		expires BIGINT NOT NULL, status BIGINT NOT NULL, header BYTEA NOT NULL, answer BYTEA NOT NULL, cut BOOLEAN NOT NULL,
		settled TEXT NOT NULL, note TEXT NOT NULL, version BIGINT NOT NULL, PRIMARY KEY (class, key))`,
		`CREATE INDEX martendrum_record_state ON martendrum_record (state, changed)`},
	{`CREATE TABLE martendrum_gaps (owner TEXT NOT NULL, class TEXT NOT NULL, since BIGINT NOT NULL, until BIGINT NOT NULL,
		requests BIGINT NOT NULL, cause TEXT NOT NULL, PRIMARY KEY (owner, class, since))`,
		`CREATE INDEX martendrum_gaps_until ON martendrum_gaps (until)`},
}}

// Version is the schema version that this build reads and writes.
var Version = len(schema.Migrations)

const (
	// maxGaps is the maximum number of gaps that are stored; older ones are deleted.
	maxGaps = 1000
	// maxRetries is how often Apply repeats a transaction that may be repeated.
	maxRetries = 8
	// maxBackoffDoublings limits the backoff before a retry to 32 ms.
	maxBackoffDoublings = 5
	// nowMicros is the SQL expression for the database's time as a Unix time in microseconds.
	nowMicros = "CAST(date_part('epoch', clock_timestamp()) * 1000000 AS bigint)"
	// keyColumns is the number of columns of the primary key, which come first in
	// idempotency.Columns.
	keyColumns = 2
)

// Config says which database is opened and how it is used.
type Config = pg.Config

// Store is an idempotency store in a database. It implements idempotency.Backend.
type Store struct {
	db      *pg.DB
	columns []string // idempotency.Columns, split
	insert  string   // statement that inserts an entry unless its key has a row
	update  string   // statement that updates an entry if its row still has the version that was read
}

// Open returns a Store. It checks config but does not connect, so that a sidecar can start
// while the database is unavailable. If the database can't be used or has a newer schema
// than this build, each method returns an error.
func Open(config Config) (*Store, error) {
	db, err := pg.Open(config, schema)
	if err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	s := &Store{db: db, columns: strings.Split(idempotency.Columns, ", ")}
	s.buildStatements()
	return s, nil
}

// columnTypes are the types of the columns that are not text.
var columnTypes = map[string]string{
	"body": "bytea", "header": "bytea", "answer": "bytea", "cut": "boolean", "attempts": "bigint", "began": "bigint",
	"changed": "bigint", "expires": "bigint", "status": "bigint", "version": "bigint",
}

// buildStatements sets the statements insert and update.
func (s *Store) buildStatements() {
	var parameters, assignments []string
	for n, column := range s.columns {
		columnType := columnTypes[column]
		if columnType == "" {
			columnType = "text"
		}
		parameter := fmt.Sprintf("$%d::%s", n+1, columnType)
		parameters = append(parameters, parameter)
		if n >= keyColumns {
			assignments = append(assignments, column+" = "+parameter)
		}
	}
	s.insert = "INSERT INTO martendrum_record (" + idempotency.Columns + ") VALUES (" + strings.Join(parameters, ", ") + ") ON CONFLICT (class, key) DO NOTHING"
	s.update = "UPDATE martendrum_record SET " + strings.Join(assignments, ", ") +
		fmt.Sprintf(" WHERE class = $1::text AND key = $2::text AND version = $%d::bigint", len(s.columns)+1)
}

// Close implements idempotency.Backend. It closes the connections to the database.
func (s *Store) Close() error {
	s.db.Close()
	return nil
}

// explain adds to an error of the database the database's name, what an operator can do and
// the error of package idempotency that applies; nil stays nil.
func (s *Store) explain(err error) error { return asStoreError(s.db.Explain(err)) }

// asStoreError adds to an error of package pg the error of package idempotency that has the
// same meaning, if there is one; nil stays nil.
func asStoreError(err error) error {
	for databaseError, storeError := range map[error]error{pg.ErrFull: idempotency.ErrFull, pg.ErrReadOnly: idempotency.ErrReadOnly, pg.ErrUnusable: idempotency.ErrUnusable} {
		if errors.Is(err, databaseError) {
			return fmt.Errorf("record: %w: %w", storeError, err)
		}
	}
	if err != nil {
		err = fmt.Errorf("record: %w", err)
	}
	return err
}

// ensureSchema connects to the database and migrates its schema, unless an earlier call has.
func (s *Store) ensureSchema(ctx context.Context) error {
	return asStoreError(s.db.EnsureSchema(ctx))
}
