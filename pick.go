package martendrum

import (
	"math"
	"slices"
	"time"
)

const (
	// Of choices eligible servers, found in at most maxDraws draws, pick takes the cheapest.
	choices  = 2
	maxDraws = 8
	// inFlightCost ranks one request in flight above all other terms of the cost.
	inFlightCost = 1e4
)

// draw samples one server of the working set by weight, nil if none has any.
func (set *endpointSet) draw() *server {
	n := len(set.weights)
	if n == 0 || set.weights[n-1] <= 0 {
		return nil
	}
	// The next larger float keeps a draw of 0 from hitting a server without weight.
	target := math.Nextafter(set.random()*set.weights[n-1], math.Inf(1))
	i, _ := slices.BinarySearch(set.weights, target)
	return set.workingSet[min(i, n-1)]
}

// pick picks by the power of two choices: of two random servers the one with the lower cost.
// If it finds none that is not ejected, it takes any member. eligible restricts the choice to
// servers that the request may go to; pick returns nil if there is none.
func (set *endpointSet) pick(now time.Duration, eligible func(*server) bool) *server {
	set.refresh(now)
	var best *server
	bestCost := math.Inf(1)
	for draws, found := 0, 0; draws < maxDraws && found < choices; draws++ {
		s := set.draw()
		if s == nil {
			break
		}
		if s == best || !eligible(s) || !set.hasSlowStartBudget(s, now) {
			continue
		}
		found++
		if cost := set.cost(s, now); cost < bestCost {
			best, bestCost = s, cost
		}
	}
	// The search for any member starts at a random one, so that balancers do not herd.
	n := len(set.members)
	start := int(set.random() * float64(n))
	for i := 0; i < n && (best == nil || now < best.ejectedUntil); i++ {
		s := set.members[(start+i)%n]
		if eligible(s) && set.hasSlowStartBudget(s, now) && (best == nil || now >= s.ejectedUntil) {
			best = s
		}
	}
	return best
}

// cost ranks candidates by this balancer's requests in flight first. Quiet balancers mostly
// tie there, and load report and latency decide.
func (set *endpointSet) cost(s *server, now time.Duration) float64 {
	return inFlightCost*float64(s.inFlight) + s.queueDepth(now)*s.latency(now)
}
