package canary

import (
	"math"
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
