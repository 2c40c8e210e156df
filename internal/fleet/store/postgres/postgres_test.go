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

func serve(t *testing.T) (*pgserver.Server, pg.Config) {
	t.Helper()
	s, err := pgserver.Start(pgserver.Config{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	return s, pg.Config{URL: s.URL(), MaxConnections: 2, StatementTimeout: 5 * time.Second, ConnectTimeout: 5 * time.Second}
}

func mustOpen(t *testing.T, cfg pg.Config, agent string) *Store {
	t.Helper()
	s, err := Open(ctx, cfg, agent)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	return s
}

func TestStore(t *testing.T) {
	_, cfg := serve(t)
	other := mustOpen(t, cfg, "host-b")
	if err := other.Commit(ctx, storetest.Full()); err != nil {
		t.Fatal(err)
	}
	storetest.Run(t, func() store.Store { return mustOpen(t, cfg, "host-a") })
	if got, err := other.Load(ctx); err != nil || len(got.Instances) != 1 || len(got.Leases) != 1 {
		t.Errorf("the other agent's record: %+v %v", got, err)
	}
}

// TestSuperseded checks that the agent that opened the store last owns it, and that the one
// before can't write any more.
func TestSuperseded(t *testing.T) {
	_, cfg := serve(t)
	first := mustOpen(t, cfg, "host-a")
	if err := first.Commit(ctx, storetest.Full()); err != nil {
		t.Fatal(err)
	}
	second := mustOpen(t, cfg, "host-a")
	if err := first.Commit(ctx, &store.Change{DropInstances: []string{"n1"}}); !errors.Is(err, ErrSuperseded) {
		t.Error(err)
	}
	if got, err := second.Load(ctx); err != nil || len(got.Instances) != 1 {
		t.Errorf("%+v %v", got, err)
	}
	if err := second.Commit(ctx, storetest.Full()); err != nil {
		t.Error(err)
	}
}

// TestAmbiguousCommit loses the connection at COMMIT, before or after it takes effect: the
// change and its audit entry must be written once.
func TestAmbiguousCommit(t *testing.T) {
	for _, stage := range []pgserver.Stage{pgserver.Before, pgserver.After} {
		for _, fault := range []pgserver.Fault{{Reset: true}, {Code: "57P01"}, {Code: "40001"}} {
			t.Run(fmt.Sprint(stage, fault.Reset, fault.Code), func(t *testing.T) {
				srv, cfg := serve(t)
				s := mustOpen(t, cfg, "host-a")
				var left, hit atomic.Int64
				srv.Inject(func(e pgserver.Event) pgserver.Fault {
					if e.Stage == stage && strings.EqualFold(e.SQL, "commit") && left.Add(-1) >= 0 {
						hit.Add(1)
						return fault
					}
					return pgserver.Fault{}
				})
				for n := range 3 {
					left.Store(2)
					if err := s.Commit(ctx, &store.Change{Audit: []api.AuditEntry{{What: fmt.Sprint(n)}}}); err != nil {
						t.Fatal(err)
					}
				}
				a, err := s.Audit(ctx, 10)
				if err != nil || len(a) != 3 || a[0].What != "2" || hit.Load() < 3 {
					t.Errorf("%+v %v, %d faults", a, err, hit.Load())
				}
			})
		}
	}
}

// TestDatabaseUnavailable checks that a commit fails without the database, and that the
// store is unchanged.
func TestDatabaseUnavailable(t *testing.T) {
	srv, cfg := serve(t)
	cfg.StatementTimeout, cfg.ConnectTimeout = 200*time.Millisecond, 200*time.Millisecond
	s := mustOpen(t, cfg, "host-a")
	for name, outage := range map[string]func(){
		"hangs":       func() { srv.Inject(func(pgserver.Event) pgserver.Fault { return pgserver.Fault{Stall: true} }) },
		"unreachable": func() { srv.SetRejecting(true); srv.ResetAll() },
		"read-only":   func() { srv.SetReadOnly(true) },
	} {
		outage()
		short, cancel := context.WithTimeout(ctx, 2*time.Second)
		if err := s.Commit(short, storetest.Full()); err == nil || !strings.Contains(err.Error(), srv.Addr()) {
			t.Errorf("%s: %v", name, err)
		}
		if name == "unreachable" {
			if s, err := Open(short, cfg, "host-b"); err == nil {
				s.Close()
				t.Error("opened")
			}
		}
		cancel()
		srv.Inject(nil)
		srv.SetRejecting(false)
		srv.SetReadOnly(false)
		if got, err := s.Load(ctx); err != nil || len(got.Instances) != 0 {
			t.Errorf("%s: %+v %v", name, got, err)
		}
	}
	if err := s.Commit(ctx, storetest.Full()); err != nil {
		t.Error(err)
	}
}

func TestMigrations(t *testing.T) {
	for from := range Version {
		_, cfg := serve(t)
		db, err := pg.Open(cfg, schema)
		if err != nil {
			t.Fatal(err)
		}
		if err := db.Migrate(ctx, from); err != nil {
			t.Fatal(err)
		}
		db.Close()
		if err := mustOpen(t, cfg, "host-a").Commit(ctx, storetest.Full()); err != nil {
			t.Error(from, err)
		}
	}
}
