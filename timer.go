package martendrum

import "time"

// setTimer asks the host for a timer and returns its cookie.
func (b *Balancer) setTimer(after time.Duration) uint64 {
	b.lastTimer++
	b.host.SetTimer(b.lastTimer, after)
	return b.lastTimer
}

// setRequestTimer sets q's timer.
func (b *Balancer) setRequestTimer(q *request, after time.Duration) {
	q.timer = b.setTimer(after)
	b.timers[q.timer] = q
}

// TimerFired takes a timer that came due. Stale ones are ignored.
func (b *Balancer) TimerFired(now time.Duration, cookie uint64) {
	if cookie == b.pollTimer && cookie != 0 {
		b.pollTimer = 0
		b.host.Subscribe()
		return
	}
	if q := b.timers[cookie]; q != nil {
		delete(b.timers, cookie)
		switch {
		case len(q.attempts) == 0:
			b.sendFirst(q, now)
		case q.StreamedBody: // it takes its time
		case q.hedgeDue:
			q.hedgeDue = false
			b.sendHedge(q, now)
			b.setRequestTimer(q, q.arrived+q.class.LatencyObjective-now)
		default:
			// Guards against hearing only by time-outs of a jam, or of a machine that hung
			// or was cut off. It may do harm to a slow one asked once in an aim.
			q.overdue = true
			calm := b.admission.decayedShedLevel(now) < shedTolerance
			b.admission.recordOutcome(false, true, b.endpoints.rate(now), now)
			for i := range q.attempts {
				if a := &q.attempts[i]; !a.done && calm && a.server.answeredAt < a.sent {
					b.endpoints.recordFailure(a.server, now)
				}
			}
		}
	}
}
