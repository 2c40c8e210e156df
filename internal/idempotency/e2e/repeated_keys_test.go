package e2e

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"martendrum/internal/idempotency"
)

// TestRepeatedKeys checks what a repeat of a key is answered, by what became of the
// first request.
func TestRepeatedKeys(t *testing.T) {
	for _, store := range []string{"sqlite", "postgres"} {
		t.Run(store, func(t *testing.T) {
			f := newFixture(t, store, sidecarConfig{MaxAnswerBytes: 1000})
			t.Run("answer too large to be stored", f.testLargeAnswer)
			t.Run("key of another request", f.testReusedKey)
			t.Run("first is in flight", f.testRepeatInFlight)
			t.Run("client gave up on the first", f.testRepeatAfterDeadline)
		})
	}
}

func (f *fixture) testLargeAnswer(t *testing.T) {
	f.servers.setBehavior(always(behavior{bodySize: 5000}))
	large := clientRequest{class: "activate", key: "large"}
	if response := f.expect(t, large, http.StatusOK); len(response.body) != 5000 {
		t.Error(len(response.body))
	}
	if response := f.expect(t, large, http.StatusConflict); !strings.HasPrefix(response.recordState, "answered") {
		t.Error(response)
	}
	if entry := f.awaitEntry(t, large, inState(idempotency.Answered)); !entry.AnswerOmitted || len(entry.Answer) > 0 {
		t.Errorf("%+v", entry)
	}
}

func (f *fixture) testReusedKey(t *testing.T) {
	f.servers.setBehavior(nil)
	request := clientRequest{class: "activate", key: "k"}
	f.expect(t, request, http.StatusOK)
	other := request
	other.body = `{"sim":{"iccid":"k"},"buyer":"another"}`
	if response := f.expect(t, other, http.StatusUnprocessableEntity); !strings.HasPrefix(response.recordState, "key-reused") {
		t.Error(response)
	}
	for body, want := range map[string]string{`{"sim":{}}`: "empty or missing", `{`: "no JSON"} {
		if response := f.expect(t, clientRequest{class: "activate", body: body}, http.StatusBadRequest); !strings.Contains(response.recordState, want) {
			t.Error(response)
		}
	}
}

// testRepeatInFlight checks that a repeat is rejected at once, with a Retry-After, and
// gets the stored answer later.
func (f *fixture) testRepeatInFlight(t *testing.T) {
	hold := make(chan struct{})
	f.servers.setBehavior(always(behavior{hold: hold}))
	slow := clientRequest{class: "id-register", key: "slow"}
	done := f.sendInBackground(slow)
	f.awaitEntry(t, slow, firstAttempt)
	if response := f.expect(t, slow, http.StatusConflict); !strings.HasPrefix(response.recordState, "in-flight") || response.retryAfter == "" {
		t.Error(response)
	}
	f.servers.setBehavior(nil)
	close(hold)
	first := <-done
	if response := f.expect(t, slow, http.StatusOK); response.body != first.body || f.servers.runCount(slow) != 1 {
		t.Error(response, first, f.servers.runCount(slow))
	}
}

// testRepeatAfterDeadline checks that a key whose client gave up may have run.
func (f *fixture) testRepeatAfterDeadline(t *testing.T) {
	hold := make(chan struct{})
	f.servers.setBehavior(always(behavior{hold: hold}))
	abandoned := clientRequest{class: "activate", key: "left", deadline: 200 * time.Millisecond}
	if response, err := sendRequest(f.address, abandoned, nil); err != nil || response.status == http.StatusOK || response.status == http.StatusServiceUnavailable {
		t.Error(response, err)
	}
	f.awaitEntry(t, abandoned, inState(idempotency.MayHaveRun))
	close(hold)
	if response := f.expect(t, abandoned, http.StatusConflict); !strings.HasPrefix(response.recordState, "may-have-run") || f.servers.runCount(abandoned) != 1 {
		t.Error(response, f.servers.runCount(abandoned))
	}
}
