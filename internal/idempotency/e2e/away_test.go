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

// gate is a store that can be held up: transactions that hold says wait until it is
// opened, or their time is over.
type gate struct {
	idempotency.Backend

	mu      sync.Mutex
	hold    func(ops []*idempotency.Op) bool
	open    chan struct{}
	held    chan struct{} // one value for each that waits
	calls   int           // of Apply
	refusal error         // instead
}

func newGate(b idempotency.Backend) *gate {
	return &gate{Backend: b, open: make(chan struct{}), held: make(chan struct{}, 1000)}
}

func (g *gate) set(hold func([]*idempotency.Op) bool, refusal error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.open)
	g.open = make(chan struct{})
	g.hold, g.refusal = hold, refusal
}

func (g *gate) pass(ctx context.Context, ops []*idempotency.Op) error {
	g.mu.Lock()
	if ops != nil {
		g.calls++
	}
	hold, open, refusal := g.hold, g.open, g.refusal
	g.mu.Unlock()
	if hold != nil && hold(ops) {
		if refusal != nil {
			return refusal
		}
		g.held <- struct{}{}
		select {
		case <-open:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

func (g *gate) Apply(ctx context.Context, ops []*idempotency.Op) error {
	if err := g.pass(ctx, ops); err != nil {
		return err
	}
	return g.Backend.Apply(ctx, ops)
}

func (g *gate) Ping(ctx context.Context) error {
	if err := g.pass(ctx, nil); err != nil {
		return err
	}
	return g.Backend.Ping(ctx)
}

func (g *gate) count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.calls
}

func all([]*idempotency.Op) bool { return true }

// of holds transactions that have an op of a kind.
func of(kind idempotency.OpKind) func([]*idempotency.Op) bool {
	return func(ops []*idempotency.Op) bool {
		for _, op := range ops {
			if op.Kind == kind {
				return true
			}
		}
		return false
	}
}

// scene is servers, a sidecar and its store behind a gate.
type scene struct {
	*node
	w    *world
	gate *gate
	pg   *pgserver.Server
}

func stage(t *testing.T, store string, p plan) *scene {
	t.Helper()
	s := &scene{w: &world{runs: make(map[string]int)}}
	servers, err := shop.NewWith(3, func(_ *shop.Shop, _ string, rw http.ResponseWriter, r *http.Request) { s.w.serve(rw, r) })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(servers.Close)
	p.Servers = servers.Addrs()
	if store == "postgres" {
		if s.pg, err = pgserver.Start(pgserver.Config{}); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { s.pg.Close() })
		p.Postgres = s.pg.URL()
	} else {
		p.SQLite = filepath.Join(t.TempDir(), "record.db")
	}
	p.wrap = func(b idempotency.Backend) idempotency.Backend {
		s.gate = newGate(b)
		return s.gate
	}
	if s.node, err = start(&p, nil); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.stop)
	return s
}

// expect asks and compares the status.
func (s *scene) expect(t *testing.T, q request, status int) answer {
	t.Helper()
	a, err := ask(s.addr, q, nil)
	if err != nil {
		t.Fatal(err)
	}
	if a.status != status {
		t.Fatalf("%s %s: %+v, want %d", q.class, q.key, a, status)
	}
	return a
}

// row waits until a key's row is as ok says.
func (s *scene) row(t *testing.T, q request, ok func(idempotency.Entry) bool) idempotency.Entry {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
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

func is(state idempotency.State) func(idempotency.Entry) bool {
	return func(r idempotency.Entry) bool { return r.State == state }
}

// back waits until the store is asked again.
func (s *scene) back(t *testing.T) {
	t.Helper()
	deadline := time.Now().Add(patience)
	for !strings.Contains(s.keeper.Status(), "breaker=closed; queued=0") {
		if time.Now().After(deadline) {
			t.Fatal("the store does not come back: ", s.keeper.Status())
		}
		time.Sleep(time.Millisecond)
	}
}

const short = 100 * time.Millisecond

// The store is slow, hangs, is refused or gone, at each stage of a request; then it is
// back.
func TestStoreAway(t *testing.T) {
	for _, store := range []string{"sqlite", "postgres"} {
		t.Run(store, func(t *testing.T) {
			for name, how := range map[string]error{"hangs": nil, "fails": errors.New("injected")} {
				t.Run(name, func(t *testing.T) {
					s := stage(t, store, plan{Wait: short})
					s.gate.set(all, how)
					for n := range 6 {
						a := s.expect(t, request{class: "activate", key: fmt.Sprint("a", n)}, http.StatusServiceUnavailable)
						if a.retry == "" {
							t.Error("no time to come back")
						}
						s.expect(t, request{class: "id-register", key: fmt.Sprint("i", n)}, http.StatusOK)
						s.expect(t, request{class: "status-check"}, http.StatusOK)
					}
					if !strings.Contains(s.keeper.Status(), "gaps=6") || !strings.Contains(s.keeper.Status(), "refused=6") ||
						strings.Contains(s.keeper.Status(), "breaker=closed") {
						t.Error(s.keeper.Status())
					}
					s.gate.set(nil, nil)
					s.back(t)
					for n := range 6 {
						q := request{class: "activate", key: fmt.Sprint("a", n)}
						if s.w.ran(q) > 0 {
							t.Errorf("%s was refused and ran", q.key)
						}
						s.expect(t, q, http.StatusOK)
						// What went on without the record is known now all the same.
						q = request{class: "id-register", key: fmt.Sprint("i", n)}
						s.row(t, q, is(idempotency.Answered))
						s.expect(t, q, http.StatusOK)
						if s.w.ran(q) != 1 {
							t.Errorf("%s ran %d times", q.key, s.w.ran(q))
						}
					}
					s.keeper.WriteGaps(context.Background())
					if gaps, err := s.backend.Gaps(context.Background(), 10); err != nil || len(gaps) != 1 || gaps[0].Requests != 6 || gaps[0].Class != "id-register" {
						t.Error(gaps, err)
					}
				})
			}
			t.Run("one that it never takes", func(t *testing.T) {
				s := stage(t, store, plan{Wait: short})
				s.gate.set(func(ops []*idempotency.Op) bool {
					for _, op := range ops {
						if op.Kind == idempotency.End && op.Key == "poison" {
							return true
						}
					}
					return false
				}, errors.New("injected"))
				s.expect(t, request{class: "activate", key: "poison"}, http.StatusOK)
				deadline := time.Now().Add(patience)
				for n := 0; n < 5; {
					q := request{class: "activate", key: fmt.Sprint(n)}
					a, err := ask(s.addr, q, nil)
					if err != nil || time.Now().After(deadline) {
						t.Fatal(a, err)
					}
					if a.status == http.StatusOK {
						s.row(t, q, is(idempotency.Answered))
						n++
					}
				}
				s.gate.set(nil, nil)
				s.row(t, request{class: "activate", key: "poison"}, is(idempotency.Answered))
			})
			t.Run("open breaker", func(t *testing.T) {
				s := stage(t, store, plan{Wait: patience})
				s.gate.set(all, errors.New("injected"))
				for n := range 3 {
					s.expect(t, request{class: "activate", key: fmt.Sprint(n)}, http.StatusServiceUnavailable)
				}
				// From now on nobody waits: the store is asked for signs of life alone.
				s.gate.set(all, nil)
				calls := s.gate.count()
				for n := range 20 {
					s.expect(t, request{class: "activate", key: fmt.Sprint("x", n)}, http.StatusServiceUnavailable)
				}
				if n := s.gate.count(); n != calls {
					t.Errorf("%d transactions were asked for", n-calls)
				}
				s.gate.set(nil, nil)
			})
			t.Run("away at the send", func(t *testing.T) {
				s := stage(t, store, plan{Wait: short})
				q := request{class: "activate", key: "k"}
				s.gate.set(of(idempotency.Send), nil)
				s.expect(t, q, http.StatusServiceUnavailable)
				if s.w.ran(q) > 0 {
					t.Error("it was sent without its record")
				}
				s.gate.set(nil, nil)
				s.back(t)
				s.row(t, q, is(idempotency.NeverRan))
				s.expect(t, q, http.StatusOK)
				i := request{class: "id-register", key: "k"}
				s.gate.set(of(idempotency.Send), nil)
				s.expect(t, i, http.StatusOK)
				s.gate.set(nil, nil)
				s.row(t, i, is(idempotency.Answered))
			})
			t.Run("away at the end", func(t *testing.T) {
				s := stage(t, store, plan{Wait: short})
				q := request{class: "activate", key: "k"}
				s.gate.set(of(idempotency.End), nil)
				a := s.expect(t, q, http.StatusOK)
				s.row(t, q, is(idempotency.InFlight))
				s.expect(t, q, http.StatusServiceUnavailable) // its shard waits: nothing is known, nothing sent
				s.gate.set(nil, nil)
				s.back(t)
				s.row(t, q, is(idempotency.Answered))
				if b := s.expect(t, q, http.StatusOK); b.body != a.body || s.w.ran(q) != 1 {
					t.Errorf("%q, at first %q; ran %d times", b.body, a.body, s.w.ran(q))
				}
			})
			t.Run("the client's time is over first", func(t *testing.T) {
				// The store may be waited for much longer than the client waits.
				s := stage(t, store, plan{Wait: 10 * time.Minute})
				s.gate.set(of(idempotency.End), nil)
				q := request{class: "activate", key: "k", deadline: 400 * time.Millisecond}
				if a, err := ask(s.addr, q, nil); err != nil || a.status == 0 {
					t.Error(a, err)
				}
				s.gate.set(nil, nil)
				s.row(t, q, func(r idempotency.Entry) bool {
					return r.State == idempotency.Answered || r.State == idempotency.NeverRan
				})
			})
			t.Run("back before the answer", func(t *testing.T) {
				s := stage(t, store, plan{})
				q := request{class: "activate", key: "k"}
				s.gate.set(of(idempotency.End), nil)
				done := make(chan answer, 1)
				go func() {
					a, _ := ask(s.addr, q, nil)
					done <- a
				}()
				<-s.gate.held
				if s.w.ran(q) != 1 || len(done) > 0 {
					t.Error("the answer is out before its record")
				}
				s.gate.set(nil, nil)
				if a := <-done; a.status != http.StatusOK {
					t.Error(a)
				}
				s.row(t, q, is(idempotency.Answered))
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
				s := stage(t, "postgres", plan{Wait: short})
				hold := make(chan struct{})
				s.w.act = func(hit int) act {
					if hit == 1 {
						return act{hold: hold}
					}
					return act{}
				}
				flying := request{class: "activate", key: "flying"}
				done := make(chan answer, 1)
				go func() {
					a, _ := ask(s.addr, flying, nil)
					done <- a
				}()
				deadline := time.Now().Add(patience)
				for s.w.ran(flying) == 0 && time.Now().Before(deadline) {
					time.Sleep(time.Millisecond)
				}
				day.begin(s.pg)
				close(hold)
				if a := <-done; a.status != http.StatusOK { // the answer came while the store was away
					t.Errorf("%+v", a)
				}
				a := s.expect(t, request{class: "activate", key: "new"}, http.StatusServiceUnavailable)
				if a.retry == "" {
					t.Error("no time to come back")
				}
				s.expect(t, request{class: "id-register", key: "new"}, http.StatusOK)
				day.end(s.pg)
				s.back(t)
				s.row(t, flying, is(idempotency.Answered))
				s.expect(t, request{class: "activate", key: "new"}, http.StatusOK)
				s.expect(t, flying, http.StatusOK)
				if s.w.ran(flying) != 1 {
					t.Errorf("it ran %d times", s.w.ran(flying))
				}
			})
		}
	})
}

// What a repeat of a key is told, by what became of the first.
func TestRepeats(t *testing.T) {
	for _, store := range []string{"sqlite", "postgres"} {
		t.Run(store, func(t *testing.T) {
			s := stage(t, store, plan{Most: 1000})
			s.w.act = func(hit int) act { return act{size: 5000} }
			large := request{class: "activate", key: "large"}
			if a := s.expect(t, large, http.StatusOK); len(a.body) != 5000 {
				t.Error(len(a.body))
			}
			if a := s.expect(t, large, http.StatusConflict); !strings.HasPrefix(a.state, "answered") {
				t.Error(a)
			}
			if row := s.row(t, large, is(idempotency.Answered)); !row.AnswerOmitted || len(row.Answer) > 0 {
				t.Errorf("%+v", row)
			}
			s.w.act = nil
			q := request{class: "activate", key: "k"}
			s.expect(t, q, http.StatusOK)
			other := q
			other.body = `{"sim":{"iccid":"k"},"buyer":"another"}`
			if a := s.expect(t, other, http.StatusUnprocessableEntity); !strings.HasPrefix(a.state, "key-reused") {
				t.Error(a)
			}
			for body, want := range map[string]string{`{"sim":{}}`: "empty or missing", `{`: "no JSON"} {
				if a := s.expect(t, request{class: "activate", body: body}, http.StatusBadRequest); !strings.Contains(a.state, want) {
					t.Error(a)
				}
			}
			// Under way: the second is told so at once, with a time to come back.
			hold := make(chan struct{})
			s.w.act = func(int) act { return act{hold: hold} }
			slow := request{class: "id-register", key: "slow"}
			done := make(chan answer, 1)
			go func() {
				a, _ := ask(s.addr, slow, nil)
				done <- a
			}()
			s.row(t, slow, func(r idempotency.Entry) bool { return r.Attempts == 1 })
			if a := s.expect(t, slow, http.StatusConflict); !strings.HasPrefix(a.state, "in-flight") || a.retry == "" {
				t.Error(a)
			}
			s.w.mu.Lock()
			s.w.act = nil
			s.w.mu.Unlock()
			close(hold)
			first := <-done
			if a := s.expect(t, slow, http.StatusOK); a.body != first.body || s.w.ran(slow) != 1 {
				t.Error(a, first, s.w.ran(slow))
			}
			// Its client leaves: what the server says is kept for when it asks again.
			hold = make(chan struct{})
			s.w.mu.Lock()
			s.w.act = func(int) act { return act{hold: hold} }
			s.w.mu.Unlock()
			left := request{class: "activate", key: "left", deadline: 200 * time.Millisecond}
			if a, err := ask(s.addr, left, nil); err != nil || a.status == http.StatusOK || a.status == http.StatusServiceUnavailable {
				t.Error(a, err)
			}
			s.row(t, left, is(idempotency.MayHaveRun))
			close(hold)
			if a := s.expect(t, left, http.StatusConflict); !strings.HasPrefix(a.state, "may-have-run") || s.w.ran(left) != 1 {
				t.Error(a, s.w.ran(left))
			}
		})
	}
}

// Two sidecars get one key at the same moment; an owner dies holding it, stalls past
// its time, and clocks jump.
func TestTwoSidecarsOneKey(t *testing.T) {
	pair := func(t *testing.T) (a, b *scene) {
		a = stage(t, "postgres", plan{Lease: time.Second})
		b = &scene{w: a.w, pg: a.pg}
		servers, err := shop.NewWith(3, func(_ *shop.Shop, _ string, rw http.ResponseWriter, r *http.Request) { a.w.serve(rw, r) })
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(servers.Close)
		if b.node, err = start(&plan{Servers: servers.Addrs(), Postgres: a.pg.URL(), Lease: time.Second}, nil); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(b.stop)
		return a, b
	}
	t.Run("same moment", func(t *testing.T) {
		a, b := pair(t)
		for n := range 30 {
			q := request{class: []string{"activate", "id-register"}[n%2], key: fmt.Sprint("k", n)}
			hold := make(chan struct{})
			a.w.mu.Lock()
			a.w.act = func(int) act { return act{hold: hold} }
			a.w.mu.Unlock()
			got := make(chan answer, 2)
			for _, s := range []*scene{a, b} {
				go func() {
					x, _ := ask(s.addr, q, nil)
					got <- x
				}()
			}
			if x := <-got; x.status != http.StatusConflict || !strings.HasPrefix(x.state, "in-flight") {
				t.Fatalf("%+v", x)
			}
			close(hold)
			first := <-got
			if first.status != http.StatusOK {
				t.Fatalf("%+v", first)
			}
			for _, s := range []*scene{a, b} {
				if x := s.expect(t, q, http.StatusOK); x.body != first.body {
					t.Error(x)
				}
			}
			if a.w.ran(q) != 1 {
				t.Fatalf("it ran %d times", a.w.ran(q))
			}
		}
	})
	t.Run("the owner dies", func(t *testing.T) {
		_, b := pair(t)
		hold := make(chan struct{})
		b.w.act = func(int) act { return act{hold: hold} }
		defer close(hold)
		owner, err := launch(&plan{Servers: []string{serverOf(t, b.w)}, Postgres: b.pg.URL()})
		if err != nil {
			t.Fatal(err)
		}
		defer owner.end()
		q := request{class: "activate", key: "k"}
		go ask(owner.addr, q, nil)
		b.row(t, q, func(r idempotency.Entry) bool { return r.Attempts == 1 })
		owner.end()
		for _, skew := range []time.Duration{0, -10 * time.Hour, 0} {
			b.pg.SetSkew(skew)
			if x := b.expect(t, q, http.StatusConflict); !strings.HasPrefix(x.state, "in-flight") {
				t.Error(x)
			}
		}
		b.pg.SetSkew(time.Hour)
		for _, skew := range []time.Duration{time.Hour, -10 * time.Hour, 10 * time.Hour} {
			b.pg.SetSkew(skew)
			if x := b.expect(t, q, http.StatusConflict); !strings.HasPrefix(x.state, "may-have-run") {
				t.Error(x)
			}
		}
		if b.w.ran(q) > 1 {
			t.Errorf("it ran %d times", b.w.ran(q))
		}
	})
	t.Run("the owner stalls before its send", func(t *testing.T) {
		for _, class := range []string{"activate", "id-register"} {
			stalls(t, class, pair)
		}
	})
	t.Run("its time is over while it is in flight", func(t *testing.T) {
		a, b := pair(t)
		q := request{class: "activate", key: "k"}
		hold := make(chan struct{})
		a.w.act = func(int) act { return act{hold: hold} }
		got := make(chan answer, 1)
		go func() {
			x, _ := ask(a.addr, q, nil)
			got <- x
		}()
		a.row(t, q, func(r idempotency.Entry) bool { return r.Attempts == 1 })
		b.pg.SetSkew(time.Hour)
		if x := b.expect(t, q, http.StatusConflict); !strings.HasPrefix(x.state, "may-have-run") {
			t.Error(x)
		}
		close(hold)
		if x := <-got; x.status != http.StatusOK { // the server's answer is its client's
			t.Error(x)
		}
		if x := b.expect(t, q, http.StatusOK); x.status != http.StatusOK || b.w.ran(q) != 1 {
			t.Error(x, b.w.ran(q))
		}
	})
}

func serverOf(t *testing.T, w *world) string {
	s, err := shop.NewWith(1, func(_ *shop.Shop, _ string, rw http.ResponseWriter, r *http.Request) { w.serve(rw, r) })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s.Addrs()[0]
}

func stalls(t *testing.T, class string, pair func(*testing.T) (a, b *scene)) {
	a, b := pair(t)
	q := request{class: class, key: "k"}
	a.gate.set(of(idempotency.Send), nil)
	got := make(chan answer, 1)
	go func() {
		x, _ := ask(a.addr, q, nil)
		got <- x
	}()
	<-a.gate.held
	b.pg.SetSkew(time.Hour)
	first := b.expect(t, q, http.StatusOK)
	a.gate.set(nil, nil)
	// Fenced: it is not sent, by no attempt, and what its client is told is no answer.
	if x := <-got; x.status != http.StatusServiceUnavailable && x.status != http.StatusBadGateway {
		t.Errorf("%+v", x)
	}
	b.w.mu.Lock()
	hits := b.w.hits
	b.w.mu.Unlock()
	if x := b.expect(t, q, http.StatusOK); x.body != first.body || b.w.ran(q) != 1 || hits != 1 {
		t.Errorf("%s: %+v; ran %d times, %d sent", class, x, b.w.ran(q), hits)
	}
}
