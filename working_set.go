package martendrum

import (
	"math"
	"slices"
	"time"
)

const (
	maxWeightsAge = 200 * time.Millisecond // sampling weights older than this are recomputed
	// A balancer samples from a working set small enough to observe: serversPerRate servers
	// for each send a second, at least minWorkingSet. Where open connections have a price,
	// connectionCostBudget (in points) shrinks the set further, to minConnectedServers at least.
	serversPerRate       = 1.0
	minWorkingSet        = 4
	connectionCostBudget = 0.08
	minConnectedServers  = 3
	// connectionCostUnit is the number of connections that Config.ConnectionCost is for.
	connectionCostUnit = 100
)

// refresh recomputes the sampling table when it is old or the servers under it have changed.
func (set *endpointSet) refresh(now time.Duration) {
	ejected := len(set.ejected)
	set.ejected = slices.DeleteFunc(set.ejected, func(s *server) bool { return now >= s.ejectedUntil || !s.serving })
	set.dirty = set.dirty || len(set.ejected) < ejected
	if !set.dirty && now-set.weightsAt < maxWeightsAge {
		return
	}
	// The set shrinks only by more than a third, so that it changes little.
	size := set.workingSetSize(now)
	if set.dirty || size > len(set.workingSet) || size < len(set.workingSet)*2/3 {
		set.chooseWorkingSet(size, now)
	}
	set.dirty = false
	set.weightsAt = now
	set.weights = set.weights[:0]
	sum := 0.0
	for _, s := range set.workingSet {
		if now >= s.ejectedUntil {
			sum += s.capacityHint * s.weightCorrection * set.slowStartFactor(s, now)
		}
		set.weights = append(set.weights, sum)
	}
}

// workingSetSize is the number of servers that this balancer's traffic suffices to observe.
func (set *endpointSet) workingSetSize(now time.Duration) int {
	members := len(set.members)
	size := max(minWorkingSet, int(serversPerRate*set.rate(now)))
	if set.config.ConnectionCost > 0 && members > 0 {
		costPerServer := set.config.ConnectionCost * float64(set.config.Instances) / (connectionCostUnit * float64(members))
		affordable := int(math.Sqrt(connectionCostBudget/costPerServer) + 0.5)
		size = max(minConnectedServers, min(size, affordable))
	}
	return min(size, members)
}

// chooseWorkingSet takes the first size members by priority, ejected ones last.
func (set *endpointSet) chooseWorkingSet(size int, now time.Duration) {
	for _, s := range set.workingSet {
		s.inWorkingSet = false
	}
	set.workingSet = set.workingSet[:0]
	for _, ejected := range []bool{false, true} {
		for i := 0; i < len(set.members) && len(set.workingSet) < size; i++ {
			if s := set.members[i]; now < s.ejectedUntil == ejected {
				s.inWorkingSet = true
				set.workingSet = append(set.workingSet, s)
			}
		}
	}
}
