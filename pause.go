package martendrum

import "time"

// AttemptPaused records that the answer to the attempt at index has begun and then paused for longer than
// usual. It may be sound and go on, or never end, which can't be told apart. The attempt is therefore not
// ended: while no other attempt may still answer, another one is started beside it, if the request's class
// and the retry budget allow that. The first complete answer is used. The server's pause counts as a
// failure until it answers.
func (b *Balancer) AttemptPaused(now time.Duration, id RequestID, index int) {
	request := b.requests[id]
	if request == nil || index < 0 || index >= len(request.attempts) {
		return
	}
	a := &request.attempts[index]
	if a.done || a.paused {
		return
	}
	a.paused = true
	b.endpoints.recordFailure(a.server, now)
	if !request.finished {
		b.hedgePaused(request, now)
	}
}

// hedgePaused starts another attempt if the answers of all attempts in flight have paused. Each takes a
// token of the retry budget, so that attempts do not multiply where all servers pause.
func (b *Balancer) hedgePaused(request *openRequest, now time.Duration) {
	if !request.allPaused() || b.retryTokens < 1 {
		return
	}
	if !b.config.AllowHedging {
		b.replacePaused(request, now)
		return
	}
	if b.startAttempt(request, now, true) {
		b.retryTokens--
	}
}

// allPaused reports whether there are attempts in flight and the answers of all of them have paused.
func (r *openRequest) allPaused() bool {
	for i := range r.attempts {
		if a := &r.attempts[i]; !a.done && !a.paused {
			return false
		}
	}
	return r.pending > 0
}

// replacePaused cancels the request's paused attempt, whose outcome leads to a retry, where two attempts
// must not be in flight at the same time. It does so only once for each request, and in the first half of
// its time, so that a sound answer that pauses has the larger part of the time for its second attempt.
func (b *Balancer) replacePaused(request *openRequest, now time.Duration) {
	possiblyExecuted := request.firstPossiblyExecuted()
	pausedIndex := len(request.attempts) - 1
	switch {
	case !b.config.AllowCancellation,
		request.replacedPaused,
		now-request.arrived > request.Deadline-now,
		request.class.LateWeight == 0 && now >= request.arrived+request.class.LatencyObjective, // there would be no retry
		!b.mayRepeat(request, possiblyExecuted, now),
		b.pickServer(request, possiblyExecuted, now) == nil:
		return
	}
	request.replacedPaused = true
	b.retryTokens--
	b.host.Cancel(request.ID, pausedIndex)
}
