package martendrum

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// Whether a request is retried, rejected or failed after an attempt depends on its class, the outcome,
// the time and the servers.
func TestRetryAfterOutcome(t *testing.T) {
	sameZone := []Endpoint{{Name: "a", Zone: "z"}, {Name: "b", Zone: "z"}}
	differentZones := []Endpoint{{Name: "a", Zone: "y"}, {Name: "b", Zone: "z"}}
	for _, test := range []struct {
		name    string
		class   int
		servers []Endpoint
		outcome Outcome
		at      time.Duration
		want    []string
	}{
		{"idempotent after an error", 0, sameZone, ServerError, ms, []string{"send 1", "send 1"}},
		{"idempotent after a rejection", 0, sameZone, Rejected, ms, []string{"send 1", "send 1"}},
		{"non-idempotent after a rejection", 2, sameZone, Rejected, ms, []string{"send 1", "send 1"}},
		{"non-idempotent after a failed connection", 2, sameZone, ConnectFailed, ms, []string{"send 1", "send 1"}},
		{"non-idempotent after an error", 2, sameZone, ServerError, ms, []string{"send 1", "fail 1"}},
		{"non-idempotent after a reset", 2, sameZone, Reset, ms, []string{"send 1", "fail 1"}},
		{"non-idempotent after a timeout", 2, sameZone, TimedOut, ms, []string{"send 1", "fail 1"}},
		{"non-idempotent after a cancellation", 2, sameZone, Cancelled, ms, []string{"send 1", "fail 1"}},
		{"keyed within its scope", 1, sameZone, Reset, ms, []string{"send 1", "send 1"}},
		{"keyed outside its scope", 1, differentZones, Reset, ms, []string{"send 1", "fail 1"}},
		{"keyed and not executed, outside its scope", 1, differentZones, Rejected, ms, []string{"send 1", "send 1"}},
		{"no server left", 2, sameZone[:1], Rejected, ms, []string{"send 1", "reject 1"}},
		{"idempotent past the latency objective", 0, sameZone, Reset, 100 * ms, []string{"send 1", "reject 1"}},
		{"non-idempotent past the latency objective", 2, sameZone, Reset, 100 * ms, []string{"send 1", "fail 1"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			b, host := newTestBalancer(t, testConfig(), test.servers...)
			b.disableHedging()
			b.Arrive(0, Request{ID: 1, Class: test.class, Deadline: 300 * ms})
			b.AttemptFinished(test.at, 1, 0, test.outcome, false, LoadReport{})
			if !slices.Equal(host.actions, test.want) {
				t.Errorf("actions = %v, want %v", host.actions, test.want)
			}
			if len(host.servers) == 2 && host.servers[0] == host.servers[1] {
				t.Errorf("both attempts were sent to %s, want two different servers", host.servers[0])
			}
		})
	}
}

// The retry budget limits the retries of all requests except those of high weight: where the queues
// of all servers are full, retries only displace other requests.
func TestRetryBudget(t *testing.T) {
	cfg := testConfig()
	cfg.Classes[2].Weight = 20
	b, host := newTestBalancer(t, cfg, servingEndpoints(4)...)
	for id := RequestID(1); id <= 200; id++ {
		b.disableHedging()
		now := time.Duration(id) * 10 * ms
		class := int(id%10/9) * 2 // one request in ten has a high weight
		b.admission.shedLevel = 0
		b.Arrive(now, Request{ID: id, Class: class, Tenant: -1, Deadline: now + 300*ms})
		for index := 0; b.requests[id] != nil; index++ {
			b.AttemptFinished(now, id, index, Rejected, false, LoadReport{})
		}
	}
	sends := make(map[bool]int) // true: of requests of high weight
	for _, action := range host.actions {
		var id int
		if _, err := fmt.Sscanf(action, "send %d", &id); err == nil {
			sends[id%10 == 9]++
		}
	}
	if highWeight := sends[true]; highWeight != 20*cfg.MaxAttempts {
		t.Errorf("%d sends of 20 requests of high weight, want %d attempts of each", highWeight, cfg.MaxAttempts)
	}
	if lowWeight := sends[false]; lowWeight < 180+40 || lowWeight > 180+80 {
		t.Errorf("%d sends of 180 requests of low weight, want 220 to 260: about %v retries a request", lowWeight, retryTokensPerRequest)
	}
}

// A keyed request that may have been executed is sent again only within its deduplication window,
// even if the window ends long before the deadline. An idempotent request is sent again until the
// deadline.
func TestKeyedRetryIsSentWithinDedupWindow(t *testing.T) {
	for class, want := range map[int]time.Duration{0: 930 * ms, 1: 130 * ms} {
		b, host := newTestBalancer(t, testConfig(), servingEndpoints(2)...)
		b.Arrive(0, Request{ID: 1, Class: class, Deadline: time.Second})
		b.AttemptFinished(70*ms, 1, 0, Reset, false, LoadReport{})
		if len(host.sendWithins) != 2 || host.sendWithins[0] != time.Second || host.sendWithins[1] != want {
			t.Errorf("class %d: sendWithin of the attempts = %v, want 1s and %v", class, host.sendWithins, want)
		}
	}
}
