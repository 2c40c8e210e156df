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

// startReading reads the starts of one list.
type startReading struct {
	now    time.Duration
	first  bool          // nothing has been told before
	newest time.Duration // the newest start on the list
}

// readStarts returns the reading of a list that is told now.
func (f *endpointSet) readStarts(list []Endpoint, now time.Duration) startReading {
	reading := startReading{now: now, first: !f.listReceived}
	for _, e := range list {
		reading.newest = max(reading.newest, e.Started)
	}
	return reading
}

// slowStartBegan returns from when on, on the balancer's clock, a start counts.
func (r startReading) countsFrom(started time.Duration) time.Duration {
	if !r.first {
		return r.now
	}
	return r.now - max(0, min(r.now, r.newest)-started)
}
