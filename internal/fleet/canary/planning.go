package canary

import (
	"math"
)

// SmallestDetectable is the least harm in a measure that would be noticed, with the odds of a
// coin, once the changed and the unchanged ones have been exposed so much each, at
// the usual rate, where tests are made at once in all. It is for planning: drift
// between instances and bursts come on top.
func SmallestDetectable(m Measure, usual, changed, unchanged, falseStops float64, tests int, margin Margin) float64 {
	if changed <= 0 || unchanged <= 0 {
		return math.Inf(1)
	}
	c := cell{measure: m, poisson: m == Attempts || m == Crashes}
	h := margin.Tolerate
	for range 50 { // the variance grows with the harm: a fixed point
		p := usual + h
		next := max(margin.Tolerate, radius(c.variance(p, 1)/changed+c.variance(usual+margin.Tolerate, 1)/unchanged, margin.Tolerate, falseStops/float64(max(1, tests))))
		if math.Abs(next-h) < 1e-6 {
			break
		}
		h = next
	}
	if h > 1 && !c.poisson {
		return math.Inf(1)
	}
	return h
}
