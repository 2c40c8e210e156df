package canary

import (
	"gonum.org/v1/gonum/stat/distuv"
)

// instanceEstimate is what one instance says of one test: the estimate of how much more of the
// measure it has now than in its past, beyond what those beside it lead to expect.
type instanceEstimate struct {
	zone               int
	isChanged          bool
	estimate, variance float64 // estimate, and its variance by chance
	exposure           float64 // exposure in the present
	expectedEvents     float64 // expected at the boundary of the null
	seenEvents         float64 // events in the present
}

// contrast sets the changed views against the unchanged ones, and allows for
// instances that drift by themselves: drift is the variance of that.
func contrast(views []instanceEstimate, drift float64) (e Evidence) {
	var sum, weight [2]float64
	for _, v := range views {
		arm := 0
		if v.isChanged {
			arm = 1
			e.Changed++
			e.Exposure += v.exposure
			e.expectedEvents += v.expectedEvents
			e.seenEvents += v.seenEvents
		} else {
			e.Unchanged++
		}
		w := 1 / (v.variance + drift)
		sum[arm] += w * v.estimate
		weight[arm] += w
	}
	if e.Changed == 0 || e.Unchanged == 0 {
		return e
	}
	e.Estimate = sum[1]/weight[1] - sum[0]/weight[0]
	e.variance = 1/weight[1] + 1/weight[0]
	e.driftFloor = drift/float64(e.Changed) + drift/float64(e.Unchanged)
	return e
}

// driftConfidence is how sure the allowance for drift is of not being too small.
const driftConfidence = 0.99

// minDriftInstances is how many unchanged instances tell how much instances drift.
const minDriftInstances = 3

// estimateDrift estimates, from the unchanged ones, the variance that instances have beyond
// chance (DerSimonian and Laird's estimate of a random effect, Controlled Clinical
// Trials 7, 1986), taken larger where few tell it. ok says whether enough do.
func estimateDrift(views []instanceEstimate) (tau2 float64, ok bool) {
	var k, w1, w2, mean float64
	for _, v := range views {
		if !v.isChanged && v.variance > 0 {
			w := 1 / v.variance
			k++
			w1 += w
			w2 += w * w
			mean += w * v.estimate
		}
	}
	if k < minDriftInstances {
		return 0, false
	}
	mean /= w1
	q := 0.0
	for _, v := range views {
		if !v.isChanged && v.variance > 0 {
			q += (v.estimate - mean) * (v.estimate - mean) / v.variance
		}
	}
	// A sum of squares that happened to come out small is no proof of small drift.
	q *= (k - 1) / distuv.ChiSquared{K: k - 1}.Quantile(1-driftConfidence)
	return max(0, q-(k-1)) / (w1 - w2/w1), true
}
