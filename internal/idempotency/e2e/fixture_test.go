package e2e

import (
	"context"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"martendrum/internal/idempotency"
	"martendrum/internal/standin/pgserver"
)

// pollInterval is how often a test looks for what it waits for.
const pollInterval = time.Millisecond

// gatedBackend is a store whose transactions can be held or failed.
type gatedBackend struct {
	idempotency.Backend

	mu         sync.Mutex
	holds      func(ops []*idempotency.Op) bool // nil: none are held
	opened     chan struct{}
	waiting    chan struct{} // one value for each transaction that is held
	applyCalls int
	injected   error // returned at once in place of holding
}

func newGate(backend idempotency.Backend) *gatedBackend {
	return &gatedBackend{Backend: backend, opened: make(chan struct{}), waiting: make(chan struct{}, 1000)}
}

// set lets what is held continue and holds, or fails with injected, what holds selects.
func (g *gatedBackend) set(holds func([]*idempotency.Op) bool, injected error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.opened)
	g.opened = make(chan struct{})
	g.holds, g.injected = holds, injected
}

func (g *gatedBackend) waitUntilOpen(ctx context.Context, ops []*idempotency.Op) error {
	g.mu.Lock()
	if ops != nil {
		g.applyCalls++
	}
	holds, opened, injected := g.holds, g.opened, g.injected
	g.mu.Unlock()
	if holds == nil || !holds(ops) {
		return nil
	}
	if injected != nil {
		return injected
	}
	g.waiting <- struct{}{}
	select {
	case <-opened:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Apply implements idempotency.Backend.
func (g *gatedBackend) Apply(ctx context.Context, ops []*idempotency.Op) error {
	if err := g.waitUntilOpen(ctx, ops); err != nil {
		return err
	}
	return g.Backend.Apply(ctx, ops)
}

// Ping implements idempotency.Backend.
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

// everyOp selects all transactions and pings.
func everyOp([]*idempotency.Op) bool { return true }

// withKind selects transactions that have an op of a kind.
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

// serversPerSidecar is the number of servers of a fixture's sidecar.
const serversPerSidecar = 3

// fixture is servers, a sidecar, and its store behind a gate.
type fixture struct {
	*testSidecar
	servers  *serverGroup
	gate     *gatedBackend
	database *pgserver.Server // nil for SQLite
}

// newFixture starts a fixture that ends with the test.
func newFixture(t *testing.T, store string, config sidecarConfig) *fixture {
	t.Helper()
	f := &fixture{servers: newServerGroup()}
	config.Servers = newServers(t, serversPerSidecar, f.servers)
	var err error
	if store == "postgres" {
		if f.database, err = pgserver.Start(pgserver.Config{}); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { f.database.Close() })
		config.Postgres = f.database.URL()
	} else {
		config.SQLite = filepath.Join(t.TempDir(), "record.db")
	}
	config.wrapBackend = func(backend idempotency.Backend) idempotency.Backend {
		f.gate = newGate(backend)
		return f.gate
	}
	if f.testSidecar, err = start(&config, nil); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.stop)
	return f
}

// expect sends a request and compares the status.
func (f *fixture) expect(t *testing.T, request clientRequest, status int) clientResponse {
	t.Helper()
	response, err := sendRequest(f.address, request, nil)
	if err != nil {
		t.Fatal(err)
	}
	if response.status != status {
		t.Fatalf("%s %s: %+v, want %d", request.class, request.key, response, status)
	}
	return response
}

// sendInBackground sends a request and returns where its response will be.
func (f *fixture) sendInBackground(request clientRequest) <-chan clientResponse {
	done := make(chan clientResponse, 1)
	go func() {
		response, _ := sendRequest(f.address, request, nil)
		done <- response
	}()
	return done
}

// sendUntilRun sends a request in the background until a server has run it, and returns
// where the response to the last sending will be. A sending whose claim takes longer than
// the wait for the store is rejected and did not run, so that the key may be sent again.
func (f *fixture) sendUntilRun(t *testing.T, request clientRequest) <-chan clientResponse {
	t.Helper()
	var rejected clientResponse
	done := f.sendInBackground(request)
	for deadline := time.Now().Add(testTimeout); f.servers.runCount(request) == 0; {
		if time.Now().After(deadline) {
			t.Fatalf("no server ran %s %s within %v; last rejection: %+v", request.class, request.key, testTimeout, rejected)
		}
		select {
		case response := <-done:
			if f.servers.runCount(request) > 0 { // it ran and was answered since the check
				answered := make(chan clientResponse, 1)
				answered <- response
				return answered
			}
			if response.status != http.StatusServiceUnavailable && response.status != http.StatusConflict {
				t.Fatalf("%s %s: got %+v before a server ran it, want a rejection", request.class, request.key, response)
			}
			rejected = response
			done = f.sendInBackground(request)
		case <-time.After(pollInterval):
		}
	}
	return done
}

// awaitEntry waits until a key's entry satisfies a condition.
func (f *fixture) awaitEntry(t *testing.T, request clientRequest, condition func(idempotency.Entry) bool) idempotency.Entry {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	for {
		entry, err := f.backend.Get(ctx, request.class, request.key)
		if err == nil && condition(entry) {
			return entry
		}
		if ctx.Err() != nil {
			t.Fatalf("%s %s stays %+v: %v", request.class, request.key, entry, err)
		}
		time.Sleep(pollInterval)
	}
}

func inState(state idempotency.State) func(idempotency.Entry) bool {
	return func(entry idempotency.Entry) bool { return entry.State == state }
}

// firstAttempt is the condition of one attempt that is written.
func firstAttempt(entry idempotency.Entry) bool { return entry.Attempts == 1 }

// awaitRecovery waits until the breaker is closed and the queue is written.
func (f *fixture) awaitRecovery(t *testing.T) {
	t.Helper()
	deadline := time.Now().Add(testTimeout)
	for !strings.Contains(f.recorder.Status(), "breaker=closed; queued=0") {
		if time.Now().After(deadline) {
			t.Fatal("the store does not recover: ", f.recorder.Status())
		}
		time.Sleep(pollInterval)
	}
}
