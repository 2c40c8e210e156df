package canary

import (
	"math"
)

// SmallestDetectable is the smallest excess of a measure that is detected with a
// probability of one half, once the changed and the unchanged instances have the given
// exposures at the usual rate, with the given number of tests made together. It is for
// planning: drift between instances and bursts require more.
func SmallestDetectable(m Measure, usual, changed, unchanged, falseStops float64, tests int, margin Margin) float64 {
	if changed <= 0 || unchanged <= 0 {
		return math.Inf(1)
	}
	c := cell{measure: m, poisson: m == Attempts || m == Crashes}
	alpha := falseStops / float64(max(1, tests))
	excess := margin.Tolerate
	for range maxPlanningSteps { // the variance depends on the excess: find the fixed point
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

// The search for the fixed point ends at this precision, or after this many steps.
const (
	planningPrecision = 1e-6
	maxPlanningSteps  = 50
)
