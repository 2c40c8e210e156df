package martendrum

import "time"

// setTimer requests a timer from the host and returns its cookie.
func (b *Balancer) setTimer(after time.Duration) uint64 {
	b.lastTimer++
	b.host.SetTimer(b.lastTimer, after)
	return b.lastTimer
}

// setRequestTimer sets the request's timer.
func (b *Balancer) setRequestTimer(request *openRequest, after time.Duration) {
	request.timer = b.setTimer(after)
	b.timers[request.timer] = request
}

// TimerFired takes a timer that has expired. Stale ones are ignored.
func (b *Balancer) TimerFired(now time.Duration, cookie uint64) {
	if cookie == b.pollTimer && cookie != 0 {
		b.pollTimer = 0
		b.host.Subscribe()
		return
	}
	request := b.timers[cookie]
	if request == nil {
		return
	}
	delete(b.timers, cookie)
	switch {
	case len(request.attempts) == 0: // the wait for probes is over
		b.sendFirst(request, now)
	case request.StreamedBody: // its latency says nothing of the server
	case request.hedgeDue:
		request.hedgeDue = false
		b.sendHedge(request, now)
		b.setRequestTimer(request, request.arrived+request.class.LatencyObjective-now)
	default:
		b.recordOverdue(request, now)
	}
}

// recordOverdue counts a request that is unanswered at its latency objective as late, and its
// attempts as failures of servers that have answered nothing since. Their timeouts would tell
// of a jammed, hung or unreachable server only much later. A slow server that gets less than
// one request per latency objective may be counted wrongly.
func (b *Balancer) recordOverdue(request *openRequest, now time.Duration) {
	request.overdue = true
	calm := b.admission.decayedShedLevel(now) < shedTolerance
	b.admission.updateShedLevel(false, true, b.endpoints.rate(now), now)
	if !calm {
		return
	}
	for i := range request.attempts {
		if a := &request.attempts[i]; !a.done && a.server.answeredAt < a.sent {
			b.endpoints.recordFailure(a.server, now)
		}
	}
}
