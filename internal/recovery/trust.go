package recovery

import (
	"math"
	"time"

	"martendrum"
)

// Trust is what becomes, after a restart, of something known before it.
type Trust string

// The kinds of trust.
const (
	Full      Trust = "outright"
	Hint      Trust = "as a hint that fades with age"
	Requeried Trust = "asked for anew"
	Discarded Trust = "thrown away"
)

// Trusted is what is trusted of all that was known before, item by item; the design note
// has the same table.
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
	// latencyMemory is how fast response times from before lose their worth, demandMemory
	// the usual demand.
	latencyMemory = time.Hour
	demandMemory  = 6 * time.Hour
)

// Retained is what of a checkpoint is still a hint: what was learned, less what is of the
// moment, and the usual demand with its weight from 0 to 1.
func Retained(l martendrum.LearnedState, age time.Duration, v Verdict) (_ martendrum.LearnedState, weight float64) {
	k := martendrum.LearnedState{HedgeDelay: l.HedgeDelay, HedgeProbability: l.HedgeProbability, AcceptedFraction: 1}
	fresh := func(n int) int { return int(float64(n) * math.Exp(-float64(age)/float64(latencyMemory))) }
	k.Primary = l.Primary[len(l.Primary)-fresh(len(l.Primary)):]
	k.Hedges = l.Hedges[len(l.Hedges)-fresh(len(l.Hedges)):]
	k.Pairs = l.Pairs[len(l.Pairs)-fresh(len(l.Pairs)):]
	if v == Alone {
		k.MeanLatency = l.MeanLatency
		for _, s := range l.Servers {
			s.Failures, s.Ejections, s.EjectionRemaining = 0, 0, 0
			k.Servers = append(k.Servers, s)
		}
	}
	return k, math.Exp(-float64(age) / float64(demandMemory))
}
