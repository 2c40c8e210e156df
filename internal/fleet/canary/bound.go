package canary

import (
	"math"

	"gonum.org/v1/gonum/stat/distuv"
)

// radius is the half-width of a confidence sequence for an estimate with variance
// s2: with probability 1-alpha the truth is never, at any look, more than it below
// the estimate (nor, with the same probability, more than it above).
//
// It is the one-sided normal mixture bound of Howard, Ramdas, McAuliffe and Sekhon,
// "Time-uniform, nonparametric, nonasymptotic confidence sequences" (Annals of
// Statistics 49, 2021), Proposition 6, on the scale of information v = 1/s2. The
// mixture is over effects of the size of scale, at which it is nearly at its
// narrowest. It is asymptotic here, since the variance is estimated: minEvents
// sees to it that there is something to estimate from, and `martendrum judge
// trial` measures what is left of the promise.
func radius(s2, scale, alpha float64) float64 {
	if !(s2 > 0) {
		return math.Inf(1)
	}
	v, rho := 1/s2, 1/(scale*scale)
	return math.Sqrt(2*(v+rho)*math.Log(math.Sqrt((v+rho)/rho)/(2*alpha)+1)) / v
}

// informationFor is the information 1/s2 at which radius comes down to r.
func informationFor(r, scale, alpha float64) float64 {
	if r <= 0 {
		return math.Inf(1)
	}
	low, high := 0.0, 1/(r*r)
	for radius(1/high, scale, alpha) > r {
		low, high = high, 2*high
	}
	for range 60 {
		if mid := (low + high) / 2; radius(1/mid, scale, alpha) > r {
			low = mid
		} else {
			high = mid
		}
	}
	return high
}

// minEvents is how many events the changed ones must have been able to show
// before a rate is judged: under it a normal bound says nothing of counts.
const minEvents = 8

// rareShape and rareRate are of the gamma mixture of rareLog: rates of ten times the
// null's are the typical alternative.
const (
	rareShape = 1.0
	rareRate  = 0.1
)

// rareLog is the logarithm of the evidence that events come faster than expected says:
// the likelihood ratio of Poisson counts, mixed over a gamma distribution of rates. It
// is a martingale while expected is the truth, so by Ville's inequality it ever passes
// log(1/alpha) with probability alpha at most, however few the events.
func rareLog(seen, expected float64) float64 {
	if seen <= expected {
		return 0
	}
	k, _ := math.Lgamma(rareShape + seen)
	k0, _ := math.Lgamma(rareShape)
	return rareShape*math.Log(rareRate) + k - k0 - (rareShape+seen)*math.Log(rareRate+expected) + expected
}

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
		next := max(margin.Tolerate, radius(c.spread(p, 1)/changed+c.spread(usual+margin.Tolerate, 1)/unchanged, margin.Tolerate, falseStops/float64(max(1, tests))))
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
