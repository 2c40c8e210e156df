// Package pg is what the users of a PostgreSQL database share: connections that are
// bounded, encrypted as configured and opened with a password from a file; a schema that
// is brought up to date by one program at a time; errors that say what to do; and which
// of them leave a transaction's outcome in doubt.
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
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgxpool"
)

// Why a database can't do its work, beside being away.
var (
	ErrFull     = errors.New("the server has no room")
	ErrReadOnly = errors.New("the server is a standby or read-only by its settings; name the primary")
	// ErrUnusable: it is there, and waiting does not help.
	ErrUnusable = errors.New("the database can't be used")
)

// migrationTimeout bounds bringing the schema up to date.
const migrationTimeout = 20 * time.Second

// Config says which database, and how it is used.
type Config struct {
	// URL is a connection string of PostgreSQL's, without a password.
	URL              string
	PasswordFile     string // "": none; read anew for each connection
	CA               string // PEM file; "": as the URL says
	MaxConnections   int    // at once, at most
	StatementTimeout time.Duration
	ConnectTimeout   time.Duration
}

// Schema is a set of tables that goes through versions.
type Schema struct {
	Name string // of the table that holds the version
	Lock int64  // the advisory lock under which it is brought up to date
	// Migrations bring it from version n to n+1, each a list of statements. They are
	// never changed once released.
	Migrations [][]string
}

// DB is a database with one Schema.
type DB struct {
	Pool        *pgxpool.Pool
	schema      Schema
	displayName string // for people

	mu       sync.Mutex
	migrated bool // the schema is this build's
}

// Open returns the DB. It does not need the server yet: Ready does.
func Open(cfg Config, schema Schema) (*DB, error) {
	pc, err := pgxpool.ParseConfig(cfg.URL)
	if err != nil {
		return nil, fmt.Errorf("postgres.url: %w", err)
	}
	if pc.ConnConfig.Password != "" && cfg.PasswordFile != "" {
		return nil, errors.New("postgres.url holds a password and password_file is set: keep the file")
	}
	c := pc.ConnConfig
	c.ConnectTimeout = cfg.ConnectTimeout
	c.RuntimeParams["statement_timeout"] = strconv.FormatInt(cfg.StatementTimeout.Milliseconds(), 10)
	c.RuntimeParams["application_name"] = "martendrum"
	if cfg.CA != "" {
		if err := verifyServerWith(c, cfg.CA); err != nil {
			return nil, err
		}
	}
	pc.MaxConns, pc.MinConns = int32(cfg.MaxConnections), 0
	pc.MaxConnIdleTime = 5 * time.Minute
	if cfg.PasswordFile != "" {
		pc.BeforeConnect = func(_ context.Context, c *pgx.ConnConfig) error {
			b, err := os.ReadFile(cfg.PasswordFile)
			if err != nil {
				return fmt.Errorf("password_file: %w", err)
			}
			c.Password = strings.TrimRight(string(b), "\r\n")
			return nil
		}
	}
	db := &DB{schema: schema, displayName: fmt.Sprintf("postgres %s:%d/%s", c.Host, c.Port, c.Database)}
	if db.Pool, err = pgxpool.NewWithConfig(context.Background(), pc); err != nil {
		return nil, fmt.Errorf("%s: %w", db.displayName, err)
	}
	return db, nil
}

// verifyServerWith makes connections verify the server by the CA in a file, its name too.
func verifyServerWith(c *pgx.ConnConfig, file string) error {
	pem, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("postgres.ca: %w", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return fmt.Errorf("postgres.ca: %s holds no certificate in PEM form", file)
	}
	c.TLSConfig = &tls.Config{RootCAs: roots, ServerName: c.Host, MinVersion: tls.VersionTLS12}
	c.Fallbacks = nil // never without TLS
	return nil
}

// Close closes the connections.
func (db *DB) Close() { db.Pool.Close() }

// SQLState is an error's SQLSTATE, "" if it is none of the server's.
func SQLState(err error) string {
	if e, ok := errors.AsType[*pgconn.PgError](err); ok {
		return e.Code
	}
	return ""
}

// Explain names the database and says what an operator can do about an error.
func (db *DB) Explain(err error) error {
	if err == nil {
		return nil
	}
	switch SQLState(err) {
	case "53100", "53200":
		err = fmt.Errorf("%w: %w", ErrFull, err)
	case "25006":
		err = fmt.Errorf("%w: %w", ErrReadOnly, err)
	case "28P01", "28000":
		err = fmt.Errorf("%w: the server does not let this user in; see password_file: %w", ErrUnusable, err)
	case "53300":
		err = fmt.Errorf("the server has no connection left; lower connections or raise its max_connections: %w", err)
	case "42501":
		err = fmt.Errorf("%w: this user may not; it needs to read and write the tables martendrum_*, and at first to create them: %w", ErrUnusable, err)
	}
	return fmt.Errorf("%s: %w", db.displayName, err)
}

// Ready brings the schema up to date, or says why the database can't be used.
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

// Migrate brings the schema to a version. Programs that start together wait here for
// the first of them.
func (db *DB) Migrate(ctx context.Context, to int) error {
	ctx, cancel := context.WithTimeout(ctx, migrationTimeout)
	defer cancel()
	return pgx.BeginFunc(ctx, db.Pool, func(tx pgx.Tx) error {
		do := func(q string, args ...any) error {
			_, err := tx.Exec(ctx, q, args...)
			return err
		}
		if err := do("SELECT pg_advisory_xact_lock($1::bigint)", db.schema.Lock); err != nil {
			return err
		}
		if err := do("CREATE TABLE IF NOT EXISTS " + db.schema.Name + " (version BIGINT NOT NULL)"); err != nil {
			return err
		}
		var have int
		if err := tx.QueryRow(ctx, "SELECT CAST(coalesce(max(version), 0) AS bigint) FROM "+db.schema.Name).Scan(&have); err != nil {
			return err
		}
		if have > len(db.schema.Migrations) {
			return fmt.Errorf("%w: its schema is version %d and this build knows up to %d: run the newer build that wrote it", ErrUnusable, have, len(db.schema.Migrations))
		}
		for n := have; n < to; n++ {
			for _, q := range db.schema.Migrations[n] {
				if err := do(q); err != nil {
					return fmt.Errorf("to schema version %d: %w", n+1, err)
				}
			}
			if err := do("INSERT INTO "+db.schema.Name+" (version) VALUES ($1::bigint)", int64(n+1)); err != nil {
				return err
			}
		}
		return nil
	})
}

// Tx makes one transaction; committing says that an error is that of its COMMIT.
func (db *DB) Tx(ctx context.Context, do func(pgx.Tx) error) (committing bool, err error) {
	tx, err := db.Pool.BeginTx(ctx, pgx.TxOptions{IsoLevel: pgx.ReadCommitted})
	if err != nil {
		return false, err
	}
	if err = do(tx); err == nil {
		committing, err = true, tx.Commit(ctx)
	}
	if err != nil {
		// Also when ctx is over: a connection left in a transaction is closed.
		back, cancel := context.WithTimeout(context.Background(), time.Second)
		tx.Rollback(back)
		cancel()
	}
	return committing, err
}

// RolledBack says that a transaction which ended with err was overtaken by another one and
// surely has no effect.
func RolledBack(err error) bool {
	switch SQLState(err) {
	case "40001", "40P01", "55P03":
		return true
	}
	return false
}

// OutcomeUnknown says that a COMMIT which ended with err may have taken effect: the connection
// was lost, or the server went down.
func OutcomeUnknown(err error) bool {
	state := SQLState(err)
	return err != nil && (state == "" || strings.HasPrefix(state, "57P"))
}

// CheckWritable asks whether the server takes writes.
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
