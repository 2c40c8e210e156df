package martendrum

import (
	"math"
	"slices"
	"time"
)

const inFlightCost = 1e4 // puts one request in flight above all other signs of cost

// draw samples one server of the working set by weight, nil if none has any.
func (set *endpointSet) draw() *server {
	n := len(set.weights)
	if n == 0 || set.weights[n-1] <= 0 {
		return nil
	}
	// The next float up: a server of no weight is never hit, even by a draw of 0.
	i, _ := slices.BinarySearch(set.weights, math.Nextafter(set.random()*set.weights[n-1], math.Inf(1)))
	return set.workingSet[min(i, n-1)]
}

// pick picks by the power of two choices: of two random servers the one with the lower cost.
// If it finds none that is not ejected, it takes any member. eligible restricts the choice to
// servers that the request may go to; pick returns nil if there is none.
func (set *endpointSet) pick(now time.Duration, eligible func(*server) bool) *server {
	set.refresh(now)
	best, bestCost := (*server)(nil), math.Inf(1)
	for draws, found := 0, 0; draws < 8 && found < 2; draws++ {
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
	// Else any server, ejected too, from a random place: balancers must not herd.
	n := len(set.members)
	start := int(set.random() * float64(n))
	for i := 0; i < n && (best == nil || now < best.ejectedUntil); i++ {
		if s := set.members[(start+i)%n]; eligible(s) && set.hasSlowStartBudget(s, now) && (best == nil || now >= s.ejectedUntil) {
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
