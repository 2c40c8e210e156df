package postgres

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/store"
	"martendrum/internal/fleet/store/storetest"
	"martendrum/internal/pg"
	"martendrum/internal/standin/pgserver"
)

var ctx = context.Background()

// startServer starts an empty stand-in for a PostgreSQL server, and returns it with the
// configuration to connect to it.
func startServer(t *testing.T) (*pgserver.Server, pg.Config) {
	t.Helper()
	s, err := pgserver.Start(pgserver.Config{})
	if err != nil {
		t.Fatalf("starting the stand-in server: %v", err)
	}
	t.Cleanup(func() { s.Close() })
	return s, pg.Config{URL: s.URL(), MaxConnections: 2, StatementTimeout: 5 * time.Second, ConnectTimeout: 5 * time.Second}
}

// mustOpen opens an agent's store until the end of the test.
func mustOpen(t *testing.T, cfg pg.Config, agent string) *Store {
	t.Helper()
	s, err := Open(ctx, cfg, agent)
	if err != nil {
		t.Fatalf("opening the store of %s: %v", agent, err)
	}
	t.Cleanup(func() { s.Close() })
	return s
}

// TestStore runs the tests of package storetest, and checks that they do not change the store of
// another agent in the same database.
func TestStore(t *testing.T) {
	_, cfg := startServer(t)
	other := mustOpen(t, cfg, "host-b")
	if err := other.Commit(ctx, storetest.Full()); err != nil {
		t.Fatalf("Commit to the store of host-b: %v", err)
	}
	storetest.Run(t, func() store.Store { return mustOpen(t, cfg, "host-a") })
	if got, err := other.Load(ctx); err != nil || len(got.Instances) != 1 || len(got.Leases) != 1 {
		t.Errorf("Load from the store of host-b = %+v, %v; want its 1 instance and 1 lease", got, err)
	}
}

// TestSuperseded checks that the agent that opened the store last can write, and that the agent
// that opened it before can't.
func TestSuperseded(t *testing.T) {
	_, cfg := startServer(t)
	first := mustOpen(t, cfg, "host-a")
	if err := first.Commit(ctx, storetest.Full()); err != nil {
		t.Fatalf("Commit by the first agent: %v", err)
	}
	second := mustOpen(t, cfg, "host-a")
	if err := first.Commit(ctx, &store.Change{DropInstances: []string{"n1"}}); !errors.Is(err, ErrSuperseded) {
		t.Errorf("Commit by the superseded agent: got error %v, want ErrSuperseded", err)
	}
	if got, err := second.Load(ctx); err != nil || len(got.Instances) != 1 {
		t.Errorf("Load by the second agent = %+v, %v; want the 1 instance of the first", got, err)
	}
	if err := second.Commit(ctx, storetest.Full()); err != nil {
		t.Errorf("Commit by the second agent: %v", err)
	}
}

// TestAmbiguousCommit injects faults at COMMIT, before or after it takes effect, so that its
// outcome is unknown. The change and its audit entry must be written once.
func TestAmbiguousCommit(t *testing.T) {
	for _, stage := range []pgserver.Stage{pgserver.Before, pgserver.After} {
		for _, fault := range []pgserver.Fault{{Reset: true}, {Code: "57P01"}, {Code: "40001"}} {
			t.Run(fmt.Sprint(stage, fault.Reset, fault.Code), func(t *testing.T) {
				server, cfg := startServer(t)
				s := mustOpen(t, cfg, "host-a")
				var remaining, injected atomic.Int64 // faults
				server.Inject(func(e pgserver.Event) pgserver.Fault {
					if e.Stage == stage && strings.EqualFold(e.SQL, "commit") && remaining.Add(-1) >= 0 {
						injected.Add(1)
						return fault
					}
					return pgserver.Fault{}
				})
				for n := range 3 {
					remaining.Store(2)
					if err := s.Commit(ctx, &store.Change{Audit: []api.AuditEntry{{What: fmt.Sprint(n)}}}); err != nil {
						t.Fatalf("Commit of change %d: %v", n, err)
					}
				}
				entries, err := s.Audit(ctx, 10)
				if err != nil || len(entries) != 3 || entries[0].What != "2" || injected.Load() < 3 {
					t.Errorf("Audit = %+v, %v after %d faults; want 3 entries, the latest with What 2, after at least 3 faults", entries, err, injected.Load())
				}
			})
		}
	}
}

// TestDatabaseUnavailable checks for several kinds of outages that a commit fails with an error
// that names the server, that the store is unchanged, and that it can be used afterwards.
func TestDatabaseUnavailable(t *testing.T) {
	server, cfg := startServer(t)
	cfg.StatementTimeout, cfg.ConnectTimeout = 200*time.Millisecond, 200*time.Millisecond
	s := mustOpen(t, cfg, "host-a")
	for name, outage := range map[string]func(){
		"hangs":       func() { server.Inject(func(pgserver.Event) pgserver.Fault { return pgserver.Fault{Stall: true} }) },
		"unreachable": func() { server.SetRejecting(true); server.ResetAll() },
		"read-only":   func() { server.SetReadOnly(true) },
	} {
		outage()
		short, cancel := context.WithTimeout(ctx, 2*time.Second)
		if err := s.Commit(short, storetest.Full()); err == nil || !strings.Contains(err.Error(), server.Addr()) {
			t.Errorf("%s: Commit: got error %v, want one that names %s", name, err, server.Addr())
		}
		if name == "unreachable" {
			if s, err := Open(short, cfg, "host-b"); err == nil {
				s.Close()
				t.Error("Open succeeded although the database is unreachable")
			}
		}
		cancel()
		server.Inject(nil)
		server.SetRejecting(false)
		server.SetReadOnly(false)
		if got, err := s.Load(ctx); err != nil || len(got.Instances) != 0 {
			t.Errorf("%s: Load after the outage = %+v, %v; want no instances", name, got, err)
		}
	}
	if err := s.Commit(ctx, storetest.Full()); err != nil {
		t.Errorf("Commit after the outages: %v", err)
	}
}

// TestMigrations checks that a store of each older schema version can be opened and written.
func TestMigrations(t *testing.T) {
	for from := range Version {
		_, cfg := startServer(t)
		db, err := pg.Open(cfg, schema)
		if err != nil {
			t.Fatalf("opening the database: %v", err)
		}
		if err := db.Migrate(ctx, from); err != nil {
			t.Fatalf("creating schema version %d: %v", from, err)
		}
		db.Close()
		if err := mustOpen(t, cfg, "host-a").Commit(ctx, storetest.Full()); err != nil {
			t.Errorf("Commit after a migration from schema version %d: %v", from, err)
		}
	}
}
