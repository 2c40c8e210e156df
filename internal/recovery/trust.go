package recovery

import (
	"math"
	"time"

	"martendrum"
)

const (
	latencyMemory = time.Hour     // time constant of the decay of latency samples from before the restart
	demandMemory  = 6 * time.Hour // time constant of the decay of the usual demand's weight
)

// Retained returns the parts of a checkpoint of the given age that are still valid after the verdict:
// the learned state without its short-lived values, and the weight of the usual demand, from 0 to 1.
// What was learned about single servers is retained only if the other sidecars stayed up.
func Retained(learned martendrum.LearnedState, age time.Duration, verdict Verdict) (_ martendrum.LearnedState, demandWeight float64) {
	retained := martendrum.LearnedState{
		HedgeDelay:       learned.HedgeDelay,
		HedgeProbability: learned.HedgeProbability,
		AcceptedFraction: 1,
		Primary:          latest(learned.Primary, age),
		Hedges:           latest(learned.Hedges, age),
		Pairs:            latest(learned.Pairs, age),
	}
	if verdict == OthersStayedUp {
		retained.MeanLatency = learned.MeanLatency
		for _, server := range learned.Servers {
			server.Failures = 0
			server.Ejections = 0
			server.EjectionRemaining = 0
			retained.Servers = append(retained.Servers, server)
		}
	}
	return retained, math.Exp(-float64(age) / float64(demandMemory))
}

// latest returns the last samples: a fraction of all that falls exponentially with their age.
func latest[T any](samples []T, age time.Duration) []T {
	count := int(float64(len(samples)) * math.Exp(-float64(age)/float64(latencyMemory)))
	return samples[len(samples)-count:]
}
