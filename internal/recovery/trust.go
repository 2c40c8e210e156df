package recovery

import (
	"math"
	"time"

	"martendrum"
)

const (
	latencyMemory = time.Hour     // how fast latencies from before the restart lose their weight
	demandMemory  = 6 * time.Hour // how fast the usual demand loses its weight
)

// Retained returns what of a checkpoint of the given age is still used after the verdict: the
// learned state that outlasts the moment, and the weight of the usual demand, from 0 to 1. What
// was learned of single servers is retained only where the others stayed up.
func Retained(learned martendrum.LearnedState, age time.Duration, verdict Verdict) (_ martendrum.LearnedState, demandWeight float64) {
	retained := martendrum.LearnedState{
		HedgeDelay:       learned.HedgeDelay,
		HedgeProbability: learned.HedgeProbability,
		AcceptedFraction: 1,
		Primary:          latest(learned.Primary, age),
		Hedges:           latest(learned.Hedges, age),
		Pairs:            latest(learned.Pairs, age),
	}
	if verdict == Alone {
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

// latest returns the last part of the samples, a fraction that falls with their age.
func latest[T any](samples []T, age time.Duration) []T {
	count := int(float64(len(samples)) * math.Exp(-float64(age)/float64(latencyMemory)))
	return samples[len(samples)-count:]
}
