package postgres

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"martendrum/internal/idempotency"
	bt "martendrum/internal/idempotency/backendtest"
	"martendrum/internal/standin/pgserver"
)

var ctx = context.Background()

// testConfig returns a configuration for the database at a URL.
func testConfig(databaseURL string) Config {
	return Config{URL: databaseURL, MaxConnections: 4, StatementTimeout: 5 * time.Second, ConnectTimeout: 5 * time.Second}
}

// startServer starts a stand-in for a PostgreSQL server that is stopped when the test ends.
func startServer(t *testing.T, config pgserver.Config) *pgserver.Server {
	t.Helper()
	server, err := pgserver.Start(config)
	if err != nil {
		t.Fatalf("start the stand-in for PostgreSQL: %v", err)
	}
	t.Cleanup(func() { server.Close() })
	return server
}

// mustOpen opens a store that is closed when the test ends.
func mustOpen(t *testing.T, config Config) *Store {
	t.Helper()
	store, err := Open(config)
	if err != nil {
		t.Fatalf("open the store: %v", err)
	}
	t.Cleanup(func() { store.Close() })
	return store
}

// TestBackend runs the tests of all backends.
func TestBackend(t *testing.T) {
	bt.Run(t, func(t *testing.T) idempotency.Backend {
		return mustOpen(t, testConfig(startServer(t, pgserver.Config{}).URL()))
	})
}

// TestRealServer runs the tests of all backends against the PostgreSQL server whose URL is in
// the environment variable MARTENDRUM_TEST_POSTGRES. Each test creates a schema and drops it
// at its end.
func TestRealServer(t *testing.T) {
	serverURL := os.Getenv("MARTENDRUM_TEST_POSTGRES")
	if serverURL == "" {
		t.Skip("MARTENDRUM_TEST_POSTGRES is not set to the URL of a PostgreSQL server")
	}
	schemas := 0
	bt.Run(t, func(t *testing.T) idempotency.Backend {
		schemas++
		schema := fmt.Sprintf("martendrum_test_%d_%d", os.Getpid(), schemas)
		conn, err := pgx.Connect(ctx, serverURL)
		if err != nil {
			t.Fatalf("connect to the server: %v", err)
		}
		if _, err := conn.Exec(ctx, "CREATE SCHEMA "+schema); err != nil {
			t.Fatalf("create the schema %s: %v", schema, err)
		}
		t.Cleanup(func() {
			conn.Exec(ctx, "DROP SCHEMA "+schema+" CASCADE")
			conn.Close(ctx)
		})
		schemaURL, err := url.Parse(serverURL)
		if err != nil {
			t.Fatalf("parse the URL in MARTENDRUM_TEST_POSTGRES: %v", err)
		}
		query := schemaURL.Query()
		query.Set("search_path", schema)
		schemaURL.RawQuery = query.Encode()
		return mustOpen(t, testConfig(schemaURL.String()))
	})
}

// TestMigrations checks that a database of each earlier schema version is migrated, and that
// one of a later version is rejected.
func TestMigrations(t *testing.T) {
	for from := range Version {
		server := startServer(t, pgserver.Config{})
		older := mustOpen(t, testConfig(server.URL()))
		if err := older.db.Migrate(ctx, from); err != nil {
			t.Fatalf("create a database with schema version %d: %v", from, err)
		}
		store := mustOpen(t, testConfig(server.URL()))
		bt.Expect(t, store, bt.Claim("k", "a", time.Hour), idempotency.Granted)
		if err := store.WriteGap(ctx, idempotency.Gap{Class: "x"}); err != nil {
			t.Errorf("write a gap to a database migrated from schema version %d: %v", from, err)
		}
	}
	server := startServer(t, pgserver.Config{})
	store := mustOpen(t, testConfig(server.URL()))
	if err := store.ensureSchema(ctx); err != nil {
		t.Fatalf("migrate an empty database: %v", err)
	}
	store.db.Pool.Exec(ctx, "INSERT INTO martendrum_schema (version) VALUES ($1::bigint)", int64(99))
	if err := mustOpen(t, testConfig(server.URL())).ensureSchema(ctx); err == nil || !strings.Contains(err.Error(), "newer build") {
		t.Errorf("use a database with schema version 99: got error %v, want one containing \"newer build\"", err)
	}
}

// TestAmbiguousCommit checks transactions whose COMMIT fails twice before or after it takes
// effect, so that the store does not know whether they were committed. Each op must be
// applied once and return its true result.
func TestAmbiguousCommit(t *testing.T) {
	for _, stage := range []pgserver.Stage{pgserver.Before, pgserver.After} {
		for _, fault := range []pgserver.Fault{{Reset: true}, {Code: "57P01"}, {Code: "40001"}} {
			t.Run(fmt.Sprintf("%s %v %s", stage, fault.Reset, fault.Code), func(t *testing.T) {
				server := startServer(t, pgserver.Config{})
				store := mustOpen(t, testConfig(server.URL()))
				bt.Expect(t, store, bt.Claim("warm", "w", time.Hour), idempotency.Granted)
				var faultsLeft, faults atomic.Int64
				server.Inject(func(event pgserver.Event) pgserver.Fault {
					if event.Stage == stage && strings.EqualFold(event.SQL, "commit") && faultsLeft.Add(-1) >= 0 {
						faults.Add(1)
						return fault
					}
					return pgserver.Fault{}
				})
				for n, op := range []*idempotency.Op{bt.Claim("k", "a", time.Hour), bt.Send("k", "a", 0), bt.Send("k", "a", 1), bt.End("k", "a", idempotency.Answered)} {
					faultsLeft.Store(2) // the COMMIT and that of the first retry
					bt.Expect(t, store, op, idempotency.Granted)
					if faults.Load() != int64(2*n+2) {
						t.Fatalf("after op %d: the server has injected %d faults, want %d", n, faults.Load(), 2*n+2)
					}
				}
				entry, err := store.Get(ctx, "activate", "k")
				if err != nil || entry.Attempts != 2 || entry.Servers != "s0,s1" || entry.State != idempotency.Answered || entry.Version != 4 {
					t.Errorf("Get() = %+v, %v; want 2 attempts at s0 and s1, the state %q and version 4", entry, err, idempotency.Answered)
				}
			})
		}
	}
}

// TestDatabaseFaults checks that the store reports each fault of the server in time with its
// cause, and works again after the fault.
func TestDatabaseFaults(t *testing.T) {
	server := startServer(t, pgserver.Config{MaxConns: 3})
	config := testConfig(server.URL())
	config.StatementTimeout, config.ConnectTimeout = 200*time.Millisecond, 200*time.Millisecond
	store := mustOpen(t, config)
	bt.Expect(t, store, bt.Claim("warm", "w", time.Hour), idempotency.Granted)
	always := func(fault pgserver.Fault) func(pgserver.Event) pgserver.Fault {
		return func(event pgserver.Event) pgserver.Fault { return fault }
	}
	outages := 0
	for name, outage := range map[string]struct {
		begin, end func()
		want       string // text in the error
	}{
		"slow":              {func() { server.Inject(always(pgserver.Fault{Delay: time.Hour})) }, func() { server.Inject(nil) }, "57014"},
		"hung":              {func() { server.Inject(always(pgserver.Fault{Stall: true})) }, func() { server.Inject(nil) }, "57014"},
		"reset":             {func() { server.Inject(always(pgserver.Fault{Reset: true})) }, func() { server.Inject(nil) }, ""},
		"shutting down":     {func() { server.Inject(always(pgserver.Fault{Code: "57P01"})) }, func() { server.Inject(nil) }, "57P01"},
		"serialization":     {func() { server.Inject(always(pgserver.Fault{Code: "40001"})) }, func() { server.Inject(nil) }, "40001"},
		"out of disk space": {func() { server.Inject(always(pgserver.Fault{Code: "53100"})) }, func() { server.Inject(nil) }, "full"},
		"read-only":         {func() { server.SetReadOnly(true) }, func() { server.SetReadOnly(false) }, "name the primary"},
		"starting up":       {func() { server.SetRejecting(true); server.ResetAll() }, func() { server.SetRejecting(false) }, "57P03"},
	} {
		t.Run(name, func(t *testing.T) {
			outages++
			key := fmt.Sprint("k", outages)
			outage.begin()
			expectClaimError(t, store, key, server.Addr(), outage.want)
			outage.end()
			awaitClaim(t, store, key)
		})
	}
	if err := store.Ping(ctx); err != nil {
		t.Errorf("Ping() after the faults = %v, want no error", err)
	}
	server.SetReadOnly(true)
	if err := store.Ping(ctx); !errors.Is(err, idempotency.ErrReadOnly) {
		t.Errorf("Ping() of a read-only server = %v, want ErrReadOnly", err)
	}
}

// expectClaimError checks that a claim fails within 10 s, with an error that contains the
// server's address and want.
func expectClaimError(t *testing.T, store *Store, key, address, want string) {
	t.Helper()
	started := time.Now()
	claimCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	err := store.Apply(claimCtx, []*idempotency.Op{bt.Claim(key, key, time.Hour)})
	for range 3 { // a connection that is open in the pool may first fail with another error
		if err != nil && !strings.Contains(err.Error(), want) {
			err = store.Apply(claimCtx, []*idempotency.Op{bt.Claim(key, key, time.Hour)})
		}
	}
	if err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), address) {
		t.Errorf("claim during the fault: got error %v, want one containing %q and the address %s", err, want, address)
	}
	if elapsed := time.Since(started); elapsed > 10*time.Second {
		t.Errorf("the claim took %v to fail, want at most 10s", elapsed)
	}
}

// awaitClaim claims a key until the claim is granted, for up to 20 s.
func awaitClaim(t *testing.T, store *Store, key string) {
	t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for {
		op := bt.Claim(key, key, time.Hour)
		err := store.Apply(ctx, []*idempotency.Op{op})
		if err == nil && op.Result == idempotency.Granted {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("claim after the fault was not granted within 20s: result %v, error %v", op.Result, err)
		}
	}
}

// TestPasswordAndBound checks that the password is read from its file for each connection,
// that the number of connections is limited, and that Open rejects an invalid CA and URL.
func TestPasswordAndBound(t *testing.T) {
	server := startServer(t, pgserver.Config{User: "kasir", Password: "rahasia"})
	file := filepath.Join(t.TempDir(), "password")
	os.WriteFile(file, []byte("wrong\n"), 0o600)
	config := testConfig(server.URL())
	config.PasswordFile, config.MaxConnections = file, 2
	store := mustOpen(t, config)
	if err := store.Ping(ctx); err == nil || !strings.Contains(err.Error(), "password_file") {
		t.Errorf("Ping() with a wrong password = %v, want an error containing \"password_file\"", err)
	}
	os.WriteFile(file, []byte("rahasia\n"), 0o600)
	if err := store.Ping(ctx); err != nil {
		t.Fatalf("Ping() after the password file was corrected: %v", err)
	}
	results := make(chan error)
	for n := range 10 {
		go func() {
			key := fmt.Sprint(n)
			results <- store.Apply(ctx, []*idempotency.Op{bt.Claim(key, key, time.Hour)})
		}()
	}
	for range 10 {
		if err := <-results; err != nil {
			t.Errorf("concurrent claim: %v", err)
		}
		if open := server.OpenSessions(); open > 2 {
			t.Errorf("the store has %d open connections, want at most 2", open)
		}
	}
	for want, config := range map[string]Config{"postgres.ca": {URL: server.URL(), CA: file, MaxConnections: 1}, "postgres.url": {URL: "postgres://%zz"}} {
		if _, err := Open(config); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("Open(%+v): got error %v, want one containing %q", config, err, want)
		}
	}
}
