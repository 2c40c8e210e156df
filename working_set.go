package martendrum

import (
	"math"
	"slices"
	"time"
)

const (
	maxWeightsAge = 200 * time.Millisecond // age at which the sampling weights are recomputed
	// A balancer normally sends only to its working set, which is small enough for it to observe
	// the latency of each server. The working set has serversPerRate servers for each send a
	// second, and at least minWorkingSet. Where open connections have a cost, the set is smaller,
	// so that they cost about connectionCostBudget (in points) at most, but it has at least
	// minConnectedServers.
	serversPerRate       = 1.0
	minWorkingSet        = 4
	connectionCostBudget = 0.08
	minConnectedServers  = 3
	// connectionCostUnit is the number of connections per server that Config.ConnectionCost is
	// the cost of.
	connectionCostUnit = 100
)

// refresh recomputes the working set and its sampling weights if the weights are old, or if members
// or ejections have changed.
func (set *endpointSet) refresh(now time.Duration) {
	ejected := len(set.ejected)
	set.ejected = slices.DeleteFunc(set.ejected, func(s *server) bool { return now >= s.ejectedUntil || !s.serving })
	set.dirty = set.dirty || len(set.ejected) < ejected
	if !set.dirty && now-set.weightsAt < maxWeightsAge {
		return
	}
	// Unless members or ejections have changed, the set shrinks only if it would lose more than
	// a third of its servers, so that it changes seldom.
	size := set.workingSetSize(now)
	if set.dirty || size > len(set.workingSet) || size < len(set.workingSet)*2/3 {
		set.chooseWorkingSet(size, now)
	}
	set.dirty = false
	set.weightsAt = now
	set.weights = set.weights[:0]
	set.capacityHintSum = 0
	sum := 0.0
	for _, s := range set.workingSet {
		set.capacityHintSum += s.capacityHint
		if now >= s.ejectedUntil {
			sum += s.capacityHint * s.weightCorrection * set.slowStartFactor(s, now)
		}
		set.weights = append(set.weights, sum)
	}
}

// workingSetSize returns the number of servers that the working set should have.
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

// chooseWorkingSet sets the working set to the first size members in order of priority. Ejected
// members are added only if there are too few others.
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
