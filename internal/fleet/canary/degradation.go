package canary

import (
	"math"
)

// Degradation is a measure in which the unchanged instances have become worse than before
// the change started. The cause may be the change, through its effect on the servers, or
// something else; the two cannot be distinguished.
type Degradation struct {
	Measure Measure `json:"measure"`
	Class   string  `json:"class,omitempty"` // "": all classes
	Usual   float64 `json:"past"`            // mean rate before Config.Start
	Now     float64 `json:"now"`             // mean rate of the recent slots
	Limit   float64 `json:"limit"`           // the highest acceptable value of Now
}

// degradationSigma is by how many standard deviations, estimated from the history, a rate may
// rise before it counts as a degradation.
const degradationSigma = 4

// minDegradationSlots is the minimum number of history slots for estimating the usual rate.
const minDegradationSlots = 6

// degradations compares the recent slots of the unchanged instances with their history, for
// the measures Unserved and Rejections. The result is a reason to wait, not to stop, because
// this comparison does not bound the probability of a false alarm over repeated evaluations.
func (j *Judge) degradations() (out []Degradation) {
	for k, c := range j.cells {
		l := &j.baselineLevels[k]
		if c.measure != Unserved && c.measure != Rejections || l.slots[history] < minDegradationSlots || len(l.recent) < recentSlots/2 {
			continue
		}
		usual := l.rateSum[history] / l.slots[history]
		variance := max(0, l.rateSquares[history]/l.slots[history]-usual*usual)
		now := 0.0
		for _, r := range l.recent {
			now += r
		}
		now /= float64(len(l.recent))
		limit := usual + max(j.cfg.Margins[c.measure].Exclude, degradationSigma*math.Sqrt(variance*(1/float64(len(l.recent))+1/l.slots[history])))
		if now > limit {
			d := Degradation{Measure: c.measure, Usual: usual, Now: now, Limit: limit}
			if c.class != allClasses {
				d.Class = j.cfg.Classes[c.class]
			}
			out = append(out, d)
		}
	}
	return out
}
