package e2e

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"martendrum/internal/idempotency"
	"martendrum/internal/standin/pgserver"
)

// shortWait is the maximum wait for the store in tests in which a gate holds transactions, so that
// the wait elapses soon.
const shortWait = 100 * time.Millisecond

// outageWait is the maximum wait for a database that fails during a test. It is long enough for the
// claims that are made before the outage.
const outageWait = time.Second

// TestStoreUnavailable makes the store hang or fail at each stage of a request, and lets it recover
// afterwards.
func TestStoreUnavailable(t *testing.T) {
	for _, store := range []string{"sqlite", "postgres"} {
		t.Run(store, func(t *testing.T) {
			for name, injected := range map[string]error{"hangs": nil, "fails": errors.New("injected")} {
				t.Run(name, func(t *testing.T) { testEveryOpFails(t, store, injected) })
			}
			for _, test := range []struct {
				name string
				run  func(t *testing.T, store string)
			}{
				{"rejects one outcome permanently", testRejectedOutcome},
				{"breaker is open", testOpenBreaker},
				{"hangs at the attempt", testHangsAtAttempt},
				{"hangs at the outcome", testHangsAtOutcome},
				{"deadline of the client passes first", testClientDeadlineFirst},
				{"recovers before the answer", testRecoversBeforeAnswer},
				{"request is sent until it has run", testSendUntilRun},
			} {
				t.Run(test.name, func(t *testing.T) { test.run(t, store) })
			}
		})
	}
	t.Run("database", testDatabaseUnavailable)
}

// testEveryOpFails checks that while no operation of the store succeeds, requests of a class that fails
// open are served and those of a class that fails closed are rejected. Once the store has
// recovered, requests of both classes must be recorded.
func testEveryOpFails(t *testing.T, store string, injected error) {
	f := newFixture(t, store, sidecarConfig{MaxWait: shortWait})
	f.gate.set(everyOp, injected)
	for n := range 6 {
		response := f.expect(t, clientRequest{class: "activate", key: fmt.Sprint("a", n)}, http.StatusServiceUnavailable)
		if response.retryAfter == "" {
			t.Error("rejected request got no Retry-After header")
		}
		f.expect(t, clientRequest{class: "id-register", key: fmt.Sprint("i", n)}, http.StatusOK)
		f.expect(t, clientRequest{class: "status-check"}, http.StatusOK)
	}
	if !strings.Contains(f.recorder.Status(), "gaps=6") || !strings.Contains(f.recorder.Status(), "refused=6") ||
		strings.Contains(f.recorder.Status(), "breaker=closed") {
		t.Errorf("got status %q, want 6 gaps, 6 rejected requests and a breaker that is not closed", f.recorder.Status())
	}
	f.gate.set(nil, nil)
	f.awaitRecovery(t)
	for n := range 6 {
		request := clientRequest{class: "activate", key: fmt.Sprint("a", n)}
		if f.servers.runCount(request) > 0 {
			t.Errorf("the rejected request with key %s ran %d times, want 0", request.key, f.servers.runCount(request))
		}
		f.expect(t, request, http.StatusOK)
		// The outcome of a request that was served without the store is written after the recovery.
		request = clientRequest{class: "id-register", key: fmt.Sprint("i", n)}
		f.awaitEntry(t, request, inState(idempotency.Answered))
		f.expect(t, request, http.StatusOK)
		if f.servers.runCount(request) != 1 {
			t.Errorf("the key %s ran %d times, want 1", request.key, f.servers.runCount(request))
		}
	}
	f.recorder.WriteGaps(context.Background())
	if gaps, err := f.backend.Gaps(context.Background(), 10); err != nil || len(gaps) != 1 || gaps[0].Requests != 6 || gaps[0].Class != "id-register" {
		t.Errorf("got gaps %+v, error %v; want one gap of 6 requests of id-register", gaps, err)
	}
}

// testRejectedOutcome checks that an outcome that the store rejects each time does not delay the
// outcomes of other keys.
func testRejectedOutcome(t *testing.T, store string) {
	f := newFixture(t, store, sidecarConfig{MaxWait: shortWait})
	f.gate.set(func(ops []*idempotency.Op) bool {
		for _, op := range ops {
			if op.Kind == idempotency.End && op.Key == "poison" {
				return true
			}
		}
		return false
	}, errors.New("injected"))
	f.expect(t, clientRequest{class: "activate", key: "poison"}, http.StatusOK)
	deadline := time.Now().Add(testTimeout)
	for n := 0; n < 5; {
		request := clientRequest{class: "activate", key: fmt.Sprint(n)}
		response, err := sendRequest(f.address, request, nil)
		if err != nil || time.Now().After(deadline) {
			t.Fatalf("only %d of 5 requests served; last response %+v, error %v", n, response, err)
		}
		if response.status == http.StatusOK {
			f.awaitEntry(t, request, inState(idempotency.Answered))
			n++
		}
	}
	f.gate.set(nil, nil)
	f.awaitEntry(t, clientRequest{class: "activate", key: "poison"}, inState(idempotency.Answered))
}

// testOpenBreaker checks that while the breaker is open no transaction is started: requests are rejected
// without a wait, and the store only gets pings.
func testOpenBreaker(t *testing.T, store string) {
	f := newFixture(t, store, sidecarConfig{MaxWait: testTimeout})
	f.gate.set(everyOp, errors.New("injected"))
	for n := range 3 {
		f.expect(t, clientRequest{class: "activate", key: fmt.Sprint(n)}, http.StatusServiceUnavailable)
	}
	f.gate.set(everyOp, nil)
	calls := f.gate.countApplyCalls()
	for n := range 20 {
		f.expect(t, clientRequest{class: "activate", key: fmt.Sprint("x", n)}, http.StatusServiceUnavailable)
	}
	if n := f.gate.countApplyCalls(); n != calls {
		t.Errorf("%d transactions were started while the breaker was open, want 0", n-calls)
	}
	f.gate.set(nil, nil)
}

// testHangsAtAttempt checks that no attempt is sent before it is recorded, unless its class fails open.
func testHangsAtAttempt(t *testing.T, store string) {
	f := newFixture(t, store, sidecarConfig{MaxWait: shortWait})
	request := clientRequest{class: "activate", key: "k"}
	f.gate.set(withKind(idempotency.Send), nil)
	f.expect(t, request, http.StatusServiceUnavailable)
	if f.servers.runCount(request) > 0 {
		t.Errorf("the request ran %d times before its attempt was recorded, want 0", f.servers.runCount(request))
	}
	f.gate.set(nil, nil)
	f.awaitRecovery(t)
	f.awaitEntry(t, request, inState(idempotency.NeverRan))
	f.expect(t, request, http.StatusOK)
	failingOpen := clientRequest{class: "id-register", key: "k"}
	f.gate.set(withKind(idempotency.Send), nil)
	f.expect(t, failingOpen, http.StatusOK)
	f.gate.set(nil, nil)
	f.awaitEntry(t, failingOpen, inState(idempotency.Answered))
}

// testHangsAtOutcome checks that the client gets its answer even if the outcome can't be written
// within the maximum wait, and that the key stays in flight until the outcome is written.
func testHangsAtOutcome(t *testing.T, store string) {
	f := newFixture(t, store, sidecarConfig{MaxWait: shortWait})
	request := clientRequest{class: "activate", key: "k"}
	f.gate.set(withKind(idempotency.End), nil)
	first := f.expect(t, request, http.StatusOK)
	f.awaitEntry(t, request, inState(idempotency.InFlight))
	f.expect(t, request, http.StatusServiceUnavailable) // the recorder's shard of this key still waits for the store
	f.gate.set(nil, nil)
	f.awaitRecovery(t)
	f.awaitEntry(t, request, inState(idempotency.Answered))
	if again := f.expect(t, request, http.StatusOK); again.body != first.body || f.servers.runCount(request) != 1 {
		t.Errorf("repeat got answer %q, first answer %q, ran %d times; want the same answer and 1 run", again.body, first.body, f.servers.runCount(request))
	}
}

// testClientDeadlineFirst checks that a request's deadline bounds the wait for the store, where the
// maximum wait is much longer.
func testClientDeadlineFirst(t *testing.T, store string) {
	f := newFixture(t, store, sidecarConfig{MaxWait: 10 * time.Minute})
	f.gate.set(withKind(idempotency.End), nil)
	request := clientRequest{class: "activate", key: "k", deadline: 400 * time.Millisecond}
	if response, err := sendRequest(f.address, request, nil); err != nil || response.status == 0 {
		t.Errorf("request with a deadline of 400ms: got %+v, error %v; want a response", response, err)
	}
	f.gate.set(nil, nil)
	f.awaitEntry(t, request, func(entry idempotency.Entry) bool {
		return entry.State == idempotency.Answered || entry.State == idempotency.NeverRan
	})
}

// testRecoversBeforeAnswer checks that an answer is not sent before its outcome is written.
func testRecoversBeforeAnswer(t *testing.T, store string) {
	f := newFixture(t, store, sidecarConfig{})
	request := clientRequest{class: "activate", key: "k"}
	f.gate.set(withKind(idempotency.End), nil)
	done := f.sendInBackground(request)
	<-f.gate.waiting
	if f.servers.runCount(request) != 1 || len(done) > 0 {
		t.Errorf("before the outcome was written: got %d runs and %d responses, want 1 run and no response", f.servers.runCount(request), len(done))
	}
	f.gate.set(nil, nil)
	if response := <-done; response.status != http.StatusOK {
		t.Errorf("got %+v, want status 200 after the outcome is written", response)
	}
	f.awaitEntry(t, request, inState(idempotency.Answered))
}

// testSendUntilRun checks the helper sendUntilRun: it must repeat a request whose claim took longer than
// the maximum wait for the store.
func testSendUntilRun(t *testing.T, store string) {
	f := newFixture(t, store, sidecarConfig{MaxWait: shortWait})
	request := clientRequest{class: "activate", key: "k"}
	f.gate.set(withKind(idempotency.Claim), nil)
	sawRejection := make(chan bool, 1)
	go func() {
		rejected := false
		for deadline := time.Now().Add(testTimeout); !rejected && time.Now().Before(deadline); time.Sleep(pollInterval) {
			rejected = strings.Contains(f.recorder.Status(), "refused=")
		}
		f.gate.set(nil, nil)
		sawRejection <- rejected
	}()
	done := f.sendUntilRun(t, request)
	if !<-sawRejection {
		t.Fatalf("the recorder rejected no request within %v while the claim was held, want a rejection", testTimeout)
	}
	if response := <-done; response.status != http.StatusOK || f.servers.runCount(request) != 1 {
		t.Errorf("got %+v after %d runs, want status 200 after 1 run", response, f.servers.runCount(request))
	}
}

// testDatabaseUnavailable makes the database unavailable in several ways while a request is in flight.
func testDatabaseUnavailable(t *testing.T) {
	for name, outage := range map[string]struct{ begin, end func(*pgserver.Server) }{
		"hangs": {
			func(p *pgserver.Server) {
				p.Inject(func(pgserver.Event) pgserver.Fault { return pgserver.Fault{Stall: true} })
			},
			func(p *pgserver.Server) { p.Inject(nil); p.ResetAll() },
		},
		"shuts down": {
			func(p *pgserver.Server) {
				p.Inject(func(pgserver.Event) pgserver.Fault { return pgserver.Fault{Code: "57P01"} })
			},
			func(p *pgserver.Server) { p.Inject(nil) },
		},
		"unreachable": {
			func(p *pgserver.Server) { p.SetRejecting(true); p.ResetAll() },
			func(p *pgserver.Server) { p.SetRejecting(false) },
		},
		"read-only": {
			func(p *pgserver.Server) { p.SetReadOnly(true) },
			func(p *pgserver.Server) { p.SetReadOnly(false) },
		},
	} {
		t.Run(name, func(t *testing.T) { testOutage(t, outage.begin, outage.end) })
	}
}

// testOutage checks that a request in flight when an outage begins is answered during it and recorded
// after it, and that new requests are rejected or, if their class fails open, served.
func testOutage(t *testing.T, begin, end func(*pgserver.Server)) {
	f := newFixture(t, "postgres", sidecarConfig{MaxWait: outageWait})
	hold := make(chan struct{})
	f.servers.behave = onFirstRequest(behavior{hold: hold})
	inFlight := clientRequest{class: "activate", key: "flying"}
	done := f.sendUntilRun(t, inFlight)
	begin(f.database)
	close(hold)
	if response := <-done; response.status != http.StatusOK { // answered during the outage
		t.Errorf("request in flight when the outage began: got %+v, want status 200", response)
	}
	response := f.expect(t, clientRequest{class: "activate", key: "new"}, http.StatusServiceUnavailable)
	if response.retryAfter == "" {
		t.Error("request rejected during the outage got no Retry-After header")
	}
	f.expect(t, clientRequest{class: "id-register", key: "new"}, http.StatusOK)
	end(f.database)
	f.awaitRecovery(t)
	f.awaitEntry(t, inFlight, inState(idempotency.Answered))
	f.expect(t, clientRequest{class: "activate", key: "new"}, http.StatusOK)
	f.expect(t, inFlight, http.StatusOK)
	if f.servers.runCount(inFlight) != 1 {
		t.Errorf("the request in flight when the outage began ran %d times, want 1", f.servers.runCount(inFlight))
	}
}
