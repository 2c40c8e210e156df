package martendrum

import (
	"math"
	"slices"
	"testing"
	"time"
)

// A recompute needs recomputeSamples new samples and moves the delay one step towards the optimum.
func TestHedgerRecompute(t *testing.T) {
	h := newHedger(0)
	if h.delay != 0 || h.probability != maxHedgeBudget {
		t.Fatalf("a new hedger has d = %v and q = %v, want d = 0 and q = maxHedgeBudget = %v", h.delay, h.probability, maxHedgeBudget)
	}
	for range recomputeSamples - 3 {
		h.addPrimary(sample{latency: 1})
	}
	h.addPrimary(sample{latency: 50})
	h.addPrimary(sample{latency: 60})
	h.recompute(time.Second, 0)
	if h.delay != 0 {
		t.Errorf("d = %v with fewer than recomputeSamples new samples, want 0", h.delay)
	}
	h.addPrimary(sample{latency: 70})
	h.recompute(time.Second, 0)
	optimum := computeOptimalSingleR(&h.primarySurvival, &h.primarySurvival, nil, tailPercentile, h.budget)
	step := learningRate * float64(recomputeSamples) / primaryWindow * 4
	if want := step * optimum; math.Abs(h.delay-want) > 1e-12 || want == 0 {
		t.Errorf("d = %v, want a step of the fraction %v from 0 towards %v", h.delay, step, optimum)
	}
	if want := h.budget / h.primarySurvival.tailProbability(h.delay); math.Abs(h.probability-want) > 1e-12 {
		t.Errorf("q = %v, want B / Pr(X > d) = %v", h.probability, want)
	}
	if withWasteCost := newHedger(0.4); withWasteCost.budget >= h.budget {
		t.Errorf("budget = %v with a cost of wasted work of 0.4, want less than %v, the budget without a cost", withWasteCost.budget, h.budget)
	}
}

// Each hedge takes a token, and only first attempts add tokens: a burst of retries of one request must
// not allow more hedges.
func TestHedgeTokens(t *testing.T) {
	b, host := newTestBalancer(t, testConfig(), Endpoint{Name: "a"}, Endpoint{Name: "b"}, Endpoint{Name: "c"})
	b.hedger.probability, b.hedger.delay, b.hedger.tokens = 1, 0, 0
	for id := RequestID(1); id <= 30; id++ {
		b.Arrive(0, Request{ID: id, Deadline: 300 * ms})
		b.TimerFired(0, host.timers[len(host.timers)-1])
	}
	if hedges := len(host.servers) - 30; hedges < 2 || hedges > 3 {
		t.Errorf("%d hedges for 30 first attempts at B = %v, want 2 or 3", hedges, maxHedgeBudget)
	}
}

// Lost attempts raise the hedge budget. When no more are lost, it falls again.
func TestBudgetFollowsLosses(t *testing.T) {
	b, _ := newTestBalancer(t, testConfig(), servingEndpoints(4)...)
	h := &b.hedger
	initialBudget := h.budget
	h.baseBudget, h.budget = 0.01, 0.01
	finishRequests := func(outcome Outcome) {
		for id := RequestID(1); id <= 400; id++ {
			b.Arrive(0, Request{ID: id, Class: 2, Deadline: 300 * ms})
			if request := b.requests[id]; request != nil && request.pending > 0 {
				b.AttemptFinished(ms, id, 0, outcome, true, LoadReport{})
			}
			b.admission.shedLevel = 0
		}
	}
	finishRequests(OK)
	if h.budget > 0.011 {
		t.Errorf("budget = %v without lost attempts, want at most 0.011", h.budget)
	}
	finishRequests(TimedOut)
	if h.budget != maxHedgeBudget {
		t.Errorf("budget = %v with all attempts lost, want maxHedgeBudget = %v", h.budget, maxHedgeBudget)
	}
	finishRequests(OK)
	if h.budget > 0.03 || initialBudget != maxHedgeBudget {
		t.Errorf("budget = %v after 400 more attempts without a loss, want at most 0.03; initial budget = %v, want %v", h.budget, initialBudget, maxHedgeBudget)
	}
}

// A hedge is sent after the delay. When it is answered first, the first attempt is cancelled and its
// latency recorded as censored.
func TestHedgeAndCancel(t *testing.T) {
	b, host := newTestBalancer(t, testConfig(), Endpoint{Name: "a"}, Endpoint{Name: "b"})
	b.hedger.probability, b.hedger.delay, b.hedger.tokens = 1, 0.5, 3
	b.Arrive(0, Request{ID: 1, Deadline: 300 * ms})
	if len(host.delays) != 1 || host.delays[0] != 50*ms {
		t.Fatalf("timer delays = %v, want one of 50ms, half of the latency objective", host.delays)
	}
	b.TimerFired(50*ms, host.timers[0])
	b.requests[1].samplePair = false
	b.AttemptFinished(60*ms, 1, 1, OK, true, LoadReport{})
	b.AttemptFinished(60*ms, 1, 0, Cancelled, true, LoadReport{})
	if want := []string{"send 1", "send 1", "cancel 1/0"}; !slices.Equal(host.actions, want) {
		t.Errorf("actions = %v, want %v", host.actions, want)
	}
	if remaining := len(b.requests) + len(b.timers); remaining != 0 {
		t.Errorf("%d requests and timers remain after the request has ended, want 0", remaining)
	}
	if samples := b.hedger.primary.buf; len(samples) != 1 || !samples[0].censored {
		t.Errorf("samples of first attempts = %v, want one censored sample", samples)
	}
}

// While the balancer sheds load, a planned hedge is not sent, because in an overload hedges only delay
// other requests.
func TestNoHedgesWhileShedding(t *testing.T) {
	for _, level := range []float64{0, 0.5} {
		b, host := newTestBalancer(t, testConfig(), servingEndpoints(4)...)
		b.hedger.probability = 1
		b.Arrive(0, Request{ID: 1, Tenant: -1, Deadline: time.Second})
		b.admission.shedLevel = level
		b.TimerFired(10*ms, host.timers[0])
		if hedged := len(host.servers) == 2; hedged != (level == 0) {
			t.Errorf("shed level %v: hedged = %v, want a hedge only at shed level 0", level, hedged)
		}
	}
}

// The timer at the latency objective never causes a hedge, even if the host fires it a little early
// because its clock truncates.
func TestObjectiveTimerSendsNoHedge(t *testing.T) {
	b, host := newTestBalancer(t, testConfig(), servingEndpoints(4)...)
	b.hedger.probability = 0
	b.Arrive(0, Request{ID: 1, Tenant: -1, Deadline: time.Second})
	b.TimerFired(100*ms-1, host.timers[0])
	if len(host.servers) != 1 {
		t.Errorf("%d sends with a hedge probability of 0, want 1", len(host.servers))
	}
}
