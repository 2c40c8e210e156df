package martendrum

import "time"

// setTimer sets a timer at the host and returns its cookie.
func (b *Balancer) setTimer(after time.Duration) uint64 {
	b.lastTimer++
	b.host.SetTimer(b.lastTimer, after)
	return b.lastTimer
}

// setRequestTimer sets a timer for the request and records its cookie in the request.
func (b *Balancer) setRequestTimer(request *openRequest, after time.Duration) {
	request.timer = b.setTimer(after)
	b.timers[request.timer] = request
}

// TimerFired does what the expired timer with the cookie was set for. A timer that is no longer
// needed is ignored.
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
	case request.StreamedBody: // its latency depends on the client, not only on the server
	case request.hedgeDue:
		request.hedgeDue = false
		b.sendHedge(request, now)
		b.setRequestTimer(request, request.arrived+request.class.LatencyObjective-now)
	default:
		b.recordOverdue(request, now)
	}
}

// recordOverdue counts a request that is unanswered at its latency objective as late. Unless this
// balancer sheds load, it also counts each attempt in flight as a failure of its server, if the
// server has answered nothing since the attempt was sent. A timeout would detect an overloaded, hung
// or unreachable server much later. A slow server that gets less than one request per latency
// objective may be counted as failing although it answers.
func (b *Balancer) recordOverdue(request *openRequest, now time.Duration) {
	request.overdue = true
	belowTolerance := b.admission.decayedShedLevel(now) < shedTolerance
	b.admission.updateShedLevel(false, true, b.endpoints.rate(now), now)
	if !belowTolerance {
		return
	}
	for i := range request.attempts {
		if a := &request.attempts[i]; !a.done && a.server.answeredAt < a.sent {
			b.endpoints.recordFailure(a.server, now)
		}
	}
}
