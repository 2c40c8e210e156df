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
	r := &b.hedger
	l := LearnedState{
		HedgeDelay: r.delay, HedgeProbability: r.probability, LostFraction: r.lostFraction,
		ShedLevel: b.admission.shedLevel, ShedLevelAge: now - b.admission.shedLevelAt,
		AcceptedFraction: b.endpoints.acceptedFraction, MeanLatency: b.endpoints.meanLatency,
	}
	for _, s := range r.primary.buf {
		l.Primary = append(l.Primary, LearnedLatency{s.latency, s.censored})
	}
	for _, s := range r.hedges.buf {
		l.Hedges = append(l.Hedges, LearnedLatency{s.latency, s.censored})
	}
	for _, p := range r.pairs.buf {
		l.Pairs = append(l.Pairs, [2]float64{p.primary, p.hedge})
	}
	for _, s := range b.endpoints.members {
		l.Servers = append(l.Servers, LearnedServer{
			Name: s.name, Started: s.started, WeightCorrection: s.weightCorrection, LatencySum: s.latencySum, LatencyWeight: s.latencyWeight, LatencyAge: now - s.latencyAt,
			Failures: s.failures, Ejections: s.ejections, EjectionRemaining: max(0, s.ejectedUntil-now),
		})
	}
	return l
}

// Restore takes over what another Balancer had learned by age ago. It is called before
// the first request. What belongs to a server that is not listed, or has started anew,
// is left out.
func (b *Balancer) Restore(now time.Duration, l LearnedState, age time.Duration) {
	r := &b.hedger
	r.delay, r.probability, r.lostFraction = l.HedgeDelay, l.HedgeProbability, l.LostFraction
	r.recordLoss(false, false) // sets the budget
	for _, s := range l.Primary {
		r.primary.add(sample{s.Latency, s.Censored}, primaryWindow)
	}
	for _, s := range l.Hedges {
		r.hedges.add(sample{s.Latency, s.Censored}, hedgeWindow)
	}
	for _, p := range l.Pairs {
		r.pairs.add(pair{p[0], p[1]}, pairWindow)
	}
	b.admission.shedLevel, b.admission.shedLevelAt = l.ShedLevel, now-l.ShedLevelAge-age
	f := &b.endpoints
	f.acceptedFraction, f.meanLatency = l.AcceptedFraction, l.MeanLatency
	for _, k := range l.Servers {
		s := f.byName[k.Name]
		if s == nil || !s.serving || s.started != k.Started {
			continue
		}
		s.weightCorrection, s.latencySum, s.latencyWeight, s.latencyAt = k.WeightCorrection, k.LatencySum, k.LatencyWeight, now-k.LatencyAge-age
		s.failures, s.ejections = k.Failures, k.Ejections
		if left := k.EjectionRemaining - age; left > 0 && !slices.Contains(f.ejected, s) {
			s.ejectedUntil = now + left
			f.ejected = append(f.ejected, s)
		}
	}
	f.dirty = true
}
