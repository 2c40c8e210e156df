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

func config(u string) Config {
	return Config{URL: u, MaxConnections: 4, StatementTimeout: 5 * time.Second, ConnectTimeout: 5 * time.Second}
}

func serve(t *testing.T, cfg pgserver.Config) *pgserver.Server {
	t.Helper()
	s, err := pgserver.Start(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	return s
}

func mustOpen(t *testing.T, c Config) *Store {
	t.Helper()
	s, err := Open(c)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	return s
}

func TestBackend(t *testing.T) {
	bt.Run(t, func(t *testing.T) idempotency.Backend { return mustOpen(t, config(serve(t, pgserver.Config{}).URL())) })
}

// TestRealServer runs the same tests against a real server, where an operator names one.
// Each test has a schema of its own, which is dropped.
func TestRealServer(t *testing.T) {
	at := os.Getenv("MARTENDRUM_TEST_POSTGRES")
	if at == "" {
		t.Skip("MARTENDRUM_TEST_POSTGRES names no server")
	}
	n := 0
	bt.Run(t, func(t *testing.T) idempotency.Backend {
		n++
		schema := fmt.Sprintf("martendrum_test_%d_%d", os.Getpid(), n)
		conn, err := pgx.Connect(ctx, at)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := conn.Exec(ctx, "CREATE SCHEMA "+schema); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() {
			conn.Exec(ctx, "DROP SCHEMA "+schema+" CASCADE")
			conn.Close(ctx)
		})
		u, err := url.Parse(at)
		if err != nil {
			t.Fatal(err)
		}
		q := u.Query()
		q.Set("search_path", schema)
		u.RawQuery = q.Encode()
		return mustOpen(t, config(u.String()))
	})
}

func TestMigrations(t *testing.T) {
	for from := range Version {
		srv := serve(t, pgserver.Config{})
		old := mustOpen(t, config(srv.URL()))
		if err := old.db.Migrate(ctx, from); err != nil {
			t.Fatal(err)
		}
		s := mustOpen(t, config(srv.URL()))
		bt.Expect(t, s, bt.Claim("k", "a", time.Hour), idempotency.Granted)
		if err := s.Gap(ctx, idempotency.Gap{Class: "x"}); err != nil {
			t.Error(from, err)
		}
	}
	srv := serve(t, pgserver.Config{})
	s := mustOpen(t, config(srv.URL()))
	if err := s.awaitSchema(ctx); err != nil {
		t.Fatal(err)
	}
	s.db.Pool.Exec(ctx, "INSERT INTO martendrum_schema (version) VALUES ($1::bigint)", int64(99))
	if err := mustOpen(t, config(srv.URL())).awaitSchema(ctx); err == nil || !strings.Contains(err.Error(), "newer build") {
		t.Error(err)
	}
}

// TestAmbiguousCommit loses the connection at COMMIT, before or after it takes effect. Each
// op must have its true result and be applied once.
func TestAmbiguousCommit(t *testing.T) {
	for _, stage := range []pgserver.Stage{pgserver.Before, pgserver.After} {
		for _, fault := range []pgserver.Fault{{Reset: true}, {Code: "57P01"}, {Code: "40001"}} {
			t.Run(fmt.Sprintf("%s %v %s", stage, fault.Reset, fault.Code), func(t *testing.T) {
				srv := serve(t, pgserver.Config{})
				s := mustOpen(t, config(srv.URL()))
				bt.Expect(t, s, bt.Claim("warm", "w", time.Hour), idempotency.Granted)
				var left, hit atomic.Int64
				srv.Inject(func(e pgserver.Event) pgserver.Fault {
					if e.Stage == stage && strings.EqualFold(e.SQL, "commit") && left.Add(-1) >= 0 {
						hit.Add(1)
						return fault
					}
					return pgserver.Fault{}
				})
				for n, op := range []*idempotency.Op{bt.Claim("k", "a", time.Hour), bt.Send("k", "a", 0), bt.Send("k", "a", 1), bt.End("k", "a", idempotency.Answered)} {
					left.Store(2) // and the first try to resolve it, too
					bt.Expect(t, s, op, idempotency.Granted)
					if hit.Load() != int64(2*n+2) {
						t.Fatalf("op %d: %d faults", n, hit.Load())
					}
				}
				row, err := s.Get(ctx, "activate", "k")
				if err != nil || row.Attempts != 2 || row.Servers != "s0,s1" || row.State != idempotency.Answered || row.Version != 4 {
					t.Errorf("%+v %v", row, err)
				}
			})
		}
	}
}

// TestDatabaseFaults checks that each fault is reported in time with what it is, and that
// the store continues when it is over.
func TestDatabaseFaults(t *testing.T) {
	srv := serve(t, pgserver.Config{MaxConns: 3})
	c := config(srv.URL())
	c.StatementTimeout, c.ConnectTimeout = 200*time.Millisecond, 200*time.Millisecond
	s := mustOpen(t, c)
	bt.Expect(t, s, bt.Claim("warm", "w", time.Hour), idempotency.Granted)
	always := func(f pgserver.Fault) func(pgserver.Event) pgserver.Fault {
		return func(e pgserver.Event) pgserver.Fault { return f }
	}
	n := 0
	for name, outage := range map[string]struct {
		begin, end func()
		want       string
	}{
		"slow":          {func() { srv.Inject(always(pgserver.Fault{Delay: time.Hour})) }, func() { srv.Inject(nil) }, "57014"},
		"hung":          {func() { srv.Inject(always(pgserver.Fault{Stall: true})) }, func() { srv.Inject(nil) }, "57014"},
		"reset":         {func() { srv.Inject(always(pgserver.Fault{Reset: true})) }, func() { srv.Inject(nil) }, ""},
		"going down":    {func() { srv.Inject(always(pgserver.Fault{Code: "57P01"})) }, func() { srv.Inject(nil) }, "57P01"},
		"serialization": {func() { srv.Inject(always(pgserver.Fault{Code: "40001"})) }, func() { srv.Inject(nil) }, "40001"},
		"no room":       {func() { srv.Inject(always(pgserver.Fault{Code: "53100"})) }, func() { srv.Inject(nil) }, "full"},
		"read-only":     {func() { srv.SetReadOnly(true) }, func() { srv.SetReadOnly(false) }, "name the primary"},
		"starting up":   {func() { srv.SetRejecting(true); srv.ResetAll() }, func() { srv.SetRejecting(false) }, "57P03"},
	} {
		t.Run(name, func(t *testing.T) {
			n++
			key := fmt.Sprint("k", n)
			outage.begin()
			checkReported(t, s, key, srv.Addr(), outage.want)
			outage.end()
			awaitClaim(t, s, key)
		})
	}
	if err := s.Ping(ctx); err != nil {
		t.Error(err)
	}
	srv.SetReadOnly(true)
	if err := s.Ping(ctx); !errors.Is(err, idempotency.ErrReadOnly) {
		t.Error(err)
	}
}

// checkReported checks that a claim fails in time, with an error that names the server and
// what is wrong.
func checkReported(t *testing.T, s *Store, key, address, want string) {
	t.Helper()
	started := time.Now()
	short, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	err := s.Apply(short, []*idempotency.Op{bt.Claim(key, key, time.Hour)})
	for range 3 { // a pooled connection may fail differently first
		if err != nil && !strings.Contains(err.Error(), want) {
			err = s.Apply(short, []*idempotency.Op{bt.Claim(key, key, time.Hour)})
		}
	}
	if err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), address) {
		t.Errorf("%v; want it to say %q", err, want)
	}
	if elapsed := time.Since(started); elapsed > 10*time.Second {
		t.Errorf("it took %v", elapsed)
	}
}

// awaitClaim claims a key until that is granted.
func awaitClaim(t *testing.T, s *Store, key string) {
	t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for {
		op := bt.Claim(key, key, time.Hour)
		err := s.Apply(ctx, []*idempotency.Op{op})
		if err == nil && op.Result == idempotency.Granted {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("it does not recover: %v %v", op.Result, err)
		}
	}
}

// TestPasswordAndBound checks that connections are bounded, and that the password is read
// from its file for each.
func TestPasswordAndBound(t *testing.T) {
	srv := serve(t, pgserver.Config{User: "kasir", Password: "rahasia"})
	file := filepath.Join(t.TempDir(), "password")
	os.WriteFile(file, []byte("wrong\n"), 0o600)
	c := config(srv.URL())
	c.PasswordFile, c.MaxConnections = file, 2
	s := mustOpen(t, c)
	if err := s.Ping(ctx); err == nil || !strings.Contains(err.Error(), "password_file") {
		t.Error(err)
	}
	os.WriteFile(file, []byte("rahasia\n"), 0o600)
	if err := s.Ping(ctx); err != nil {
		t.Fatal(err)
	}
	done := make(chan error)
	for n := range 10 {
		go func() {
			key := fmt.Sprint(n)
			done <- s.Apply(ctx, []*idempotency.Op{bt.Claim(key, key, time.Hour)})
		}()
	}
	for range 10 {
		if err := <-done; err != nil {
			t.Error(err)
		}
		if n := srv.Conns(); n > 2 {
			t.Errorf("%d connections", n)
		}
	}
	for want, c := range map[string]Config{"postgres.ca": {URL: srv.URL(), CA: file, MaxConnections: 1}, "postgres.url": {URL: "postgres://%zz"}} {
		if _, err := Open(c); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v; want it to say %q", err, want)
		}
	}
}
