package canary

import (
	"math"
)

// Degradation is a measure in which the unchanged instances have become worse than in
// their own past. Either the change causes it, by way of the servers, or something else
// does; the two cannot be distinguished.
type Degradation struct {
	Measure Measure `json:"measure"`
	Class   string  `json:"class,omitempty"`
	Usual   float64 `json:"past"`
	Now     float64 `json:"now"`
	Limit   float64 `json:"limit"` // the highest acceptable value of Now
}

// degradationSigma is by how many standard deviations of its past a rate may rise.
const degradationSigma = 4

// minDegradationSlots is the number of past slots from which the usual rate is known.
const minDegradationSlots = 6

// degradations compares the unchanged instances' recent slots with their own past. The
// result is a reason to wait, not to stop: it is no bound that holds under repeated
// looks.
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
