package canary

import (
	"math"
)

// SmallestDetectable returns the smallest excess of a measure that is detected with a
// probability of one half. changed and unchanged are the exposures of the two sides, usual is
// the rate without the change, falseStops is Config.FalseStops, and tests is the number of
// tests made together. The result is +Inf if no excess can be detected. It is a lower limit
// for planning: drift of instances and bursts make the smallest detectable excess larger.
func SmallestDetectable(m Measure, usual, changed, unchanged, falseStops float64, tests int, margin Margin) float64 {
	if changed <= 0 || unchanged <= 0 {
		return math.Inf(1)
	}
	c := cell{measure: m, poisson: m == Attempts || m == Crashes}
	alpha := falseStops / float64(max(1, tests))
	excess := margin.Tolerate
	for range maxPlanningSteps { // the variance depends on the excess: iterate to the fixed point
		variance := c.variance(usual+excess, 1)/changed + c.variance(usual+margin.Tolerate, 1)/unchanged
		next := max(margin.Tolerate, radius(variance, margin.Tolerate, alpha))
		if math.Abs(next-excess) < planningPrecision {
			break
		}
		excess = next
	}
	if excess > 1 && !c.poisson {
		return math.Inf(1)
	}
	return excess
}

// The iteration in SmallestDetectable ends when the excess changes by less than this
// precision, or after this many steps.
const (
	planningPrecision = 1e-6
	maxPlanningSteps  = 50
)
