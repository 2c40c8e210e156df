package canary

import (
	"math"
)

// radius is the half-width of a confidence sequence for an estimate with the given
// variance: with probability 1-alpha the true value is at no look further than radius
// below the estimate and, with the same probability, at no look further above it.
//
// It is the one-sided normal mixture bound of Howard, Ramdas, McAuliffe and Sekhon,
// "Time-uniform, nonparametric, nonasymptotic confidence sequences" (Annals of
// Statistics 49, 2021), Proposition 6, on the scale of information v = 1/variance. The
// mixture is over effects of the size of scale, for which the bound is nearly at its
// narrowest. The bound is asymptotic here, since the variance is estimated: minEvents
// ensures that there are events to estimate it from, and `martendrum judge trial`
// measures the actual rate of false stops.
func radius(variance, scale, alpha float64) float64 {
	if !(variance > 0) {
		return math.Inf(1)
	}
	v, rho := 1/variance, 1/(scale*scale)
	return math.Sqrt(2*(v+rho)*math.Log(math.Sqrt((v+rho)/rho)/(2*alpha)+1)) / v
}

// informationFor is the information, 1/variance, at which radius is r.
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

// minEvents is the number of expected events at the changed instances below which a rate
// is not judged, because a normal bound does not apply to such small counts.
const minEvents = 8

// rareShape and rareRate are the parameters of rareLog's gamma mixture. With them, ten
// times the rate of the null hypothesis is the typical alternative.
const (
	rareShape = 1.0
	rareRate  = 0.1
)

// rareLog is the logarithm of the evidence that events are more frequent than expected:
// the likelihood ratio of Poisson counts, mixed over a gamma distribution of rates. The
// ratio is a martingale if the expectation is true. By Ville's inequality the logarithm
// therefore ever exceeds log(1/alpha) with probability alpha at most, however few events
// there are.
func rareLog(seen, expected float64) float64 {
	if seen <= expected {
		return 0
	}
	k, _ := math.Lgamma(rareShape + seen)
	k0, _ := math.Lgamma(rareShape)
	return rareShape*math.Log(rareRate) + k - k0 - (rareShape+seen)*math.Log(rareRate+expected) + expected
}
