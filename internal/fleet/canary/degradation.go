package canary

import (
	"math"
)

// Degradation is a measure that the unchanged ones have become worse in against their
// own past. It is either the change's doing, by way of the servers, or a bad day.
type Degradation struct {
	Measure Measure `json:"measure"`
	Class   string  `json:"class,omitempty"`
	Usual   float64 `json:"past"`
	Now     float64 `json:"now"`
	Limit   float64 `json:"limit"` // what Now may be
}

// degradationSigma is how many standard deviations of its past a rate may rise by.
const degradationSigma = 4

// minDegradationSlots is how many slots of the past tell what is usual.
const minDegradationSlots = 6

// degradations compares the unchanged ones' last slots with their own past. Its
// answer is a reason to wait, not to stop: it is no bound that may be looked at
// again and again.
func (j *Judge) degradations() (out []Degradation) {
	for k, c := range j.cells {
		l := &j.baselineLevels[k]
		if c.measure != Unserved && c.measure != Rejections || l.slots[0] < minDegradationSlots || len(l.recent) < recentSlots/2 {
			continue
		}
		past := l.rateSum[0] / l.slots[0]
		variance := max(0, l.rateSquares[0]/l.slots[0]-past*past)
		now := 0.0
		for _, r := range l.recent {
			now += r
		}
		now /= float64(len(l.recent))
		limit := past + max(j.cfg.Margins[c.measure].Exclude, degradationSigma*math.Sqrt(variance*(1/float64(len(l.recent))+1/l.slots[0])))
		if now > limit {
			s := Degradation{Measure: c.measure, Usual: past, Now: now, Limit: limit}
			if c.class >= 0 {
				s.Class = j.cfg.Classes[c.class]
			}
			out = append(out, s)
		}
	}
	return out
}
