package martendrum

import (
	"slices"
	"time"
)

// LearnedState is what a Balancer has learned, for another one that takes its place. Times are
// ages, so that the two clocks need not agree. Send rates are left out: each process paces
// servers in slow start by its own, and two that count the same sends would spend twice.
type LearnedState struct {
	HedgeDelay       float64          `json:"Delay"` // d of SingleR, in fractions of the latency objective
	HedgeProbability float64          `json:"Odds"`  // q of SingleR
	LostFraction     float64          `json:"Lost"`  // running fraction of lost attempts other than hedges
	Primary          []LearnedLatency `json:"Primary"`
	Hedges           []LearnedLatency `json:"Copies"`
	Pairs            [][2]float64     `json:"Pairs"` // latencies of first attempt and hedge, as LearnedLatency.Latency
	ShedLevel        float64          `json:"Level"`
	ShedLevelAge     time.Duration    `json:"LevelAge"` // since ShedLevel changed
	AcceptedFraction float64          `json:"Taken"`    // running fraction of sends that were not rejected
	MeanLatency      float64          `json:"MeanTime"` // in fractions of the latency objective
	Servers          []LearnedServer  `json:"Servers"`
}

// LearnedLatency is a recorded latency in fractions of the latency objective.
type LearnedLatency struct {
	Latency  float64 `json:"At"`
	Censored bool    `json:"Censored"` // without an answer: the latency would have been higher
}

// LearnedServer is what was learned of one server since its last start.
type LearnedServer struct {
	Name              string        `json:"Name"`
	Started           time.Duration `json:"Started"` // identifies the start; see Endpoint.Started
	WeightCorrection  float64       `json:"Weight"`  // observed capacity over Endpoint.CapacityHint
	LatencySum        float64       `json:"Sum"`     // of latencies relative to the mean, fading
	LatencyWeight     float64       `json:"N"`       // the samples in LatencySum, fading
	LatencyAge        time.Duration `json:"Age"`     // since the last of them
	Failures          int           `json:"Failures"`
	Ejections         int           `json:"Ejections"`
	EjectionRemaining time.Duration `json:"EjectedAbout"` // how much longer it is ejected
}

// LearnedState returns what b has learned so far.
func (b *Balancer) LearnedState(now time.Duration) LearnedState {
	h := &b.hedger
	state := LearnedState{
		HedgeDelay:       h.delay,
		HedgeProbability: h.probability,
		LostFraction:     h.lostFraction,
		Primary:          learnedLatencies(h.primary.buf),
		Hedges:           learnedLatencies(h.hedges.buf),
		ShedLevel:        b.admission.shedLevel,
		ShedLevelAge:     now - b.admission.shedLevelAt,
		AcceptedFraction: b.endpoints.acceptedFraction,
		MeanLatency:      b.endpoints.meanLatency,
	}
	for _, p := range h.pairs.buf {
		state.Pairs = append(state.Pairs, [2]float64{p.primary, p.hedge})
	}
	for _, s := range b.endpoints.members {
		state.Servers = append(state.Servers, LearnedServer{
			Name:              s.name,
			Started:           s.started,
			WeightCorrection:  s.weightCorrection,
			LatencySum:        s.latencySum,
			LatencyWeight:     s.latencyWeight,
			LatencyAge:        now - s.latencyAt,
			Failures:          s.failures,
			Ejections:         s.ejections,
			EjectionRemaining: max(0, s.ejectedUntil-now),
		})
	}
	return state
}

// learnedLatencies returns the samples as LearnedLatency values, nil for none.
func learnedLatencies(samples []sample) []LearnedLatency {
	var learned []LearnedLatency
	for _, s := range samples {
		learned = append(learned, LearnedLatency{s.latency, s.censored})
	}
	return learned
}

// Restore takes over what another Balancer had learned age ago. It is called before the
// first request and after the server list. The state of a server that is not serving, or has
// restarted since, is left out.
func (b *Balancer) Restore(now time.Duration, state LearnedState, age time.Duration) {
	h := &b.hedger
	h.delay = state.HedgeDelay
	h.probability = state.HedgeProbability
	h.lostFraction = state.LostFraction
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
	b.admission.shedLevel = state.ShedLevel
	b.admission.shedLevelAt = now - state.ShedLevelAge - age
	b.endpoints.acceptedFraction = state.AcceptedFraction
	b.endpoints.meanLatency = state.MeanLatency
	for _, learned := range state.Servers {
		b.endpoints.restoreServer(learned, now, age)
	}
	b.endpoints.dirty = true
}

// restoreServer takes over what was learned of one server age ago.
func (set *endpointSet) restoreServer(learned LearnedServer, now, age time.Duration) {
	s := set.byName[learned.Name]
	if s == nil || !s.serving || s.started != learned.Started {
		return
	}
	s.weightCorrection = learned.WeightCorrection
	s.latencySum = learned.LatencySum
	s.latencyWeight = learned.LatencyWeight
	s.latencyAt = now - learned.LatencyAge - age
	s.failures = learned.Failures
	s.ejections = learned.Ejections
	remaining := learned.EjectionRemaining - age
	if remaining > 0 && !slices.Contains(set.ejected, s) {
		s.ejectedUntil = now + remaining
		set.ejected = append(set.ejected, s)
	}
}
