package canary

import (
	"math"
)

// radius is the half-width of a confidence sequence for an estimate with the given
// variance. A look is one evaluation of the growing data. With probability 1-alpha, the true
// value is never more than radius below the estimate at any look; with the same probability,
// it is never more than radius above the estimate.
//
// It is the one-sided normal mixture bound of Howard, Ramdas, McAuliffe and Sekhon,
// "Time-uniform, nonparametric, nonasymptotic confidence sequences" (Annals of
// Statistics 49, 2021), Proposition 6, with information v = 1/variance as its time. The
// mixture is over effects of about the size of scale; for these the bound is nearly as narrow
// as possible. The bound holds only asymptotically here, since the variance is estimated:
// minEvents ensures that there are enough events for the estimate, and `martendrum judge
// trial` measures the actual rate of false stops.
func radius(variance, scale, alpha float64) float64 {
	if !(variance > 0) {
		return math.Inf(1)
	}
	v, rho := 1/variance, 1/(scale*scale)
	return math.Sqrt(2*(v+rho)*math.Log(math.Sqrt((v+rho)/rho)/(2*alpha)+1)) / v
}

// informationFor is the inverse of radius: the information, 1/variance, at which radius is r.
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

// minEvents is the minimum number of expected events at the changed instances. Below it a
// rate is not judged, because a bound for normal distributions does not apply to such small
// counts.
const minEvents = 8

// The parameters of the gamma distribution in rareEventLogEvidence. With them, ten times the
// rate of the null hypothesis is the typical alternative.
const (
	rareEventShape = 1.0
	rareEventRate  = 0.1
)

// rareEventLogEvidence is the logarithm of the evidence that events are more frequent than
// expected: the likelihood ratio of Poisson counts, mixed over a gamma distribution of
// rates. If the expectation is true, the ratio is a martingale. By Ville's inequality the
// probability that the logarithm ever exceeds log(1/alpha) is therefore at most alpha,
// however few events there are.
func rareEventLogEvidence(seen, expected float64) float64 {
	if seen <= expected {
		return 0
	}
	k, _ := math.Lgamma(rareEventShape + seen)
	k0, _ := math.Lgamma(rareEventShape)
	return rareEventShape*math.Log(rareEventRate) + k - k0 - (rareEventShape+seen)*math.Log(rareEventRate+expected) + expected
}
