package canary

import (
	"gonum.org/v1/gonum/stat/distuv"
)

// instanceEstimate is what one instance contributes to a test: by how much its rate in the
// present phase exceeds the rate expected from its own history and from the unchanged
// instances of its zone. For a gauge it is the growth per minute.
type instanceEstimate struct {
	zone           int
	isChanged      bool
	estimate       float64
	variance       float64 // of estimate, by chance alone
	exposure       float64 // in the present phase; for a gauge: the number of its values
	expectedEvents float64 // in the present phase, if the excess were exactly Margin.Tolerate; for a gauge: minEvents
	seenEvents     float64 // in the present phase
}

// contrast compares the estimates of changed instances with those of unchanged ones.
// driftVariance is the variance of the drift (see drift), which is added to that of each
// estimate. The result has no Test, Margin or Verdict yet.
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

// driftConfidence is the probability that the estimated drift is not smaller than the actual
// drift.
const driftConfidence = 0.99

// minDriftInstances is the minimum number of unchanged instances for estimating drift.
const minDriftInstances = 3

// drift is how much instances change by themselves, relative to their own history: the
// variance of the estimates of unchanged instances beyond chance. It is known only if there
// are at least minDriftInstances of them.
type drift struct {
	variance float64
	known    bool
}

// estimateDrift estimates the drift from the unchanged instances with DerSimonian and Laird's
// estimator of a random effect (Controlled Clinical Trials 7, 1986). The fewer instances
// there are, the more the estimate is raised (see driftConfidence).
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
	// The sum of squares may be small by chance although the drift is not; it is divided by
	// a low quantile of its distribution without drift.
	q *= (count - 1) / distuv.ChiSquared{K: count - 1}.Quantile(1-driftConfidence)
	return drift{variance: max(0, q-(count-1)) / (weights - weightSquares/weights), known: true}
}
