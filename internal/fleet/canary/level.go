package canary

// level is the rate of the unchanged instances in one cell, by slot. Its arrays are
// indexed by phase.
type level struct {
	slots, rateSum, rateSquares [phases]float64
	events, exposure            float64   // of all slots
	recent                      []float64 // the rates of the last slots of the present
}

// recentSlots is the number of slots that make up the recent state of the unchanged
// instances.
const recentSlots = 6

// add adds a slot.
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
