package martendrum

import (
	"math"
	"slices"
	"testing"
	"time"
)

func TestHedgerRecompute(t *testing.T) {
	r := newHedger(0)
	if r.delay != 0 || r.probability != maxHedgeBudget {
		t.Fatalf("starts at d=%v q=%v, want d=0 and q=B", r.delay, r.probability)
	}
	for range recomputeSamples - 3 {
		r.addPrimary(sample{latency: 1})
	}
	r.addPrimary(sample{latency: 50})
	r.addPrimary(sample{latency: 60})
	r.recompute(time.Second, 0)
	if r.delay != 0 {
		t.Error("recomputed on too few samples")
	}
	r.addPrimary(sample{latency: 70})
	r.recompute(time.Second, 0)
	local := computeOptimalSingleR(&r.primarySurvival, &r.primarySurvival, nil, tailPercentile, r.budget)
	step := learningRate * float64(recomputeSamples) / primaryWindow * 4
	if want := step * local; math.Abs(r.delay-want) > 1e-12 || want == 0 {
		t.Errorf("d = %v, want a step of %v towards %v", r.delay, step, local)
	}
	if want := r.budget / r.primarySurvival.tailProbability(r.delay); math.Abs(r.probability-want) > 1e-12 {
		t.Errorf("q = %v, want B / Pr(X > d) = %v", r.probability, want)
	}
	if dear := newHedger(0.4); dear.budget >= r.budget {
		t.Errorf("budget %v where wasted work is expensive, want under %v", dear.budget, r.budget)
	}
}

// Hedges cost tokens that first attempts earn: a burst of retries of one request must not
// buy more.
func TestHedgeTokens(t *testing.T) {
	b, r := newTest(t, testConfig(), Endpoint{Name: "a"}, Endpoint{Name: "b"}, Endpoint{Name: "c"})
	b.hedger.probability, b.hedger.delay, b.hedger.tokens = 1, 0, 0
	for id := RequestID(1); id <= 30; id++ {
		b.Arrive(0, Request{ID: id, Deadline: 300 * ms})
		b.TimerFired(0, r.timers[len(r.timers)-1])
	}
	if copies := len(r.servers) - 30; copies < 2 || copies > 3 {
		t.Errorf("%d hedges for 30 first attempts at B = %v", copies, maxHedgeBudget)
	}
}

// Lost attempts raise the hedge budget, and it falls again after them.
func TestBudgetFollowsLosses(t *testing.T) {
	b, _ := newTest(t, testConfig(), servingEndpoints(4)...)
	r := &b.hedger
	calm := r.budget
	r.baseBudget, r.budget = 0.01, 0.01
	run := func(o Outcome) {
		for id := RequestID(1); id <= 400; id++ {
			b.Arrive(0, Request{ID: id, Class: 2, Deadline: 300 * ms})
			if q := b.requests[id]; q != nil && q.pending > 0 {
				b.AttemptFinished(ms, id, 0, o, true, LoadReport{})
			}
			b.admission.shedLevel = 0
		}
	}
	run(OK)
	if r.budget > 0.011 {
		t.Errorf("budget %v without a loss", r.budget)
	}
	run(TimedOut)
	if r.budget != maxHedgeBudget {
		t.Errorf("budget %v where all attempts are lost, want its limit", r.budget)
	}
	run(OK)
	if r.budget > 0.03 || calm != maxHedgeBudget {
		t.Errorf("budget %v after the losses", r.budget)
	}
}

func TestHedgeAndCancel(t *testing.T) {
	b, r := newTest(t, testConfig(), Endpoint{Name: "a"}, Endpoint{Name: "b"})
	b.hedger.probability, b.hedger.delay, b.hedger.tokens = 1, 0.5, 3
	b.Arrive(0, Request{ID: 1, Deadline: 300 * ms})
	if len(r.delays) != 1 || r.delays[0] != 50*ms {
		t.Fatalf("timers %v, want one after half the latency objective", r.delays)
	}
	b.TimerFired(50*ms, r.timers[0])
	b.requests[1].samplePair = false
	b.AttemptFinished(60*ms, 1, 1, OK, true, LoadReport{})
	b.AttemptFinished(60*ms, 1, 0, Cancelled, true, LoadReport{})
	if want := []string{"send 1", "send 1", "cancel 1/0"}; !slices.Equal(r.actions, want) {
		t.Errorf("got %v, want %v", r.actions, want)
	}
	if n := len(b.requests) + len(b.timers); n != 0 {
		t.Errorf("%d requests and timers remain after the end", n)
	}
	if p := b.hedger.primary.buf; len(p) != 1 || !p[0].censored {
		t.Errorf("primary log %v, want one censored sample", p)
	}
}

// In an overload hedges only delay other requests: while the balancer sheds load, a planned
// hedge is not sent.
func TestNoHedgesWhileShedding(t *testing.T) {
	for _, level := range []float64{0, 0.5} {
		b, r := newTest(t, testConfig(), servingEndpoints(4)...)
		b.hedger.probability = 1
		b.Arrive(0, Request{ID: 1, Tenant: -1, Deadline: time.Second})
		b.admission.shedLevel = level
		b.TimerFired(10*ms, r.timers[0])
		if copied := len(r.servers) == 2; copied != (level == 0) {
			t.Errorf("shed level %v: hedged %v", level, copied)
		}
	}
}

// The timer at the latency objective never sends a hedge, not even from a host whose clock
// truncates and fires a little early.
func TestObjectiveTimerSendsNoHedge(t *testing.T) {
	b, r := newTest(t, testConfig(), servingEndpoints(4)...)
	b.hedger.probability = 0
	b.Arrive(0, Request{ID: 1, Tenant: -1, Deadline: time.Second})
	b.TimerFired(100*ms-1, r.timers[0])
	if len(r.servers) != 1 {
		t.Errorf("%d sends without a hedge drawn, want 1", len(r.servers))
	}
}
