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

// pollInterval is the time between two checks of a condition that a test waits for.
const pollInterval = time.Millisecond

// gatedBackend is a store whose transactions and pings can be held back or made to fail.
type gatedBackend struct {
	idempotency.Backend

	mu         sync.Mutex
	holds      func(ops []*idempotency.Op) bool // reports whether to hold a transaction or, if ops is nil, a ping; nil: nothing is held
	opened     chan struct{}                    // closed to release those held since the last call of set
	waiting    chan struct{}                    // receives one value for each transaction or ping that is held
	applyCalls int
	injected   error // if not nil, selected transactions and pings return it at once and are not held
}

// newGate returns a gate in front of backend that holds nothing.
func newGate(backend idempotency.Backend) *gatedBackend {
	return &gatedBackend{Backend: backend, opened: make(chan struct{}), waiting: make(chan struct{}, 1000)}
}

// set releases all transactions and pings that are held. From then on those that holds selects
// fail with injected or, if that is nil, are held. A nil holds selects none.
func (g *gatedBackend) set(holds func([]*idempotency.Op) bool, injected error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.opened)
	g.opened = make(chan struct{})
	g.holds, g.injected = holds, injected
}

// waitUntilOpen waits while the gate holds the transaction ops, or a ping if ops is nil. It returns
// the injected error, or the context's.
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

// countApplyCalls returns the number of transactions so far, including those held or failed.
func (g *gatedBackend) countApplyCalls() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.applyCalls
}

// everyOp selects all transactions and pings.
func everyOp([]*idempotency.Op) bool { return true }

// withKind selects the transactions that contain an op of the given kind.
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

// serversPerSidecar is the number of servers that one sidecar of a test uses.
const serversPerSidecar = 3

// fixture consists of servers, a sidecar, and its store behind a gate.
type fixture struct {
	*testSidecar
	servers  *serverGroup
	gate     *gatedBackend    // nil for the second sidecar of newPair
	database *pgserver.Server // nil for SQLite
}

// newFixture starts servers and a sidecar with a store, "sqlite" or "postgres". They are stopped
// when the test ends.
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

// expect sends a request, fails the test unless the response has the given status, and returns the
// response.
func (f *fixture) expect(t *testing.T, request clientRequest, status int) clientResponse {
	t.Helper()
	response, err := sendRequest(f.address, request, nil)
	if err != nil {
		t.Fatal(err)
	}
	if response.status != status {
		t.Fatalf("%s request with key %q: got %+v, want status %d", request.class, request.key, response, status)
	}
	return response
}

// sendInBackground sends a request in the background and returns a channel that receives its
// response. The status is 0 if there is none.
func (f *fixture) sendInBackground(request clientRequest) <-chan clientResponse {
	done := make(chan clientResponse, 1)
	go func() {
		response, _ := sendRequest(f.address, request, nil)
		done <- response
	}()
	return done
}

// sendUntilRun sends a request in the background, repeatedly until a server has run it, and returns
// a channel that receives the response to the last one. A request whose claim takes longer than
// the maximum wait for the store is rejected and has not run, so its key may be sent again.
func (f *fixture) sendUntilRun(t *testing.T, request clientRequest) <-chan clientResponse {
	t.Helper()
	var rejected clientResponse
	done := f.sendInBackground(request)
	for deadline := time.Now().Add(testTimeout); f.servers.runCount(request) == 0; {
		if time.Now().After(deadline) {
			t.Fatalf("no server ran the %s request with key %q within %v; last rejection: %+v", request.class, request.key, testTimeout, rejected)
		}
		select {
		case response := <-done:
			if f.servers.runCount(request) > 0 { // it ran and was answered after the loop's condition was checked
				answered := make(chan clientResponse, 1)
				answered <- response
				return answered
			}
			if response.status != http.StatusServiceUnavailable && response.status != http.StatusConflict {
				t.Fatalf("%s request with key %q: got %+v before a server ran it, want status 503 or 409", request.class, request.key, response)
			}
			rejected = response
			done = f.sendInBackground(request)
		case <-time.After(pollInterval):
		}
	}
	return done
}

// awaitEntry waits until the entry of a request's key satisfies a condition, and returns the entry.
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
			t.Fatalf("%s request with key %q: entry is still %+v (error: %v) after %v", request.class, request.key, entry, err, testTimeout)
		}
		time.Sleep(pollInterval)
	}
}

// inState returns the condition that an entry is in the given state.
func inState(state idempotency.State) func(idempotency.Entry) bool {
	return func(entry idempotency.Entry) bool { return entry.State == state }
}

// firstAttempt is the condition that exactly one attempt is recorded.
func firstAttempt(entry idempotency.Entry) bool { return entry.Attempts == 1 }

// awaitRecovery waits until the recorder's breaker is closed and its queue is empty.
func (f *fixture) awaitRecovery(t *testing.T) {
	t.Helper()
	deadline := time.Now().Add(testTimeout)
	for !strings.Contains(f.recorder.Status(), "breaker=closed; queued=0") {
		if time.Now().After(deadline) {
			t.Fatalf("the recorder has not recovered within %v: got status %q, want a closed breaker and an empty queue", testTimeout, f.recorder.Status())
		}
		time.Sleep(pollInterval)
	}
}
