package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"martendrum/internal/idempotency"
)

// TestTwoSidecarsOneKey sends one key to two sidecars that share a database: at the same
// moment, and while its owner is dead, stalled or past its lease.
func TestTwoSidecarsOneKey(t *testing.T) {
	t.Run("same moment", testSameMoment)
	t.Run("owner dies", testOwnerDies)
	t.Run("owner stalls before its attempt", func(t *testing.T) {
		for _, class := range []string{"activate", "id-register"} {
			testOwnerStalls(t, class)
		}
	})
	t.Run("lease expires in flight", testLeaseExpiresInFlight)
}

// newPair starts two sidecars on one database, of which only the first has a gate.
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

func testSameMoment(t *testing.T) {
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
			t.Fatalf("%+v", rejected)
		}
		close(hold)
		served := <-responses
		if served.status != http.StatusOK {
			t.Fatalf("%+v", served)
		}
		for _, f := range []*fixture{first, second} {
			if response := f.expect(t, request, http.StatusOK); response.body != served.body {
				t.Error(response)
			}
		}
		if first.servers.runCount(request) != 1 {
			t.Fatalf("it ran %d times", first.servers.runCount(request))
		}
	}
}

// testOwnerDies checks that a dead owner's key is in flight until its lease is over by
// the database's clock, and may have run from then on, even if the clock goes back.
func testOwnerDies(t *testing.T) {
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
			t.Error(response)
		}
	}
	survivor.database.SetSkew(time.Hour)
	for _, skew := range []time.Duration{time.Hour, -10 * time.Hour, 10 * time.Hour} {
		survivor.database.SetSkew(skew)
		if response := survivor.expect(t, request, http.StatusConflict); !strings.HasPrefix(response.recordState, "may-have-run") {
			t.Error(response)
		}
	}
	if survivor.servers.runCount(request) > 1 {
		t.Errorf("it ran %d times", survivor.servers.runCount(request))
	}
}

// testOwnerStalls checks that an owner that stalls past its lease is fenced: its request
// is not sent, and its client gets an error.
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
		t.Errorf("%+v", response)
	}
	other.servers.mu.Lock()
	requests := other.servers.requests
	other.servers.mu.Unlock()
	if response := other.expect(t, request, http.StatusOK); response.body != served.body || other.servers.runCount(request) != 1 || requests != 1 {
		t.Errorf("%s: %+v; ran %d times, %d sent", class, response, other.servers.runCount(request), requests)
	}
}

// testLeaseExpiresInFlight checks that an answer that comes after the lease is its
// client's, and is stored.
func testLeaseExpiresInFlight(t *testing.T) {
	owner, other := newPair(t)
	request := clientRequest{class: "activate", key: "k"}
	hold := make(chan struct{})
	owner.servers.behave = always(behavior{hold: hold})
	done := owner.sendInBackground(request)
	owner.awaitEntry(t, request, firstAttempt)
	other.database.SetSkew(time.Hour)
	if response := other.expect(t, request, http.StatusConflict); !strings.HasPrefix(response.recordState, "may-have-run") {
		t.Error(response)
	}
	close(hold)
	if response := <-done; response.status != http.StatusOK {
		t.Error(response)
	}
	if response := other.expect(t, request, http.StatusOK); response.status != http.StatusOK || other.servers.runCount(request) != 1 {
		t.Error(response, other.servers.runCount(request))
	}
}
