package canary

// level holds sums over the rates that the unchanged instances had in one cell, one rate for
// each slot. Its arrays are indexed by phase.
type level struct {
	slots, rateSum, rateSquares [phases]float64
	events, exposure            float64   // over all slots
	recent                      []float64 // rates of the last slots of the present phase, at most recentSlots
}

// recentSlots is the number of latest slots from which the recent rate of the unchanged
// instances is computed.
const recentSlots = 6

// add adds the events and the exposure of all unchanged instances in a slot. exposure is above 0.
func (l *level) add(phase int, events, exposure float64) {
	rate := events / exposure
	l.slots[phase]++
	l.rateSum[phase] += rate
	l.rateSquares[phase] += rate * rate
	l.events += events
	l.exposure += exposure
	if phase == present {
		l.recent = append(l.recent, rate)
		if len(l.recent) > recentSlots {
			l.recent = l.recent[1:]
		}
	}
}
