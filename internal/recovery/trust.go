package recovery

import (
	"math"
	"time"

	"martendrum"
)

// Trust says how far something known before a restart is used after it.
type Trust string

const (
	// Full trust uses it as it is.
	Full Trust = "outright"
	// Hint uses it with a weight that falls with its age.
	Hint Trust = "as a hint that fades with age"
	// Requeried queries its source again.
	Requeried Trust = "asked for anew"
	// Discarded does not use it.
	Discarded Trust = "thrown away"
)

// Trusted lists what was known before a restart with its Trust and the reason. The design
// note has the same table.
var Trusted = []struct {
	Item string
	How  Trust
	Why  string
}{
	{"configuration", Full, "it is an operator's word, checked whole at the start"},
	{"known list of servers", Hint, "it may be old: discovery's list goes before it as soon as it comes"},
	{"record of keys", Full, "it is written before it is acted on, and checked at its opening"},
	{"response times, d and q", Hint, "they are the site's more than the moment's"},
	{"servers' weights and latencies", Hint, "of servers that have not started since; after a loss of everything, of none"},
	{"ejections, shed level, trips", Discarded, "they are of the moment before"},
	{"budgets for cold servers", Discarded, "two who count the same sends would spend twice"},
	{"usual demand", Hint, "clients that come back at once are taken for more than they are without it"},
	{"leases", Discarded, "everything fenced before is void, whatever the clocks say"},
	{"operations under way", Requeried, "they hold until an operator resumes them"},
	{"evidence of a change", Hint, "it is of before, and marked by its time"},
	{"releases by hash", Full, "each is verified before it is started"},
	{"own life's number", Hint, "the next one goes above it, and above what others tell"},
	{"a peer's word on itself", Hint, "with its age, and never a single one for a verdict"},
	{"a peer's word on others", Hint, "as hearsay: no decision counts it as a voice"},
}

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
