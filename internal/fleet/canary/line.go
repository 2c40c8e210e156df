package canary

import "math"

// line is a straight line, fitted by least squares to the values of a gauge over the age of
// the process. Its fields are the sums that the fit needs; ages are in minutes.
type line struct {
	lastAge      float64 // age at which the last value was added
	points       float64 // number of values
	ageSum       float64
	valueSum     float64
	ageSquares   float64
	ageValues    float64 // sum of age times value
	valueSquares float64
}

// add adds a value at an age in minutes. A lower age than the last one means that the value
// is of a new process; the line then starts anew with it.
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

// minLinePoints is the minimum number of values for computing a slope.
const minLinePoints = 5

// growth is the slope of a line, per minute, and the variance of this slope.
type growth struct{ perMinute, variance float64 }

// slope returns the growth of the gauge; false if there are too few values, or all are of the
// same age. floor is the smallest standard deviation assumed for a value.
func (l *line) slope(floor float64) (growth, bool) {
	if l.points < minLinePoints {
		return growth{}, false
	}
	agesCentered := l.ageSquares - l.ageSum*l.ageSum/l.points
	if agesCentered <= 0 {
		return growth{}, false
	}
	productsCentered, valuesCentered := l.ageValues-l.ageSum*l.valueSum/l.points, l.valueSquares-l.valueSum*l.valueSum/l.points
	slope := productsCentered / agesCentered
	residual := max(0, valuesCentered-slope*productsCentered) / (l.points - 2)
	return growth{slope, max(residual, floor*floor) / agesCentered}, !math.IsNaN(slope)
}
