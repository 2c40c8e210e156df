package e2e

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"martendrum/internal/idempotency"
)

// TestRepeatedKeys checks the response to a request whose key was used before, for each outcome of the
// first request with that key.
func TestRepeatedKeys(t *testing.T) {
	for _, store := range []string{"sqlite", "postgres"} {
		t.Run(store, func(t *testing.T) {
			f := newFixture(t, store, sidecarConfig{MaxAnswerBytes: 1000})
			t.Run("answer too large to be stored", f.testLargeAnswer)
			t.Run("key of another request", f.testReusedKey)
			t.Run("first is in flight", f.testRepeatInFlight)
			t.Run("deadline of the first passed", f.testRepeatAfterDeadline)
		})
	}
}

// testLargeAnswer checks that an answer above MaxAnswerBytes reaches its client but is not stored, so
// that a repeat gets status 409.
func (f *fixture) testLargeAnswer(t *testing.T) {
	f.servers.setBehavior(always(behavior{bodySize: 5000}))
	large := clientRequest{class: "activate", key: "large"}
	if response := f.expect(t, large, http.StatusOK); len(response.body) != 5000 {
		t.Errorf("first response has %d bytes, want 5000", len(response.body))
	}
	if response := f.expect(t, large, http.StatusConflict); !strings.HasPrefix(response.recordState, "answered") {
		t.Errorf("repeat: got %+v, want a Record-State that begins with answered", response)
	}
	if entry := f.awaitEntry(t, large, inState(idempotency.Answered)); !entry.AnswerOmitted || len(entry.Answer) > 0 {
		t.Errorf("got entry %+v, want one without the answer", entry)
	}
}

// testReusedKey checks that a request is rejected if its key was used with a different body before, if
// its body has no key, or if its body isn't JSON.
func (f *fixture) testReusedKey(t *testing.T) {
	f.servers.setBehavior(nil)
	request := clientRequest{class: "activate", key: "k"}
	f.expect(t, request, http.StatusOK)
	other := request
	other.body = `{"sim":{"iccid":"k"},"buyer":"another"}`
	if response := f.expect(t, other, http.StatusUnprocessableEntity); !strings.HasPrefix(response.recordState, "key-reused") {
		t.Errorf("same key with another body: got %+v, want a Record-State that begins with key-reused", response)
	}
	for body, want := range map[string]string{`{"sim":{}}`: "empty or missing", `{`: "no JSON"} {
		if response := f.expect(t, clientRequest{class: "activate", body: body}, http.StatusBadRequest); !strings.Contains(response.recordState, want) {
			t.Errorf("body %s: got %+v, want a Record-State with %q", body, response, want)
		}
	}
}

// testRepeatInFlight checks that a repeat is rejected at once, with a Retry-After header, while the
// first request is in flight, and gets the stored answer later.
func (f *fixture) testRepeatInFlight(t *testing.T) {
	hold := make(chan struct{})
	f.servers.setBehavior(always(behavior{hold: hold}))
	slow := clientRequest{class: "id-register", key: "slow"}
	done := f.sendInBackground(slow)
	f.awaitEntry(t, slow, firstAttempt)
	if response := f.expect(t, slow, http.StatusConflict); !strings.HasPrefix(response.recordState, "in-flight") || response.retryAfter == "" {
		t.Errorf("repeat while the first request is in flight: got %+v, want in-flight and a Retry-After", response)
	}
	f.servers.setBehavior(nil)
	close(hold)
	first := <-done
	if response := f.expect(t, slow, http.StatusOK); response.body != first.body || f.servers.runCount(slow) != 1 {
		t.Errorf("repeat after the answer: got %+v, first response %+v, ran %d times; want the same answer and 1 run", response, first, f.servers.runCount(slow))
	}
}

// testRepeatAfterDeadline checks that a request is recorded as may-have-run if its deadline passes while
// a server handles it, and that a repeat does not run it again.
func (f *fixture) testRepeatAfterDeadline(t *testing.T) {
	hold := make(chan struct{})
	f.servers.setBehavior(always(behavior{hold: hold}))
	expired := clientRequest{class: "activate", key: "left", deadline: 200 * time.Millisecond}
	if response, err := sendRequest(f.address, expired, nil); err != nil || response.status == http.StatusOK || response.status == http.StatusServiceUnavailable {
		t.Errorf("request past its deadline: got %+v, error %v; want neither status 200 nor 503", response, err)
	}
	f.awaitEntry(t, expired, inState(idempotency.MayHaveRun))
	close(hold)
	if response := f.expect(t, expired, http.StatusConflict); !strings.HasPrefix(response.recordState, "may-have-run") || f.servers.runCount(expired) != 1 {
		t.Errorf("repeat: got %+v, ran %d times; want may-have-run and 1 run", response, f.servers.runCount(expired))
	}
}
