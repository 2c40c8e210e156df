package martendrum

import "time"

// When a server counts as started. Its own word, Endpoint.Started, is wall time of another
// machine; this balancer's clock was set by its own machine's wall clock when the process
// began, which may have been seconds or an hour ahead or behind just then. To take a cold
// server for a warm one fells it, to take a warm one for cold costs some of its service for
// SlowStartDuration. So the reading is the colder one wherever the clocks are not known to agree:
//
//   - A start that is told while the list is followed is new, and counts from when it is
//     told. It is colder than true by the time that the news took.
//   - Of the first list, which tells older starts too, no server is older than its distance
//     to the newest start on that list, which both clocks agree on, nor than this balancer's
//     clock says.

// startReading interprets the start times of one list.
type startReading struct {
	now    time.Duration
	first  bool          // discovery has sent no list before
	newest time.Duration // the newest start on the list
}

// readStarts returns the reading of a list that arrives now.
func (set *endpointSet) readStarts(list []Endpoint, now time.Duration) startReading {
	reading := startReading{now: now, first: !set.listReceived}
	for _, e := range list {
		reading.newest = max(reading.newest, e.Started)
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

const slowStartSafetyFactor = 0.5 // of what fells a cold server is sent at most; the rest is for chance

// slowStartFactor is the fraction of its full capacity that a server has by now at least.
func (set *endpointSet) slowStartFactor(s *server, now time.Duration) float64 {
	if now >= s.slowStartEnds || set.config.SlowStartDuration <= 0 {
		return 1
	}
	return set.config.SlowStartInitialFraction + (1-set.config.SlowStartInitialFraction)*float64(max(0, now-s.slowStartBegan))/float64(set.config.SlowStartDuration)
}

// hasSlowStartBudget reports whether a server may take one more send from here. A server in
// slow start gets a multiple of what one at full capacity takes, by its slow-start factor. All
// balancers compute it alike, so that their sum stays under the server's overload limit. Outside
// the working set a server in slow start gets nothing: all balancers may fall back on it.
func (set *endpointSet) hasSlowStartBudget(s *server, now time.Duration) bool {
	if now >= s.slowStartEnds || !s.inWorkingSet {
		return now >= s.slowStartEnds
	}
	span, part := max(set.config.OverloadDuration, time.Millisecond), 1/float64(len(set.workingSet))
	rate := max(set.acceptedFraction*set.rate(now), set.nominalRate) * part * slowStartSafetyFactor * set.config.OverloadFactor * set.slowStartFactor(s, now)
	// where nothing was sent yet, one send in span from all balancers together
	rate = max(rate, min(1, float64(len(set.members))*part/float64(set.config.Instances))/span.Seconds())
	if rate*span.Seconds() < 1 && set.random() > decay(now-s.slowStartTokens.at, span) {
		s.slowStartTokens.tokens = set.random()
	}
	s.slowStartTokens.refill(rate, rate*span.Seconds(), now)
	return s.slowStartTokens.tokens >= 1
}
