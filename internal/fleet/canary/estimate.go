package canary

import (
	"gonum.org/v1/gonum/stat/distuv"
)

// instanceEstimate is what one instance contributes to a test: by how much the measure is
// higher than its past and the unchanged instances of its zone lead one to expect.
type instanceEstimate struct {
	zone           int
	isChanged      bool
	estimate       float64
	variance       float64 // of estimate, by chance
	exposure       float64 // in the present
	expectedEvents float64 // in the present, at the boundary of the null hypothesis
	seenEvents     float64 // in the present
}

// contrast compares the estimates of changed instances with those of unchanged ones.
// driftVariance is the variance of instances that drift by themselves.
func contrast(estimates []instanceEstimate, driftVariance float64) (e Evidence) {
	var sum, weight [sides]float64
	for _, x := range estimates {
		side := unchangedSide
		if x.isChanged {
			side = changedSide
			e.Changed++
			e.Exposure += x.exposure
			e.expectedEvents += x.expectedEvents
			e.seenEvents += x.seenEvents
		} else {
			e.Unchanged++
		}
		w := 1 / (x.variance + driftVariance)
		sum[side] += w * x.estimate
		weight[side] += w
	}
	if e.Changed == 0 || e.Unchanged == 0 {
		return e
	}
	e.Estimate = sum[changedSide]/weight[changedSide] - sum[unchangedSide]/weight[unchangedSide]
	e.variance = 1/weight[changedSide] + 1/weight[unchangedSide]
	e.driftFloor = driftVariance/float64(e.Changed) + driftVariance/float64(e.Unchanged)
	return e
}

// driftConfidence is the confidence with which the estimate of drift is not too small.
const driftConfidence = 0.99

// minDriftInstances is the number of unchanged instances needed to estimate drift.
const minDriftInstances = 3

// drift is the variance by which instances differ from their past beyond chance. It is
// known only with minDriftInstances unchanged instances.
type drift struct {
	variance float64
	known    bool
}

// estimateDrift estimates drift from the unchanged instances (DerSimonian and Laird's
// estimate of a random effect, Controlled Clinical Trials 7, 1986). With few instances
// the estimate is raised.
func estimateDrift(estimates []instanceEstimate) drift {
	var count, weights, weightSquares, mean float64
	for _, x := range estimates {
		if !x.isChanged && x.variance > 0 {
			w := 1 / x.variance
			count++
			weights += w
			weightSquares += w * w
			mean += w * x.estimate
		}
	}
	if count < minDriftInstances {
		return drift{}
	}
	mean /= weights
	q := 0.0 // Cochran's heterogeneity statistic
	for _, x := range estimates {
		if !x.isChanged && x.variance > 0 {
			q += (x.estimate - mean) * (x.estimate - mean) / x.variance
		}
	}
	// A sum of squares that is small by chance does not prove that drift is small.
	q *= (count - 1) / distuv.ChiSquared{K: count - 1}.Quantile(1-driftConfidence)
	return drift{variance: max(0, q-(count-1)) / (weights - weightSquares/weights), known: true}
}
