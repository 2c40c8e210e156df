package canary

import "math"

// line fits a straight line through the values of a gauge over the process's age, by
// least squares.
type line struct {
	lastAge      float64 // minutes
	points       float64
	ageSum       float64
	valueSum     float64
	ageSquares   float64
	ageValues    float64
	valueSquares float64
}

// add adds a value at an age in minutes. A lower age than before is that of another
// process, which starts a new line.
func (l *line) add(age, value float64) {
	if age < l.lastAge {
		*l = line{}
	}
	l.lastAge = age
	l.points++
	l.ageSum += age
	l.valueSum += value
	l.ageSquares += age * age
	l.ageValues += age * value
	l.valueSquares += value * value
}

// minLinePoints is the number of points below which a line has no slope.
const minLinePoints = 5

// growth is the slope of a line, per minute, and its variance.
type growth struct{ perMinute, variance float64 }

// slope returns the growth of the gauge, if there are enough points. floor is the
// smallest standard deviation assumed for a point.
func (l *line) slope(floor float64) (growth, bool) {
	if l.points < minLinePoints {
		return growth{}, false
	}
	stt := l.ageSquares - l.ageSum*l.ageSum/l.points
	if stt <= 0 {
		return growth{}, false
	}
	stv, svv := l.ageValues-l.ageSum*l.valueSum/l.points, l.valueSquares-l.valueSum*l.valueSum/l.points
	slope := stv / stt
	residual := max(0, svv-slope*stv) / (l.points - 2)
	return growth{slope, max(residual, floor*floor) / stt}, !math.IsNaN(slope)
}
