package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"martendrum/internal/idempotency"
)

// TestTwoSidecarsOneKey sends requests with one key to two sidecars that share a database: at the same
// time, and to the second sidecar while the first, which owns the key, is killed, stalled or past
// its lease.
func TestTwoSidecarsOneKey(t *testing.T) {
	t.Run("same time", testSameTime)
	t.Run("owner is killed", testOwnerKilled)
	t.Run("owner stalls before its attempt", func(t *testing.T) {
		for _, class := range []string{"activate", "id-register"} {
			testOwnerStalls(t, class)
		}
	})
	t.Run("lease expires in flight", testLeaseExpiresInFlight)
}

// newPair starts two sidecars that share a database and a group of servers. Only the first has a gate.
func newPair(t *testing.T) (first, second *fixture) {
	t.Helper()
	first = newFixture(t, "postgres", sidecarConfig{LeaseMargin: time.Second})
	second = &fixture{servers: first.servers, database: first.database}
	config := &sidecarConfig{Servers: newServers(t, serversPerSidecar, first.servers), Postgres: first.database.URL(), LeaseMargin: time.Second}
	var err error
	if second.testSidecar, err = start(config, nil); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(second.stop)
	return first, second
}

// testSameTime checks that of two requests with one key at the same time one runs and the other is
// rejected, and that both sidecars give a repeat the same answer.
func testSameTime(t *testing.T) {
	first, second := newPair(t)
	for n := range 30 {
		request := clientRequest{class: []string{"activate", "id-register"}[n%2], key: fmt.Sprint("k", n)}
		hold := make(chan struct{})
		first.servers.setBehavior(always(behavior{hold: hold}))
		responses := make(chan clientResponse, 2)
		for _, f := range []*fixture{first, second} {
			go func() {
				response, _ := sendRequest(f.address, request, nil)
				responses <- response
			}()
		}
		if rejected := <-responses; rejected.status != http.StatusConflict || !strings.HasPrefix(rejected.recordState, "in-flight") {
			t.Fatalf("first response: got %+v, want status 409 and in-flight", rejected)
		}
		close(hold)
		served := <-responses
		if served.status != http.StatusOK {
			t.Fatalf("second response: got %+v, want status 200", served)
		}
		for _, f := range []*fixture{first, second} {
			if response := f.expect(t, request, http.StatusOK); response.body != served.body {
				t.Errorf("repeat: got answer %q, want %q", response.body, served.body)
			}
		}
		if first.servers.runCount(request) != 1 {
			t.Fatalf("the key ran %d times, want 1", first.servers.runCount(request))
		}
	}
}

// testOwnerKilled checks that the key of a killed owner stays in flight until its lease has expired
// by the database's clock. From then on the key may have run, even if the clock goes back.
func testOwnerKilled(t *testing.T) {
	_, survivor := newPair(t)
	hold := make(chan struct{})
	survivor.servers.behave = always(behavior{hold: hold})
	defer close(hold)
	owner, err := launchChild(&sidecarConfig{Servers: newServers(t, 1, survivor.servers), Postgres: survivor.database.URL()})
	if err != nil {
		t.Fatal(err)
	}
	defer owner.end()
	request := clientRequest{class: "activate", key: "k"}
	go sendRequest(owner.address, request, nil)
	survivor.awaitEntry(t, request, firstAttempt)
	owner.end()
	for _, skew := range []time.Duration{0, -10 * time.Hour, 0} {
		survivor.database.SetSkew(skew)
		if response := survivor.expect(t, request, http.StatusConflict); !strings.HasPrefix(response.recordState, "in-flight") {
			t.Errorf("before the lease has expired, clock skew %v: got %+v, want in-flight", skew, response)
		}
	}
	survivor.database.SetSkew(time.Hour)
	for _, skew := range []time.Duration{time.Hour, -10 * time.Hour, 10 * time.Hour} {
		survivor.database.SetSkew(skew)
		if response := survivor.expect(t, request, http.StatusConflict); !strings.HasPrefix(response.recordState, "may-have-run") {
			t.Errorf("after the lease has expired, clock skew %v: got %+v, want may-have-run", skew, response)
		}
	}
	if survivor.servers.runCount(request) > 1 {
		t.Errorf("the key ran %d times, want at most 1", survivor.servers.runCount(request))
	}
}

// testOwnerStalls checks that an owner that stalls until its lease has expired is fenced: it does not
// send its request to a server, and its client gets an error. The other sidecar may run the key.
func testOwnerStalls(t *testing.T, class string) {
	t.Helper()
	owner, other := newPair(t)
	request := clientRequest{class: class, key: "k"}
	owner.gate.set(withKind(idempotency.Send), nil)
	done := owner.sendInBackground(request)
	<-owner.gate.waiting
	other.database.SetSkew(time.Hour)
	served := other.expect(t, request, http.StatusOK)
	owner.gate.set(nil, nil)
	if response := <-done; response.status != http.StatusServiceUnavailable && response.status != http.StatusBadGateway {
		t.Errorf("class %s: the stalled owner's client got %+v, want status 503 or 502", class, response)
	}
	other.servers.mu.Lock()
	requests := other.servers.requests
	other.servers.mu.Unlock()
	if response := other.expect(t, request, http.StatusOK); response.body != served.body || other.servers.runCount(request) != 1 || requests != 1 {
		t.Errorf("class %s: repeat got %+v, ran %d times, %d requests sent; want the same answer, 1 run and 1 request", class, response, other.servers.runCount(request), requests)
	}
}

// testLeaseExpiresInFlight checks that an answer that arrives after the owner's lease has expired is
// sent to the client and stored. Until then the key may have run.
func testLeaseExpiresInFlight(t *testing.T) {
	owner, other := newPair(t)
	request := clientRequest{class: "activate", key: "k"}
	hold := make(chan struct{})
	owner.servers.behave = always(behavior{hold: hold})
	done := owner.sendInBackground(request)
	owner.awaitEntry(t, request, firstAttempt)
	other.database.SetSkew(time.Hour)
	if response := other.expect(t, request, http.StatusConflict); !strings.HasPrefix(response.recordState, "may-have-run") {
		t.Errorf("request after the lease has expired: got %+v, want may-have-run", response)
	}
	close(hold)
	if response := <-done; response.status != http.StatusOK {
		t.Errorf("the owner's client got %+v, want status 200", response)
	}
	if response := other.expect(t, request, http.StatusOK); response.status != http.StatusOK || other.servers.runCount(request) != 1 {
		t.Errorf("repeat: got %+v, ran %d times; want status 200 and 1 run", response, other.servers.runCount(request))
	}
}
