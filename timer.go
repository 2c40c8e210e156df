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
	if request := b.timers[cookie]; request != nil {
		delete(b.timers, cookie)
		switch {
		case len(request.attempts) == 0:
			b.sendFirst(request, now)
		case request.StreamedBody: // it takes its time
		case request.hedgeDue:
			request.hedgeDue = false
			b.sendHedge(request, now)
			b.setRequestTimer(request, request.arrived+request.class.LatencyObjective-now)
		default:
			// Guards against hearing only by time-outs of a jam, or of a machine that hung
			// or was cut off. It may do harm to a slow one asked once in an aim.
			request.overdue = true
			calm := b.admission.decayedShedLevel(now) < shedTolerance
			b.admission.updateShedLevel(false, true, b.endpoints.rate(now), now)
			for i := range request.attempts {
				if a := &request.attempts[i]; !a.done && calm && a.server.answeredAt < a.sent {
					b.endpoints.recordFailure(a.server, now)
				}
			}
		}
	}
}
