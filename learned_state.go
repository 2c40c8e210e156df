package martendrum

import (
	"slices"
	"time"
)

// LearnedState is what a Balancer has learned, for another one that takes its place. Times
// are ages, so that clocks need not agree. Rates are left out: each process counts
// cold servers' budgets from its own, and two that count the same sends would spend twice.
type LearnedState struct {
	HedgeDelay       float64          `json:"Delay"` // SingleR's d and q; the running share of lost sends
	HedgeProbability float64          `json:"Odds"`
	LostFraction     float64          `json:"Lost"`
	Primary          []LearnedLatency `json:"Primary"`
	Hedges           []LearnedLatency `json:"Copies"`
	Pairs            [][2]float64     `json:"Pairs"`
	ShedLevel        float64          `json:"Level"`    // of shedding
	ShedLevelAge     time.Duration    `json:"LevelAge"` // since it changed
	AcceptedFraction float64          `json:"Taken"`
	MeanLatency      float64          `json:"MeanTime"`
	Servers          []LearnedServer  `json:"Servers"`
}

// LearnedLatency is a logged response time in fractions of the aim.
type LearnedLatency struct {
	Latency  float64 `json:"At"`
	Censored bool    `json:"Censored"`
}

// LearnedServer is what was learned of one server since it started last.
type LearnedServer struct {
	Name              string        `json:"Name"`
	Started           time.Duration `json:"Started"`
	WeightCorrection  float64       `json:"Weight"` // corrects the hint
	LatencySum        float64       `json:"Sum"`    // of relative latencies
	LatencyWeight     float64       `json:"N"`
	LatencyAge        time.Duration `json:"Age"`
	Failures          int           `json:"Failures"`
	Ejections         int           `json:"Ejections"`
	EjectionRemaining time.Duration `json:"EjectedAbout"` // how much longer it is left out
}

// LearnedState is what b has learned so far.
func (b *Balancer) LearnedState(now time.Duration) LearnedState {
	h := &b.hedger
	state := LearnedState{
		HedgeDelay: h.delay, HedgeProbability: h.probability, LostFraction: h.lostFraction,
		ShedLevel: b.admission.shedLevel, ShedLevelAge: now - b.admission.shedLevelAt,
		AcceptedFraction: b.endpoints.acceptedFraction, MeanLatency: b.endpoints.meanLatency,
	}
	for _, s := range h.primary.buf {
		state.Primary = append(state.Primary, LearnedLatency{s.latency, s.censored})
	}
	for _, s := range h.hedges.buf {
		state.Hedges = append(state.Hedges, LearnedLatency{s.latency, s.censored})
	}
	for _, p := range h.pairs.buf {
		state.Pairs = append(state.Pairs, [2]float64{p.primary, p.hedge})
	}
	for _, s := range b.endpoints.members {
		state.Servers = append(state.Servers, LearnedServer{
			Name: s.name, Started: s.started, WeightCorrection: s.weightCorrection, LatencySum: s.latencySum, LatencyWeight: s.latencyWeight, LatencyAge: now - s.latencyAt,
			Failures: s.failures, Ejections: s.ejections, EjectionRemaining: max(0, s.ejectedUntil-now),
		})
	}
	return state
}

// Restore takes over what another Balancer had learned by age ago. It is called before
// the first request. What belongs to a server that is not listed, or has started anew,
// is left out.
func (b *Balancer) Restore(now time.Duration, state LearnedState, age time.Duration) {
	h := &b.hedger
	h.delay, h.probability, h.lostFraction = state.HedgeDelay, state.HedgeProbability, state.LostFraction
	h.recordLoss(false, false) // sets the budget
	for _, s := range state.Primary {
		h.primary.add(sample{s.Latency, s.Censored}, primaryWindow)
	}
	for _, s := range state.Hedges {
		h.hedges.add(sample{s.Latency, s.Censored}, hedgeWindow)
	}
	for _, p := range state.Pairs {
		h.pairs.add(pair{p[0], p[1]}, pairWindow)
	}
	b.admission.shedLevel, b.admission.shedLevelAt = state.ShedLevel, now-state.ShedLevelAge-age
	set := &b.endpoints
	set.acceptedFraction, set.meanLatency = state.AcceptedFraction, state.MeanLatency
	for _, learned := range state.Servers {
		s := set.byName[learned.Name]
		if s == nil || !s.serving || s.started != learned.Started {
			continue
		}
		s.weightCorrection, s.latencySum, s.latencyWeight, s.latencyAt = learned.WeightCorrection, learned.LatencySum, learned.LatencyWeight, now-learned.LatencyAge-age
		s.failures, s.ejections = learned.Failures, learned.Ejections
		if remaining := learned.EjectionRemaining - age; remaining > 0 && !slices.Contains(set.ejected, s) {
			s.ejectedUntil = now + remaining
			set.ejected = append(set.ejected, s)
		}
	}
	set.dirty = true
}
