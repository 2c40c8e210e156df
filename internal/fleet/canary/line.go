package canary

import (
	"math"
)

// line fits a straight line through a gauge over the process's age.
type line struct {
	lastAge                                                       float64 // age
	points, ageSum, valueSum, ageSquares, ageValues, valueSquares float64
}

func (l *line) add(t, v float64) {
	if t < l.lastAge {
		*l = line{} // another process, with a line of its own
	}
	l.lastAge = t
	l.points++
	l.ageSum += t
	l.valueSum += v
	l.ageSquares += t * t
	l.ageValues += t * v
	l.valueSquares += v * v
}

// minLinePoints is how many points a line needs to be spoken of.
const minLinePoints = 5

// slope returns the growth a minute and its variance; floor is the least standard
// deviation that a point is held to have.
func (l *line) slope(floor float64) (a, s2 float64, ok bool) {
	if l.points < minLinePoints {
		return 0, 0, false
	}
	stt := l.ageSquares - l.ageSum*l.ageSum/l.points
	if stt <= 0 {
		return 0, 0, false
	}
	stv, svv := l.ageValues-l.ageSum*l.valueSum/l.points, l.valueSquares-l.valueSum*l.valueSum/l.points
	a = stv / stt
	rest := max(0, svv-a*stv) / (l.points - 2)
	return a, max(rest, floor*floor) / stt, !math.IsNaN(a)
}
