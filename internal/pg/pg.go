// Package pg has what the stores in PostgreSQL databases have in common: a pool with a
// limited number of connections, TLS and passwords as configured, schema migrations that run
// in one program at a time, transactions, and errors that say what an operator can do and
// whether a transaction may have been committed. The stores have their own schemas and
// queries, and decide whether a transaction is repeated.
package pg

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgxpool"
)

const (
	// maxConnectionIdle is how long an idle connection stays open.
	maxConnectionIdle = 5 * time.Minute
	rollbackTimeout   = time.Second
)

// Config says which database is opened and how it is used.
type Config struct {
	// URL is a PostgreSQL connection string. It must not contain a password if PasswordFile is
	// set.
	URL              string
	PasswordFile     string // file that is read for each new connection; "": none
	CA               string // PEM file that verifies the server's certificate; "": the URL decides about TLS
	MaxConnections   int
	StatementTimeout time.Duration // enforced by the server, which is given whole milliseconds
	ConnectTimeout   time.Duration
}

// DB is a database with one Schema. Its methods, except Close, may be called concurrently.
type DB struct {
	Pool        *pgxpool.Pool // for queries of the store, once EnsureSchema has returned nil
	schema      Schema
	displayName string // name in errors: host, port and database

	mu       sync.Mutex // guards migrated; held during a migration
	migrated bool       // the database has this build's schema version
}

// Open checks config and returns a DB. It does not connect: the first call of
// EnsureSchema does.
func Open(config Config, schema Schema) (*DB, error) {
	poolConfig, err := pgxpool.ParseConfig(config.URL)
	if err != nil {
		return nil, fmt.Errorf("postgres.url: %w", err)
	}
	connConfig := poolConfig.ConnConfig
	if connConfig.Password != "" && config.PasswordFile != "" {
		return nil, errors.New("postgres.url contains a password and password_file is set; remove the password from postgres.url")
	}
	connConfig.ConnectTimeout = config.ConnectTimeout
	connConfig.RuntimeParams["statement_timeout"] = strconv.FormatInt(config.StatementTimeout.Milliseconds(), 10)
	connConfig.RuntimeParams["application_name"] = "martendrum"
	if config.CA != "" {
		if err := setServerCA(connConfig, config.CA); err != nil {
			return nil, err
		}
	}
	poolConfig.MaxConns, poolConfig.MinConns = int32(config.MaxConnections), 0
	poolConfig.MaxConnIdleTime = maxConnectionIdle
	if config.PasswordFile != "" {
		poolConfig.BeforeConnect = func(_ context.Context, connConfig *pgx.ConnConfig) error {
			return readPassword(connConfig, config.PasswordFile)
		}
	}
	db := &DB{schema: schema, displayName: fmt.Sprintf("postgres %s:%d/%s", connConfig.Host, connConfig.Port, connConfig.Database)}
	if db.Pool, err = pgxpool.NewWithConfig(context.Background(), poolConfig); err != nil {
		return nil, fmt.Errorf("%s: %w", db.displayName, err)
	}
	return db, nil
}

// readPassword sets the password of a connection to the content of a file, without the
// line break at its end.
func readPassword(connConfig *pgx.ConnConfig, path string) error {
	password, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("password_file: %w", err)
	}
	connConfig.Password = strings.TrimRight(string(password), "\r\n")
	return nil
}

// setServerCA makes connections use TLS and verify the server's certificate and host name
// with the CA certificates in a file.
func setServerCA(connConfig *pgx.ConnConfig, path string) error {
	pem, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("postgres.ca: %w", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return fmt.Errorf("postgres.ca: %s contains no certificate in PEM format", path)
	}
	connConfig.TLSConfig = &tls.Config{RootCAs: roots, ServerName: connConfig.Host, MinVersion: tls.VersionTLS12}
	connConfig.Fallbacks = nil // never connect without TLS
	return nil
}

// Close closes the connections.
func (db *DB) Close() { db.Pool.Close() }

// Tx runs apply in a transaction and commits it, unless apply returns an error. committing
// reports whether err is the error of the COMMIT. Errors are not explained, see Explain.
func (db *DB) Tx(ctx context.Context, apply func(pgx.Tx) error) (committing bool, err error) {
	tx, err := db.Pool.BeginTx(ctx, pgx.TxOptions{IsoLevel: pgx.ReadCommitted})
	if err != nil {
		return false, err
	}
	if err = apply(tx); err == nil {
		committing, err = true, tx.Commit(ctx)
	}
	if err != nil {
		// The rollback has its own context, as ctx may be done. Without a rollback, the pool
		// would close the connection.
		rollbackCtx, cancel := context.WithTimeout(context.Background(), rollbackTimeout)
		tx.Rollback(rollbackCtx)
		cancel()
	}
	return committing, err
}

// CheckWritable migrates the schema as EnsureSchema does, and returns an error that wraps
// ErrReadOnly if the server does not accept writes.
func (db *DB) CheckWritable(ctx context.Context) error {
	if err := db.EnsureSchema(ctx); err != nil {
		return err
	}
	var readOnly string
	if err := db.Pool.QueryRow(ctx, "SELECT current_setting('transaction_read_only')").Scan(&readOnly); err != nil {
		return db.Explain(err)
	}
	if readOnly == "on" {
		return db.Explain(ErrReadOnly)
	}
	return nil
}
