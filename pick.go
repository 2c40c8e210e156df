package martendrum

import (
	"math"
	"slices"
	"time"
)

const (
	// choices is the number of eligible servers whose costs pick compares. It looks for them in
	// at most maxDraws random draws.
	choices  = 2
	maxDraws = 8
	// inFlightCost is the cost of one request in flight. It is larger than all other terms of
	// the cost together.
	inFlightCost = 1e4
)

// draw returns a random server of the working set, with probabilities proportional to the sampling
// weights. It returns nil if all weights are 0.
func (set *endpointSet) draw() *server {
	n := len(set.weights)
	if n == 0 || set.weights[n-1] <= 0 {
		return nil
	}
	// The next larger float is used because a target of 0 would select a first server of
	// weight 0.
	target := math.Nextafter(set.random()*set.weights[n-1], math.Inf(1))
	i, _ := slices.BinarySearch(set.weights, target)
	return set.workingSet[min(i, n-1)]
}

// pick returns the server with the lower cost of two random ones (the power of two choices). If the
// draws find no server, or only an ejected one, pick searches all members, first for one that is
// not ejected. It considers only servers that eligible accepts and that have slow-start budget, and
// returns nil if there is none.
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
	// The search through all members starts at a random one, so that balancers do not all
	// choose the same.
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

// cost returns a server's cost, by which pick compares candidates. This balancer's requests in
// flight count most. A balancer with few requests mostly finds them equal; then the load report and
// the latency decide.
func (set *endpointSet) cost(s *server, now time.Duration) float64 {
	return inFlightCost*float64(s.inFlight) + s.queueDepth(now)*s.latency(now)
}
