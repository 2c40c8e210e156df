package canary

// level is the unchanged ones' rate over the slots: its past [0] and the present [1].
type level struct {
	slots, rateSum, rateSquares [2]float64
	events, exposure            float64 // of all slots together
	recent                      []float64
}

// recentSlots is how far back the present state of the unchanged ones is looked at.
const recentSlots = 6

func (l *level) add(phase int, x, n float64) {
	r := x / n
	l.slots[phase]++
	l.rateSum[phase] += r
	l.rateSquares[phase] += r * r
	l.events += x
	l.exposure += n
	if phase == 1 {
		l.recent = append(l.recent, r)
		if len(l.recent) > recentSlots {
			l.recent = l.recent[1:]
		}
	}
}
