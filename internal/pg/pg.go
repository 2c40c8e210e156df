// Package pg is what stores in a PostgreSQL database share: a bounded pool of connections,
// encrypted as configured, with a password from a file; migrations by one program at a
// time; transactions; errors that say what an operator can do, and which of them leave a
// transaction's outcome unknown. Schemas and queries are the stores' own, and so is
// whether a transaction is repeated.
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
	// maxConnectionIdle is how long an unused connection stays open.
	maxConnectionIdle = 5 * time.Minute
	rollbackTimeout   = time.Second
)

// Config says which database, and how it is used.
type Config struct {
	// URL is a connection string of PostgreSQL's, without a password.
	URL              string
	PasswordFile     string // "": none; read for each new connection
	CA               string // PEM file; "": as the URL says
	MaxConnections   int
	StatementTimeout time.Duration
	ConnectTimeout   time.Duration
}

// DB is a database with one Schema.
type DB struct {
	Pool        *pgxpool.Pool
	schema      Schema
	displayName string // in errors

	mu       sync.Mutex
	migrated bool // the schema is this build's
}

// Open returns the DB. It does not connect: Ready does.
func Open(config Config, schema Schema) (*DB, error) {
	poolConfig, err := pgxpool.ParseConfig(config.URL)
	if err != nil {
		return nil, fmt.Errorf("postgres.url: %w", err)
	}
	connConfig := poolConfig.ConnConfig
	if connConfig.Password != "" && config.PasswordFile != "" {
		return nil, errors.New("postgres.url holds a password and password_file is set: keep the file")
	}
	connConfig.ConnectTimeout = config.ConnectTimeout
	connConfig.RuntimeParams["statement_timeout"] = strconv.FormatInt(config.StatementTimeout.Milliseconds(), 10)
	connConfig.RuntimeParams["application_name"] = "martendrum"
	if config.CA != "" {
		if err := verifyServerWith(connConfig, config.CA); err != nil {
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

// readPassword sets a connection's password to that in a file.
func readPassword(connConfig *pgx.ConnConfig, path string) error {
	password, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("password_file: %w", err)
	}
	connConfig.Password = strings.TrimRight(string(password), "\r\n")
	return nil
}

// verifyServerWith makes connections verify the server's certificate and name by the CA in
// a file.
func verifyServerWith(connConfig *pgx.ConnConfig, path string) error {
	pem, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("postgres.ca: %w", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return fmt.Errorf("postgres.ca: %s holds no certificate in PEM form", path)
	}
	connConfig.TLSConfig = &tls.Config{RootCAs: roots, ServerName: connConfig.Host, MinVersion: tls.VersionTLS12}
	connConfig.Fallbacks = nil // never without TLS
	return nil
}

// Close closes the connections.
func (db *DB) Close() { db.Pool.Close() }

// Tx runs a transaction; committing says that an error is that of its COMMIT.
func (db *DB) Tx(ctx context.Context, do func(pgx.Tx) error) (committing bool, err error) {
	tx, err := db.Pool.BeginTx(ctx, pgx.TxOptions{IsoLevel: pgx.ReadCommitted})
	if err != nil {
		return false, err
	}
	if err = do(tx); err == nil {
		committing, err = true, tx.Commit(ctx)
	}
	if err != nil {
		// With a context of its own, as ctx may be done: a connection that is left in a
		// transaction is closed.
		rollback, cancel := context.WithTimeout(context.Background(), rollbackTimeout)
		tx.Rollback(rollback)
		cancel()
	}
	return committing, err
}

// CheckWritable checks that the server accepts writes.
func (db *DB) CheckWritable(ctx context.Context) error {
	if err := db.Ready(ctx); err != nil {
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
