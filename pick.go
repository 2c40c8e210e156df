package martendrum

import (
	"math"
	"slices"
	"time"
)

const inFlightCost = 1e4 // puts one request in flight above all other signs of cost

// draw samples one member by weight, nil if none has any.
func (f *endpointSet) draw() *server {
	n := len(f.weights)
	if n == 0 || f.weights[n-1] <= 0 {
		return nil
	}
	// The next float up: a server of no weight is never hit, even by a draw of 0.
	i, _ := slices.BinarySearch(f.weights, math.Nextafter(f.random()*f.weights[n-1], math.Inf(1)))
	return f.workingSet[min(i, n-1)]
}

// pick is the two-choice pick: of two random servers the one with the lower
// cost. ok restricts the choice to servers that the request may go to.
func (f *endpointSet) pick(now time.Duration, ok func(*server) bool) *server {
	f.refresh(now)
	best, bestCost := (*server)(nil), math.Inf(1)
	for tries, found := 0, 0; tries < 8 && found < 2; tries++ {
		s := f.draw()
		if s == nil {
			break
		}
		if s == best || !ok(s) || !f.hasSlowStartBudget(s, now) {
			continue
		}
		found++
		if c := f.cost(s, now); c < bestCost {
			best, bestCost = s, c
		}
	}
	// Else any server, ejected too, from a random place: balancers must not herd.
	n := len(f.members)
	start := int(f.random() * float64(n))
	for i := 0; i < n && (best == nil || now < best.ejectedUntil); i++ {
		if s := f.members[(start+i)%n]; ok(s) && f.hasSlowStartBudget(s, now) && (best == nil || now >= s.ejectedUntil) {
			best = s
		}
	}
	return best
}

// cost compares candidates: own in-flight first; quiet balancers mostly tie
// there, so that the seen latency and the load report decide between equals.
func (f *endpointSet) cost(s *server, now time.Duration) float64 {
	return inFlightCost*float64(s.inFlight) + s.queueDepth(now)*s.latency(now)
}
