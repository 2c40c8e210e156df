package martendrum

import "time"

// Endpoint.Started is wall time of the server's machine. This balancer's clock was set from
// its own machine's wall clock when the process started, and either clock may have been
// seconds or an hour off. Underestimating a server's age only slows its ramp for
// SlowStartDuration; overestimating it overloads the server. The estimate therefore errs low
// wherever the clocks are not known to agree:
//
//   - A start that arrives after the first list is new and counts from its arrival, later
//     than the truth by the time that the list took.
//   - The first list also carries older starts. No server on it is taken to be older than its
//     distance to the newest start on that list, which does not depend on this balancer's
//     clock, nor than that clock says.

const (
	// slowStartSafetyFactor is the fraction of a server's overload limit that is sent at
	// most during slow start; the rest absorbs random bursts.
	slowStartSafetyFactor = 0.5
	minOverloadDuration   = time.Millisecond // in place of a shorter Config.OverloadDuration
)

// startReading interprets the start times of one list.
type startReading struct {
	now    time.Duration
	first  bool          // discovery has sent no list before
	newest time.Duration // the newest start on the list
}

// readStarts returns the reading of a list that arrives now.
func (set *endpointSet) readStarts(list []Endpoint, now time.Duration) startReading {
	reading := startReading{now: now, first: !set.listReceived}
	for _, endpoint := range list {
		reading.newest = max(reading.newest, endpoint.Started)
	}
	return reading
}

// countsFrom returns the start on the balancer's clock.
func (r startReading) countsFrom(started time.Duration) time.Duration {
	if !r.first {
		return r.now
	}
	return r.now - max(0, min(r.now, r.newest)-started)
}

// slowStartFactor is the fraction of its full capacity that a server has by now at least.
func (set *endpointSet) slowStartFactor(s *server, now time.Duration) float64 {
	if now >= s.slowStartEnds || set.config.SlowStartDuration <= 0 {
		return 1
	}
	initial := set.config.SlowStartInitialFraction
	age := max(0, now-s.slowStartBegan)
	return initial + (1-initial)*float64(age)/float64(set.config.SlowStartDuration)
}

// hasSlowStartBudget reports whether a server may take one more send from here. A server in
// slow start gets a multiple of what one at full capacity takes, by its slow-start factor. All
// balancers compute it alike, so that their sum stays under the server's overload limit. Outside
// the working set a server in slow start gets nothing: all balancers may fall back on it.
func (set *endpointSet) hasSlowStartBudget(s *server, now time.Duration) bool {
	if now >= s.slowStartEnds {
		return true
	}
	if !s.inWorkingSet {
		return false
	}
	span := max(set.config.OverloadDuration, minOverloadDuration)
	part := 1 / float64(len(set.workingSet)) // of this balancer's sends
	acceptedRate := max(set.acceptedFraction*set.rate(now), set.nominalRate)
	rate := acceptedRate * part * slowStartSafetyFactor * set.config.OverloadFactor * set.slowStartFactor(s, now)
	// Where nothing has been sent yet: one send in span from all balancers together.
	idleRate := min(1, float64(len(set.members))*part/float64(set.config.Instances)) / span.Seconds()
	rate = max(rate, idleRate)
	perSpan := rate * span.Seconds()
	// Many balancers with budgets of less than one send, each saved up to one send, would
	// spend them together. Such a budget is drawn anew at random instead.
	if perSpan < 1 && set.random() > decay(now-s.slowStartTokens.at, span) {
		s.slowStartTokens.tokens = set.random()
	}
	s.slowStartTokens.refill(rate, perSpan, now)
	return s.slowStartTokens.tokens >= 1
}
