package martendrum

import (
	"slices"
	"time"
)

// LearnedState is what a Balancer has learned from its requests, for a successor that restores it.
// Points in time are stored as ages, so that the clocks of the two need not agree. Send rates are
// left out: each process limits its sends to servers in slow start by its own rate, and if two
// processes counted the same sends, they would use the same budget twice.
type LearnedState struct {
	HedgeDelay       float64          `json:"Delay"` // d of SingleR, as a fraction of the latency objective
	HedgeProbability float64          `json:"Odds"`  // q of SingleR
	LostFraction     float64          `json:"Lost"`  // running fraction of lost attempts among those that are not hedges
	Primary          []LearnedLatency `json:"Primary"`
	Hedges           []LearnedLatency `json:"Copies"`
	Pairs            [][2]float64     `json:"Pairs"` // latencies of a first attempt and its hedge, in the unit of LearnedLatency.Latency
	ShedLevel        float64          `json:"Level"`
	ShedLevelAge     time.Duration    `json:"LevelAge"` // time since ShedLevel last changed
	AcceptedFraction float64          `json:"Taken"`    // running fraction of sends that were not rejected
	MeanLatency      float64          `json:"MeanTime"` // running mean, as a fraction of the latency objective
	Servers          []LearnedServer  `json:"Servers"`
}

// LearnedLatency is a recorded latency as a fraction of the latency objective.
type LearnedLatency struct {
	Latency  float64 `json:"At"`
	Censored bool    `json:"Censored"` // there was no answer, so the latency is only a lower bound
}

// LearnedServer is what a Balancer has learned about one server since the server's last start.
type LearnedServer struct {
	Name              string        `json:"Name"`
	Started           time.Duration `json:"Started"`      // identifies the server's last start; see Endpoint.Started
	WeightCorrection  float64       `json:"Weight"`       // observed capacity divided by Endpoint.CapacityHint
	LatencySum        float64       `json:"Sum"`          // decaying sum of latencies relative to the mean of all servers
	LatencyWeight     float64       `json:"N"`            // decaying number of samples in LatencySum
	LatencyAge        time.Duration `json:"Age"`          // time since the last sample in LatencySum
	Failures          int           `json:"Failures"`     // consecutive failures
	Ejections         int           `json:"Ejections"`    // consecutive ejections
	EjectionRemaining time.Duration `json:"EjectedAbout"` // time until the end of the ejection, 0 if not ejected
}

// LearnedState returns what the Balancer has learned so far. It shares no memory with the Balancer.
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

// learnedLatencies converts samples to LearnedLatency values; the result is nil if there are none.
func learnedLatencies(samples []sample) []LearnedLatency {
	var learned []LearnedLatency
	for _, s := range samples {
		learned = append(learned, LearnedLatency{s.latency, s.censored})
	}
	return learned
}

// Restore initializes the Balancer with the state that another Balancer had learned; age is the
// time since then. Call it once, after the server list has been passed and before the first request.
// The state of a server that is not serving, or that has restarted since, is ignored.
func (b *Balancer) Restore(now time.Duration, state LearnedState, age time.Duration) {
	h := &b.hedger
	h.delay = state.HedgeDelay
	h.probability = state.HedgeProbability
	h.lostFraction = state.LostFraction
	h.recordLoss(false, false) // updates the hedge budget from lostFraction
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

// restoreServer restores the state of one server that was learned age ago.
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
