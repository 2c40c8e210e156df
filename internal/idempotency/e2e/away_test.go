package e2e

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"martendrum/internal/idempotency"
	"martendrum/internal/standin/pgserver"
	"martendrum/internal/standin/shop"
)

// gatedBackend is a store that can be held up: transactions that hold says wait until it is
// opened, or their time is over.
type gatedBackend struct {
	idempotency.Backend

	mu         sync.Mutex
	holds      func(ops []*idempotency.Op) bool
	opened     chan struct{}
	waiting    chan struct{} // one value for each that waits
	applyCalls int           // of Apply
	injected   error         // instead
}

func newGate(b idempotency.Backend) *gatedBackend {
	return &gatedBackend{Backend: b, opened: make(chan struct{}), waiting: make(chan struct{}, 1000)}
}

func (g *gatedBackend) set(hold func([]*idempotency.Op) bool, refusal error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.opened)
	g.opened = make(chan struct{})
	g.holds, g.injected = hold, refusal
}

func (g *gatedBackend) waitUntilOpen(ctx context.Context, ops []*idempotency.Op) error {
	g.mu.Lock()
	if ops != nil {
		g.applyCalls++
	}
	hold, open, refusal := g.holds, g.opened, g.injected
	g.mu.Unlock()
	if hold != nil && hold(ops) {
		if refusal != nil {
			return refusal
		}
		g.waiting <- struct{}{}
		select {
		case <-open:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

func (g *gatedBackend) Apply(ctx context.Context, ops []*idempotency.Op) error {
	if err := g.waitUntilOpen(ctx, ops); err != nil {
		return err
	}
	return g.Backend.Apply(ctx, ops)
}

func (g *gatedBackend) Ping(ctx context.Context) error {
	if err := g.waitUntilOpen(ctx, nil); err != nil {
		return err
	}
	return g.Backend.Ping(ctx)
}

func (g *gatedBackend) countApplyCalls() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.applyCalls
}

func everyOp([]*idempotency.Op) bool { return true }

// withKind holds transactions that have an op of a kind.
func withKind(kind idempotency.OpKind) func([]*idempotency.Op) bool {
	return func(ops []*idempotency.Op) bool {
		for _, op := range ops {
			if op.Kind == kind {
				return true
			}
		}
		return false
	}
}

// fixture is servers, a sidecar and its store behind a gate.
type fixture struct {
	*testSidecar
	servers  *serverGroup
	gate     *gatedBackend
	database *pgserver.Server
}

func newFixture(t *testing.T, store string, p sidecarConfig) *fixture {
	t.Helper()
	s := &fixture{servers: &serverGroup{runs: make(map[string]int)}}
	servers, err := shop.NewWith(3, func(_ *shop.Shop, _ string, rw http.ResponseWriter, r *http.Request) { s.servers.serve(rw, r) })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(servers.Close)
	p.Servers = servers.Addrs()
	if store == "postgres" {
		if s.database, err = pgserver.Start(pgserver.Config{}); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { s.database.Close() })
		p.Postgres = s.database.URL()
	} else {
		p.SQLite = filepath.Join(t.TempDir(), "record.db")
	}
	p.wrapBackend = func(b idempotency.Backend) idempotency.Backend {
		s.gate = newGate(b)
		return s.gate
	}
	if s.testSidecar, err = start(&p, nil); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.stop)
	return s
}

// expect asks and compares the status.
func (s *fixture) expect(t *testing.T, q clientRequest, status int) clientResponse {
	t.Helper()
	a, err := sendRequest(s.address, q, nil)
	if err != nil {
		t.Fatal(err)
	}
	if a.status != status {
		t.Fatalf("%s %s: %+v, want %d", q.class, q.key, a, status)
	}
	return a
}

// awaitEntry waits until a key's row is as ok says.
func (s *fixture) awaitEntry(t *testing.T, q clientRequest, ok func(idempotency.Entry) bool) idempotency.Entry {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for {
		row, err := s.backend.Get(ctx, q.class, q.key)
		if err == nil && ok(row) {
			return row
		}
		if ctx.Err() != nil {
			t.Fatalf("%s %s stays %+v: %v", q.class, q.key, row, err)
		}
		time.Sleep(time.Millisecond)
	}
}

func inState(state idempotency.State) func(idempotency.Entry) bool {
	return func(r idempotency.Entry) bool { return r.State == state }
}

// awaitRecovery waits until the store is asked again.
func (s *fixture) awaitRecovery(t *testing.T) {
	t.Helper()
	deadline := time.Now().Add(testTimeout)
	for !strings.Contains(s.recorder.Status(), "breaker=closed; queued=0") {
		if time.Now().After(deadline) {
			t.Fatal("the store does not come back: ", s.recorder.Status())
		}
		time.Sleep(time.Millisecond)
	}
}

const shortWait = 100 * time.Millisecond

// The store is slow, hangs, is refused or gone, at each stage of a request; then it is
// back.
func TestStoreUnavailable(t *testing.T) {
	for _, store := range []string{"sqlite", "postgres"} {
		t.Run(store, func(t *testing.T) {
			for name, how := range map[string]error{"hangs": nil, "fails": errors.New("injected")} {
				t.Run(name, func(t *testing.T) {
					s := newFixture(t, store, sidecarConfig{MaxWait: shortWait})
					s.gate.set(everyOp, how)
					for n := range 6 {
						a := s.expect(t, clientRequest{class: "activate", key: fmt.Sprint("a", n)}, http.StatusServiceUnavailable)
						if a.retryAfter == "" {
							t.Error("no time to come back")
						}
						s.expect(t, clientRequest{class: "id-register", key: fmt.Sprint("i", n)}, http.StatusOK)
						s.expect(t, clientRequest{class: "status-check"}, http.StatusOK)
					}
					if !strings.Contains(s.recorder.Status(), "gaps=6") || !strings.Contains(s.recorder.Status(), "refused=6") ||
						strings.Contains(s.recorder.Status(), "breaker=closed") {
						t.Error(s.recorder.Status())
					}
					s.gate.set(nil, nil)
					s.awaitRecovery(t)
					for n := range 6 {
						q := clientRequest{class: "activate", key: fmt.Sprint("a", n)}
						if s.servers.runCount(q) > 0 {
							t.Errorf("%s was refused and ran", q.key)
						}
						s.expect(t, q, http.StatusOK)
						// What went on without the record is known now all the same.
						q = clientRequest{class: "id-register", key: fmt.Sprint("i", n)}
						s.awaitEntry(t, q, inState(idempotency.Answered))
						s.expect(t, q, http.StatusOK)
						if s.servers.runCount(q) != 1 {
							t.Errorf("%s ran %d times", q.key, s.servers.runCount(q))
						}
					}
					s.recorder.WriteGaps(context.Background())
					if gaps, err := s.backend.Gaps(context.Background(), 10); err != nil || len(gaps) != 1 || gaps[0].Requests != 6 || gaps[0].Class != "id-register" {
						t.Error(gaps, err)
					}
				})
			}
			t.Run("one that it never takes", func(t *testing.T) {
				s := newFixture(t, store, sidecarConfig{MaxWait: shortWait})
				s.gate.set(func(ops []*idempotency.Op) bool {
					for _, op := range ops {
						if op.Kind == idempotency.End && op.Key == "poison" {
							return true
						}
					}
					return false
				}, errors.New("injected"))
				s.expect(t, clientRequest{class: "activate", key: "poison"}, http.StatusOK)
				deadline := time.Now().Add(testTimeout)
				for n := 0; n < 5; {
					q := clientRequest{class: "activate", key: fmt.Sprint(n)}
					a, err := sendRequest(s.address, q, nil)
					if err != nil || time.Now().After(deadline) {
						t.Fatal(a, err)
					}
					if a.status == http.StatusOK {
						s.awaitEntry(t, q, inState(idempotency.Answered))
						n++
					}
				}
				s.gate.set(nil, nil)
				s.awaitEntry(t, clientRequest{class: "activate", key: "poison"}, inState(idempotency.Answered))
			})
			t.Run("open breaker", func(t *testing.T) {
				s := newFixture(t, store, sidecarConfig{MaxWait: testTimeout})
				s.gate.set(everyOp, errors.New("injected"))
				for n := range 3 {
					s.expect(t, clientRequest{class: "activate", key: fmt.Sprint(n)}, http.StatusServiceUnavailable)
				}
				// From now on nobody waits: the store is asked for signs of life alone.
				s.gate.set(everyOp, nil)
				calls := s.gate.countApplyCalls()
				for n := range 20 {
					s.expect(t, clientRequest{class: "activate", key: fmt.Sprint("x", n)}, http.StatusServiceUnavailable)
				}
				if n := s.gate.countApplyCalls(); n != calls {
					t.Errorf("%d transactions were asked for", n-calls)
				}
				s.gate.set(nil, nil)
			})
			t.Run("away at the send", func(t *testing.T) {
				s := newFixture(t, store, sidecarConfig{MaxWait: shortWait})
				q := clientRequest{class: "activate", key: "k"}
				s.gate.set(withKind(idempotency.Send), nil)
				s.expect(t, q, http.StatusServiceUnavailable)
				if s.servers.runCount(q) > 0 {
					t.Error("it was sent without its record")
				}
				s.gate.set(nil, nil)
				s.awaitRecovery(t)
				s.awaitEntry(t, q, inState(idempotency.NeverRan))
				s.expect(t, q, http.StatusOK)
				i := clientRequest{class: "id-register", key: "k"}
				s.gate.set(withKind(idempotency.Send), nil)
				s.expect(t, i, http.StatusOK)
				s.gate.set(nil, nil)
				s.awaitEntry(t, i, inState(idempotency.Answered))
			})
			t.Run("away at the end", func(t *testing.T) {
				s := newFixture(t, store, sidecarConfig{MaxWait: shortWait})
				q := clientRequest{class: "activate", key: "k"}
				s.gate.set(withKind(idempotency.End), nil)
				a := s.expect(t, q, http.StatusOK)
				s.awaitEntry(t, q, inState(idempotency.InFlight))
				s.expect(t, q, http.StatusServiceUnavailable) // its shard waits: nothing is known, nothing sent
				s.gate.set(nil, nil)
				s.awaitRecovery(t)
				s.awaitEntry(t, q, inState(idempotency.Answered))
				if b := s.expect(t, q, http.StatusOK); b.body != a.body || s.servers.runCount(q) != 1 {
					t.Errorf("%q, at first %q; ran %d times", b.body, a.body, s.servers.runCount(q))
				}
			})
			t.Run("the client's time is over first", func(t *testing.T) {
				// The store may be waited for much longer than the client waits.
				s := newFixture(t, store, sidecarConfig{MaxWait: 10 * time.Minute})
				s.gate.set(withKind(idempotency.End), nil)
				q := clientRequest{class: "activate", key: "k", deadline: 400 * time.Millisecond}
				if a, err := sendRequest(s.address, q, nil); err != nil || a.status == 0 {
					t.Error(a, err)
				}
				s.gate.set(nil, nil)
				s.awaitEntry(t, q, func(r idempotency.Entry) bool {
					return r.State == idempotency.Answered || r.State == idempotency.NeverRan
				})
			})
			t.Run("back before the answer", func(t *testing.T) {
				s := newFixture(t, store, sidecarConfig{})
				q := clientRequest{class: "activate", key: "k"}
				s.gate.set(withKind(idempotency.End), nil)
				done := make(chan clientResponse, 1)
				go func() {
					a, _ := sendRequest(s.address, q, nil)
					done <- a
				}()
				<-s.gate.waiting
				if s.servers.runCount(q) != 1 || len(done) > 0 {
					t.Error("the answer is out before its record")
				}
				s.gate.set(nil, nil)
				if a := <-done; a.status != http.StatusOK {
					t.Error(a)
				}
				s.awaitEntry(t, q, inState(idempotency.Answered))
			})
		})
	}
	t.Run("the database", func(t *testing.T) {
		for name, day := range map[string]struct{ begin, end func(*pgserver.Server) }{
			"hung": {func(p *pgserver.Server) {
				p.Inject(func(pgserver.Event) pgserver.Fault { return pgserver.Fault{Stall: true} })
			}, func(p *pgserver.Server) { p.Inject(nil); p.ResetAll() }},
			"going down": {func(p *pgserver.Server) {
				p.Inject(func(pgserver.Event) pgserver.Fault { return pgserver.Fault{Code: "57P01"} })
			}, func(p *pgserver.Server) { p.Inject(nil) }},
			"unreachable": {func(p *pgserver.Server) { p.SetRefuse(true); p.ResetAll() }, func(p *pgserver.Server) { p.SetRefuse(false) }},
			"read-only":   {func(p *pgserver.Server) { p.SetReadOnly(true) }, func(p *pgserver.Server) { p.SetReadOnly(false) }},
		} {
			t.Run(name, func(t *testing.T) {
				s := newFixture(t, "postgres", sidecarConfig{MaxWait: shortWait})
				hold := make(chan struct{})
				s.servers.behave = func(hit int) behavior {
					if hit == 1 {
						return behavior{hold: hold}
					}
					return behavior{}
				}
				flying := clientRequest{class: "activate", key: "flying"}
				done := make(chan clientResponse, 1)
				go func() {
					a, _ := sendRequest(s.address, flying, nil)
					done <- a
				}()
				deadline := time.Now().Add(testTimeout)
				for s.servers.runCount(flying) == 0 && time.Now().Before(deadline) {
					time.Sleep(time.Millisecond)
				}
				day.begin(s.database)
				close(hold)
				if a := <-done; a.status != http.StatusOK { // the answer came while the store was away
					t.Errorf("%+v", a)
				}
				a := s.expect(t, clientRequest{class: "activate", key: "new"}, http.StatusServiceUnavailable)
				if a.retryAfter == "" {
					t.Error("no time to come back")
				}
				s.expect(t, clientRequest{class: "id-register", key: "new"}, http.StatusOK)
				day.end(s.database)
				s.awaitRecovery(t)
				s.awaitEntry(t, flying, inState(idempotency.Answered))
				s.expect(t, clientRequest{class: "activate", key: "new"}, http.StatusOK)
				s.expect(t, flying, http.StatusOK)
				if s.servers.runCount(flying) != 1 {
					t.Errorf("it ran %d times", s.servers.runCount(flying))
				}
			})
		}
	})
}

// What a repeat of a key is told, by what became of the first.
func TestRepeatedKeys(t *testing.T) {
	for _, store := range []string{"sqlite", "postgres"} {
		t.Run(store, func(t *testing.T) {
			s := newFixture(t, store, sidecarConfig{MaxAnswerBytes: 1000})
			s.servers.behave = func(hit int) behavior { return behavior{bodySize: 5000} }
			large := clientRequest{class: "activate", key: "large"}
			if a := s.expect(t, large, http.StatusOK); len(a.body) != 5000 {
				t.Error(len(a.body))
			}
			if a := s.expect(t, large, http.StatusConflict); !strings.HasPrefix(a.recordState, "answered") {
				t.Error(a)
			}
			if row := s.awaitEntry(t, large, inState(idempotency.Answered)); !row.AnswerOmitted || len(row.Answer) > 0 {
				t.Errorf("%+v", row)
			}
			s.servers.behave = nil
			q := clientRequest{class: "activate", key: "k"}
			s.expect(t, q, http.StatusOK)
			other := q
			other.body = `{"sim":{"iccid":"k"},"buyer":"another"}`
			if a := s.expect(t, other, http.StatusUnprocessableEntity); !strings.HasPrefix(a.recordState, "key-reused") {
				t.Error(a)
			}
			for body, want := range map[string]string{`{"sim":{}}`: "empty or missing", `{`: "no JSON"} {
				if a := s.expect(t, clientRequest{class: "activate", body: body}, http.StatusBadRequest); !strings.Contains(a.recordState, want) {
					t.Error(a)
				}
			}
			// Under way: the second is told so at once, with a time to come back.
			hold := make(chan struct{})
			s.servers.behave = func(int) behavior { return behavior{hold: hold} }
			slow := clientRequest{class: "id-register", key: "slow"}
			done := make(chan clientResponse, 1)
			go func() {
				a, _ := sendRequest(s.address, slow, nil)
				done <- a
			}()
			s.awaitEntry(t, slow, func(r idempotency.Entry) bool { return r.Attempts == 1 })
			if a := s.expect(t, slow, http.StatusConflict); !strings.HasPrefix(a.recordState, "in-flight") || a.retryAfter == "" {
				t.Error(a)
			}
			s.servers.mu.Lock()
			s.servers.behave = nil
			s.servers.mu.Unlock()
			close(hold)
			first := <-done
			if a := s.expect(t, slow, http.StatusOK); a.body != first.body || s.servers.runCount(slow) != 1 {
				t.Error(a, first, s.servers.runCount(slow))
			}
			// Its client leaves: what the server says is kept for when it asks again.
			hold = make(chan struct{})
			s.servers.mu.Lock()
			s.servers.behave = func(int) behavior { return behavior{hold: hold} }
			s.servers.mu.Unlock()
			left := clientRequest{class: "activate", key: "left", deadline: 200 * time.Millisecond}
			if a, err := sendRequest(s.address, left, nil); err != nil || a.status == http.StatusOK || a.status == http.StatusServiceUnavailable {
				t.Error(a, err)
			}
			s.awaitEntry(t, left, inState(idempotency.MayHaveRun))
			close(hold)
			if a := s.expect(t, left, http.StatusConflict); !strings.HasPrefix(a.recordState, "may-have-run") || s.servers.runCount(left) != 1 {
				t.Error(a, s.servers.runCount(left))
			}
		})
	}
}

// Two sidecars get one key at the same moment; an owner dies holding it, stalls past
// its time, and clocks jump.
func TestTwoSidecarsOneKey(t *testing.T) {
	pair := func(t *testing.T) (a, b *fixture) {
		a = newFixture(t, "postgres", sidecarConfig{LeaseMargin: time.Second})
		b = &fixture{servers: a.servers, database: a.database}
		servers, err := shop.NewWith(3, func(_ *shop.Shop, _ string, rw http.ResponseWriter, r *http.Request) { a.servers.serve(rw, r) })
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(servers.Close)
		if b.testSidecar, err = start(&sidecarConfig{Servers: servers.Addrs(), Postgres: a.database.URL(), LeaseMargin: time.Second}, nil); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(b.stop)
		return a, b
	}
	t.Run("same moment", func(t *testing.T) {
		a, b := pair(t)
		for n := range 30 {
			q := clientRequest{class: []string{"activate", "id-register"}[n%2], key: fmt.Sprint("k", n)}
			hold := make(chan struct{})
			a.servers.mu.Lock()
			a.servers.behave = func(int) behavior { return behavior{hold: hold} }
			a.servers.mu.Unlock()
			got := make(chan clientResponse, 2)
			for _, s := range []*fixture{a, b} {
				go func() {
					x, _ := sendRequest(s.address, q, nil)
					got <- x
				}()
			}
			if x := <-got; x.status != http.StatusConflict || !strings.HasPrefix(x.recordState, "in-flight") {
				t.Fatalf("%+v", x)
			}
			close(hold)
			first := <-got
			if first.status != http.StatusOK {
				t.Fatalf("%+v", first)
			}
			for _, s := range []*fixture{a, b} {
				if x := s.expect(t, q, http.StatusOK); x.body != first.body {
					t.Error(x)
				}
			}
			if a.servers.runCount(q) != 1 {
				t.Fatalf("it ran %d times", a.servers.runCount(q))
			}
		}
	})
	t.Run("the owner dies", func(t *testing.T) {
		_, b := pair(t)
		hold := make(chan struct{})
		b.servers.behave = func(int) behavior { return behavior{hold: hold} }
		defer close(hold)
		owner, err := launchChild(&sidecarConfig{Servers: []string{newServer(t, b.servers)}, Postgres: b.database.URL()})
		if err != nil {
			t.Fatal(err)
		}
		defer owner.end()
		q := clientRequest{class: "activate", key: "k"}
		go sendRequest(owner.address, q, nil)
		b.awaitEntry(t, q, func(r idempotency.Entry) bool { return r.Attempts == 1 })
		owner.end()
		for _, skew := range []time.Duration{0, -10 * time.Hour, 0} {
			b.database.SetSkew(skew)
			if x := b.expect(t, q, http.StatusConflict); !strings.HasPrefix(x.recordState, "in-flight") {
				t.Error(x)
			}
		}
		b.database.SetSkew(time.Hour)
		for _, skew := range []time.Duration{time.Hour, -10 * time.Hour, 10 * time.Hour} {
			b.database.SetSkew(skew)
			if x := b.expect(t, q, http.StatusConflict); !strings.HasPrefix(x.recordState, "may-have-run") {
				t.Error(x)
			}
		}
		if b.servers.runCount(q) > 1 {
			t.Errorf("it ran %d times", b.servers.runCount(q))
		}
	})
	t.Run("the owner stalls before its send", func(t *testing.T) {
		for _, class := range []string{"activate", "id-register"} {
			testStalledOwner(t, class, pair)
		}
	})
	t.Run("its time is over while it is in flight", func(t *testing.T) {
		a, b := pair(t)
		q := clientRequest{class: "activate", key: "k"}
		hold := make(chan struct{})
		a.servers.behave = func(int) behavior { return behavior{hold: hold} }
		got := make(chan clientResponse, 1)
		go func() {
			x, _ := sendRequest(a.address, q, nil)
			got <- x
		}()
		a.awaitEntry(t, q, func(r idempotency.Entry) bool { return r.Attempts == 1 })
		b.database.SetSkew(time.Hour)
		if x := b.expect(t, q, http.StatusConflict); !strings.HasPrefix(x.recordState, "may-have-run") {
			t.Error(x)
		}
		close(hold)
		if x := <-got; x.status != http.StatusOK { // the server's answer is its client's
			t.Error(x)
		}
		if x := b.expect(t, q, http.StatusOK); x.status != http.StatusOK || b.servers.runCount(q) != 1 {
			t.Error(x, b.servers.runCount(q))
		}
	})
}

func newServer(t *testing.T, w *serverGroup) string {
	s, err := shop.NewWith(1, func(_ *shop.Shop, _ string, rw http.ResponseWriter, r *http.Request) { w.serve(rw, r) })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s.Addrs()[0]
}

func testStalledOwner(t *testing.T, class string, pair func(*testing.T) (a, b *fixture)) {
	a, b := pair(t)
	q := clientRequest{class: class, key: "k"}
	a.gate.set(withKind(idempotency.Send), nil)
	got := make(chan clientResponse, 1)
	go func() {
		x, _ := sendRequest(a.address, q, nil)
		got <- x
	}()
	<-a.gate.waiting
	b.database.SetSkew(time.Hour)
	first := b.expect(t, q, http.StatusOK)
	a.gate.set(nil, nil)
	// Fenced: it is not sent, by no attempt, and what its client is told is no answer.
	if x := <-got; x.status != http.StatusServiceUnavailable && x.status != http.StatusBadGateway {
		t.Errorf("%+v", x)
	}
	b.servers.mu.Lock()
	hits := b.servers.requests
	b.servers.mu.Unlock()
	if x := b.expect(t, q, http.StatusOK); x.body != first.body || b.servers.runCount(q) != 1 || hits != 1 {
		t.Errorf("%s: %+v; ran %d times, %d sent", class, x, b.servers.runCount(q), hits)
	}
}
