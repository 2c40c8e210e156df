package martendrum

import (
	"slices"
	"testing"
	"time"
)

// Where servers report their load only when probed, a request waits for the answers to its probes and
// is then sent to the less loaded server. If that server cannot answer within the latency objective,
// the request is rejected at once. Otherwise balancers with few requests would add to the queues of
// overloaded servers, which they cannot observe by their own requests.
func TestProbesBeforeFirstSend(t *testing.T) {
	cfg := testConfig()
	cfg.Probes = true
	b, host := newTestBalancer(t, cfg, Endpoint{Name: "a"}, Endpoint{Name: "b"})
	b.disableHedging()
	arrive := func(id RequestID, deadline time.Duration, loadOfA, loadOfB float64) {
		host.actions, host.delays = nil, nil
		b.Arrive(0, Request{ID: id, Deadline: deadline})
		if len(host.actions) != probesPerRequest {
			t.Fatalf("actions on arrival = %v, want %d probes", host.actions, probesPerRequest)
		}
		b.ProbeAnswered(0, "a", LoadReport{HasInFlight: true, InFlight: loadOfA})
		b.ProbeAnswered(0, "b", LoadReport{HasInFlight: true, InFlight: loadOfB})
		b.ProbeAnswered(0, "gone", LoadReport{})
		host.actions = nil
		b.TimerFired(0, host.timers[len(host.timers)-1])
	}
	for id := RequestID(1); id <= 10; id++ {
		arrive(id, 300*ms, 5, 0)
		if got := host.servers[id-1]; got != "b" {
			t.Errorf("request %d was sent to %s, which has 5 requests in flight, want b, which has none", id, got)
		}
		b.AttemptFinished(20*ms, id, 0, OK, true, LoadReport{})
	}
	arrive(11, 300*ms, 90, 90)
	if !slices.Equal(host.actions, []string{"reject 11"}) {
		t.Errorf("actions with 90 requests in flight at each server = %v, want a rejection", host.actions)
	}
	arrive(12, 2*ms, 0, 0)
	if host.delays[0] > ms {
		t.Errorf("wait for probes = %v with 2 ms until the deadline, want at most 1 ms", host.delays[0])
	}
}

// No probes are sent if they would cost more than maxProbeCost.
func TestExpensiveProbesAreNotSent(t *testing.T) {
	cfg := testConfig()
	cfg.Probes, cfg.ProbeCost = true, 2*maxProbeCost/probesPerRequest
	b, host := newTestBalancer(t, cfg, Endpoint{Name: "a"})
	b.Arrive(0, Request{ID: 1, Deadline: 300 * ms})
	if !slices.Contains(host.actions, "send 1") {
		t.Errorf("actions = %v, want a send at once", host.actions)
	}
}
