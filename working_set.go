package martendrum

import (
	"math"
	"slices"
	"time"
)

const (
	maxWeightsAge = 200 * time.Millisecond // how long sampling weights are kept
	// localPreference multiplies the odds that a server of the balancer's own
	// zone is in its working set, where crossing zones has a price.
	localPreference = 3.0
	// A balancer keeps to a working set that it can know: serversPerRate servers
	// for each send a second, at least minWorkingSet. Where open connections have a
	// price, connectionCostBudget (in points) shrinks the set further, to minConnectedServers at least.
	serversPerRate       = 1.0
	minWorkingSet        = 4
	connectionCostBudget = 0.08
	minConnectedServers  = 3
)

// refresh rebuilds the sampling table when it is old or what it stands on changed.
func (f *endpointSet) refresh(now time.Duration) {
	ejected := len(f.ejected)
	f.ejected = slices.DeleteFunc(f.ejected, func(s *server) bool { return now >= s.ejectedUntil || !s.serving })
	f.dirty = f.dirty || len(f.ejected) < ejected
	if !f.dirty && now-f.weightsAt < maxWeightsAge {
		return
	}
	if size := f.workingSetSize(now); f.dirty || size > len(f.workingSet) || size < len(f.workingSet)*2/3 {
		f.chooseWorkingSet(size, now)
	}
	f.dirty, f.weightsAt, f.weights = false, now, f.weights[:0]
	sum := 0.0
	for _, s := range f.workingSet {
		if now >= s.ejectedUntil {
			sum += s.capacityHint * s.weightCorrection * f.slowStartFactor(s, now)
		}
		f.weights = append(f.weights, sum)
	}
}

// workingSetSize is how many servers this balancer's traffic lets it know well.
func (f *endpointSet) workingSetSize(now time.Duration) int {
	n := len(f.members)
	size := max(minWorkingSet, int(serversPerRate*f.rate(now)))
	if f.config.ConnectionCost > 0 && n > 0 {
		each := f.config.ConnectionCost * float64(f.config.Instances) / (100 * float64(n))
		size = max(minConnectedServers, min(size, int(math.Sqrt(connectionCostBudget/each)+0.5)))
	}
	return min(size, n)
}

// chooseWorkingSet takes the first servers by priority into the working set, ejected ones last.
func (f *endpointSet) chooseWorkingSet(size int, now time.Duration) {
	for _, s := range f.workingSet {
		s.inWorkingSet = false
	}
	f.workingSet = f.workingSet[:0]
	for _, ejected := range []bool{false, true} {
		for i := 0; i < len(f.members) && len(f.workingSet) < size; i++ {
			if s := f.members[i]; now < s.ejectedUntil == ejected {
				s.inWorkingSet = true
				f.workingSet = append(f.workingSet, s)
			}
		}
	}
}
