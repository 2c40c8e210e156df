package martendrum

import (
	"slices"
	"testing"
	"time"
)

// Where servers report their load only when probed, a request waits for its probes and then
// goes to the less loaded server. If that one cannot answer within the latency objective, the
// request is rejected at once: quiet balancers would otherwise feed jams that they cannot see.
func TestProbesBeforeFirstSend(t *testing.T) {
	cfg := testConfig()
	cfg.Probes = true
	b, r := newTest(t, cfg, Endpoint{Name: "a"}, Endpoint{Name: "b"})
	b.disableHedging()
	arrive := func(id RequestID, deadline time.Duration, a, bb float64) {
		r.actions, r.delays = nil, nil
		b.Arrive(0, Request{ID: id, Deadline: deadline})
		if len(r.actions) != probesPerRequest {
			t.Fatalf("actions %v on arrival, want %d probes", r.actions, probesPerRequest)
		}
		b.ProbeAnswered(0, "a", LoadReport{HasInFlight: true, InFlight: a})
		b.ProbeAnswered(0, "b", LoadReport{HasInFlight: true, InFlight: bb})
		b.ProbeAnswered(0, "gone", LoadReport{})
		r.actions = nil
		b.TimerFired(0, r.timers[len(r.timers)-1])
	}
	for id := RequestID(1); id <= 10; id++ {
		arrive(id, 300*ms, 5, 0)
		if got := r.servers[id-1]; got != "b" {
			t.Errorf("request %d went to the loaded %s", id, got)
		}
		b.AttemptFinished(20*ms, id, 0, OK, true, LoadReport{})
	}
	arrive(11, 300*ms, 90, 90)
	if !slices.Equal(r.actions, []string{"refuse 11"}) {
		t.Errorf("got %v where the latency objective is out of reach, want a rejection", r.actions)
	}
	arrive(12, 2*ms, 0, 0)
	if r.delays[0] > ms {
		t.Errorf("waits %v for probes with 2 ms left", r.delays[0])
	}
}

// Probes that cost more than they can earn are not sent.
func TestExpensiveProbesAreNotSent(t *testing.T) {
	cfg := testConfig()
	cfg.Probes, cfg.ProbeCost = true, 2*maxProbeCost/probesPerRequest
	b, r := newTest(t, cfg, Endpoint{Name: "a"})
	b.Arrive(0, Request{ID: 1, Deadline: 300 * ms})
	if !slices.Contains(r.actions, "send 1") {
		t.Errorf("got %v, want a send at once", r.actions)
	}
}
