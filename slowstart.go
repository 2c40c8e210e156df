package martendrum

import "time"

// Endpoint.Started is a wall-clock time of the server's machine. This balancer's clock was set
// from its own machine's wall clock when the process started. Either clock may have been wrong
// by seconds or by an hour. If a server's age is underestimated, it only gets its full share of
// requests later, by SlowStartDuration at most; if its age is overestimated, it is overloaded.
// Where the clocks may disagree, the balancer therefore uses the lower estimate:
//
//   - A start time that arrives after the first list belongs to a new start. The balancer counts
//     the server's age from the arrival, which is later than the start by the time that the list
//     took to arrive.
//   - The first list also contains older starts. The estimated age of a server on it is the
//     smaller of two: the time from its start to the newest start on that list, which does not
//     depend on this balancer's clock, and the time from its start to now by that clock.

const (
	// slowStartSafetyFactor is the largest fraction of a server's overload limit that all
	// balancers together use during its slow start; the rest is left for random bursts.
	slowStartSafetyFactor = 0.5
	minOverloadDuration   = time.Millisecond // lower bound of Config.OverloadDuration
)

// startTimeConverter converts the start times on one server list from the servers' clocks to the
// balancer's clock.
type startTimeConverter struct {
	now         time.Duration // when the list arrived
	isFirstList bool          // discovery has sent no list before
	newest      time.Duration // the newest start time on the list
}

// newStartTimeConverter returns a converter for a list that arrives now.
func (set *endpointSet) newStartTimeConverter(list []Endpoint, now time.Duration) startTimeConverter {
	converter := startTimeConverter{now: now, isFirstList: !set.listReceived}
	for _, endpoint := range list {
		converter.newest = max(converter.newest, endpoint.Started)
	}
	return converter
}

// toBalancerClock returns the estimated time of a start by the balancer's clock. The comment at the
// top of this file gives the rules.
func (c startTimeConverter) toBalancerClock(started time.Duration) time.Duration {
	if !c.isFirstList {
		return c.now
	}
	return c.now - max(0, min(c.now, c.newest)-started)
}

// slowStartFactor returns the fraction of its full capacity that a server has now, estimated low.
// It rises linearly from Config.SlowStartInitialFraction to 1.
func (set *endpointSet) slowStartFactor(s *server, now time.Duration) float64 {
	if now >= s.slowStartEnds || set.config.SlowStartDuration <= 0 {
		return 1
	}
	initial := set.config.SlowStartInitialFraction
	age := max(0, now-s.slowStartBegan)
	return initial + (1-initial)*float64(age)/float64(set.config.SlowStartDuration)
}

// hasSlowStartBudget reports whether this balancer may make one more send to a server. A server
// that is not in slow start has no limit. The budget of one in slow start is what the server at
// full capacity takes from this balancer, multiplied by the slow-start factor, the overload factor
// and slowStartSafetyFactor. A server that is larger than the mean of the working set by its
// capacity hint counts as of mean size, because the hint may be wrong. All balancers compute the
// budget in the same way, so that their sends together stay under the server's overload limit.
// Outside the working set a server in slow start has no budget, because all balancers may fall
// back on it at once.
func (set *endpointSet) hasSlowStartBudget(s *server, now time.Duration) bool {
	if now >= s.slowStartEnds {
		return true
	}
	if !s.inWorkingSet {
		return false
	}
	overloadDuration := max(set.config.OverloadDuration, minOverloadDuration)
	meanShare := 1 / float64(len(set.workingSet)) // fraction of this balancer's sends that a server of mean size gets
	share := min(meanShare, s.capacityHint/set.capacityHintSum)
	acceptedRate := max(set.acceptedFraction*set.rate(now), set.nominalRate)
	rate := acceptedRate * share * slowStartSafetyFactor * set.config.OverloadFactor * set.slowStartFactor(s, now)
	// Before any send the recent rate is 0. The minimum rate is one send to the
	// server in overloadDuration from all balancers together.
	idleRate := min(1, float64(len(set.members))*meanShare/float64(set.config.Instances)) / overloadDuration.Seconds()
	rate = max(rate, idleRate)
	burst := rate * overloadDuration.Seconds()
	// If many balancers have budgets of less than one send in overloadDuration, each would
	// save its budget up to one send, and all could spend it at the same time. Such a budget
	// is therefore replaced by a random one, once in overloadDuration on average.
	if burst < 1 && set.random() > decay(now-s.slowStartTokens.at, overloadDuration) {
		s.slowStartTokens.tokens = set.random()
	}
	s.slowStartTokens.refill(rate, burst, now)
	return s.slowStartTokens.tokens >= 1
}
