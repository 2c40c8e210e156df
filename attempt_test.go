package martendrum

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func TestRetryAfterOutcome(t *testing.T) {
	two := []Endpoint{{Name: "a", Zone: "z"}, {Name: "b", Zone: "z"}}
	apart := []Endpoint{{Name: "a", Zone: "y"}, {Name: "b", Zone: "z"}}
	for _, c := range []struct {
		name    string
		class   int
		servers []Endpoint
		outcome Outcome
		at      time.Duration
		want    []string
	}{
		{"idempotent after an error", 0, two, ServerError, ms, []string{"send 1", "send 1"}},
		{"idempotent after a rejection", 0, two, Rejected, ms, []string{"send 1", "send 1"}},
		{"non-idempotent after a rejection", 2, two, Rejected, ms, []string{"send 1", "send 1"}},
		{"non-idempotent after a failed connection", 2, two, ConnectFailed, ms, []string{"send 1", "send 1"}},
		{"non-idempotent after an error", 2, two, ServerError, ms, []string{"send 1", "fail 1"}},
		{"non-idempotent after a reset", 2, two, Reset, ms, []string{"send 1", "fail 1"}},
		{"non-idempotent after a timeout", 2, two, TimedOut, ms, []string{"send 1", "fail 1"}},
		{"non-idempotent after a cancellation", 2, two, Cancelled, ms, []string{"send 1", "fail 1"}},
		{"keyed within its scope", 1, two, Reset, ms, []string{"send 1", "send 1"}},
		{"keyed outside its scope", 1, apart, Reset, ms, []string{"send 1", "fail 1"}},
		{"keyed and not executed, outside its scope", 1, apart, Rejected, ms, []string{"send 1", "send 1"}},
		{"no server left", 2, two[:1], Rejected, ms, []string{"send 1", "refuse 1"}},
		{"past the latency objective", 0, two, Reset, 100 * ms, []string{"send 1", "refuse 1"}},
		{"non-idempotent past the latency objective", 2, two, Reset, 100 * ms, []string{"send 1", "fail 1"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			b, r := newTest(t, testConfig(), c.servers...)
			b.disableHedging()
			b.Arrive(0, Request{ID: 1, Class: c.class, Deadline: 300 * ms})
			b.AttemptFinished(c.at, 1, 0, c.outcome, false, LoadReport{})
			if !slices.Equal(r.actions, c.want) {
				t.Errorf("got %v, want %v", r.actions, c.want)
			}
			if len(r.servers) == 2 && r.servers[0] == r.servers[1] {
				t.Errorf("both attempts went to %s", r.servers[0])
			}
		})
	}
}

// A retry budget binds all requests but those of highest weight: where all queues are full,
// retries only displace others.
func TestRetryBudget(t *testing.T) {
	cfg := testConfig()
	cfg.Classes[2].Weight = 20
	b, r := newTest(t, cfg, servingEndpoints(4)...)
	for id := RequestID(1); id <= 200; id++ {
		b.disableHedging()
		now := time.Duration(id) * 10 * ms
		class := int(id%10/9) * 2 // a tenth has a high weight
		b.admission.shedLevel = 0
		b.Arrive(now, Request{ID: id, Class: class, Tenant: -1, Deadline: now + 300*ms})
		for n := 0; b.requests[id] != nil; n++ {
			b.AttemptFinished(now, id, n, Rejected, false, LoadReport{})
		}
	}
	sends := make(map[bool]int)
	for _, did := range r.actions {
		var id int
		if _, err := fmt.Sscanf(did, "send %d", &id); err == nil {
			sends[id%10 == 9]++
		}
	}
	if dear := sends[true]; dear != 20*cfg.MaxAttempts {
		t.Errorf("%d sends of 20 requests of high weight, want all %d attempts each", dear, cfg.MaxAttempts)
	}
	if cheap := sends[false]; cheap < 180+40 || cheap > 180+80 {
		t.Errorf("%d sends of 180 requests of low weight, want about %v retries a request", cheap, retryTokensPerRequest)
	}
}

// A keyed request that may have been executed is sent again within its deduplication window
// only, also where that ends long before the deadline; an idempotent one until the deadline.
func TestKeyedRetryIsSentWithinDedupWindow(t *testing.T) {
	for class, want := range map[int]time.Duration{0: 930 * ms, 1: 130 * ms} {
		b, r := newTest(t, testConfig(), servingEndpoints(2)...)
		b.Arrive(0, Request{ID: 1, Class: class, Deadline: time.Second})
		b.AttemptFinished(70*ms, 1, 0, Reset, false, LoadReport{})
		if len(r.sendWithins) != 2 || r.sendWithins[0] != time.Second || r.sendWithins[1] != want {
			t.Errorf("class %d: the attempts may be sent within %v, want 1s and %v", class, r.sendWithins, want)
		}
	}
}
