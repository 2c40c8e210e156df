// Package postgres is an idempotency store that many sidecars share in one PostgreSQL
// database, so that each recognises the others' keys. Times are the database's. A key
// belongs to the claim whose token its row holds. Each write requires the version of the
// row that was read, and ops with another token are fenced. A transaction whose outcome is
// unknown, as after a connection lost in COMMIT, is repeated. What an op does to an entry
// is decided by package idempotency.
package postgres

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"martendrum/internal/idempotency"
	"martendrum/internal/pg"
)

var schema = pg.Schema{Name: "martendrum_schema", Lock: 0x6d6172746e, Migrations: [][]string{
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
	// maxGaps is how many gaps are stored; older ones are dropped.
	maxGaps = 1000
	// maxRetries is how often a transaction that may be repeated is.
	maxRetries = 8
	// maxBackoffDoublings bounds the pause before a retry to 32 ms.
	maxBackoffDoublings = 5
	// nowMicros is SQL for the database's time in microseconds since 1970.
	nowMicros = "CAST(date_part('epoch', clock_timestamp()) * 1000000 AS bigint)"
	// keyColumns is the number of columns of the primary key, which are the first.
	keyColumns = 2
)

// Config says which database, and how it is used.
type Config = pg.Config

// Store is an idempotency store in a database.
type Store struct {
	db      *pg.DB
	columns []string
	insert  string
	update  string
}

// Open returns the Store. It does not connect, so that a sidecar starts without the
// database. A schema that is newer than this build's, or a database that can't be used, is
// an error of the first call.
func Open(config Config) (*Store, error) {
	db, err := pg.Open(config, schema)
	if err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	s := &Store{db: db, columns: strings.Split(idempotency.Columns, ", ")}
	s.buildStatements()
	return s, nil
}

// columnTypes are those of the columns that are not text.
var columnTypes = map[string]string{
	"body": "bytea", "header": "bytea", "answer": "bytea", "cut": "boolean", "attempts": "bigint", "began": "bigint",
	"changed": "bigint", "expires": "bigint", "status": "bigint", "version": "bigint",
}

// buildStatements builds the statements that write all columns.
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

// Close closes the connections.
func (s *Store) Close() error {
	s.db.Close()
	return nil
}

// explain names the database and adds what an operator can do.
func (s *Store) explain(err error) error { return asStoreError(s.db.Explain(err)) }

// asStoreError adds to an error of the database the one that callers of
// idempotency.Backend branch on.
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

// awaitSchema connects and migrates the schema at the first call.
func (s *Store) awaitSchema(ctx context.Context) error {
	return asStoreError(s.db.Ready(ctx))
}
