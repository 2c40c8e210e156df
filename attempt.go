package martendrum

import "time"

const (
	// A first send earns retryTokensPerRequest retries, to maxRetryTokens; retryWeightFactor times the mean worth needs none.
	retryTokensPerRequest = 0.3
	maxRetryTokens        = 10.0
	retryWeightFactor     = 2.0
)

// attempt is one send of a request.
type attempt struct {
	server                              *server
	sent                                time.Duration
	done, notExecuted, hedged, censored bool
	queueDepth                          float64 // what its server held by report, with it
	latency                             float64 // for answered attempts, in fractions of the aim
}

// firstPossiblyExecuted is the first attempt that may have run, nil if all proved not to have.
func (q *request) firstPossiblyExecuted() *attempt {
	for i := range q.attempts {
		if a := &q.attempts[i]; !a.done || !a.notExecuted {
			return a
		}
	}
	return nil
}

// mayAttempt says whether q may have one more attempt: a keyed request that may have
// run goes on inside its anchor's group and window only.
func (b *Balancer) mayAttempt(q *request, anchor *attempt, now time.Duration) bool {
	switch {
	case q.finished || q.streamed || len(q.attempts) >= min(q.maxAttempts, b.config.MaxAttempts) || now >= q.Deadline,
		q.pending > 0 && !b.config.AllowHedging:
		return false
	case q.class.Idempotency == Idempotent || anchor == nil:
		return true
	}
	return q.class.Idempotency == IdempotencyKeyed && now-anchor.sent < q.class.DedupWindow
}

// startAttempt sends q's next attempt, if it may have one and a server is to be had.
func (b *Balancer) startAttempt(q *request, now time.Duration, isCopy bool) bool {
	anchor := q.firstPossiblyExecuted()
	if !b.mayAttempt(q, anchor, now) {
		return false
	}
	sound := true // asks for a server that does not fail the class
	may := func(s *server) bool {
		if sound && s.errorRate(q.Class, now) > maxErrorRate {
			return false
		}
		for i := range q.attempts {
			if q.attempts[i].server == s {
				return false
			}
		}
		return anchor == nil || q.class.Idempotency != IdempotencyKeyed || q.class.DedupScope == DedupScopeAll ||
			anchor.server.zone == s.zone && (q.class.DedupScope == DedupScopeZone || anchor.server.group == s.group)
	}
	s := b.endpoints.pick(now, may)
	if sound = s != nil; !sound {
		s = b.endpoints.pick(now, may)
	}
	if s == nil {
		return false
	}
	held := s.queueDepth(now)
	if b.config.Probes && q.class.LateWeight == 0 && // work that must come late only delays others
		b.endpoints.latencyPerQueued*held*float64(q.class.LatencyObjective) > float64(q.arrived+q.class.LatencyObjective-now) {
		return false
	}
	b.endpoints.recordSend(s, now)
	q.attempts = append(q.attempts, attempt{server: s, sent: now, hedged: isCopy, queueDepth: held})
	q.pending++
	within := q.Deadline - now
	if anchor != nil && q.class.Idempotency == IdempotencyKeyed {
		within = min(within, anchor.sent+q.class.DedupWindow-now)
	}
	b.host.Send(q.ID, s.name, q.Deadline-now, within)
	return true
}

// mayRetry spends the retry budget, which binds all but the dearest work. Guards
// against retries that only push others out where all queues are full.
func (b *Balancer) mayRetry(q *request, o Outcome) bool {
	if o != Rejected { // what broke on the way says nothing of queues
		return true
	} else if b.retryTokens < 1 {
		return b.admission.weight(q.shedRank) >= retryWeightFactor*b.admission.meanWeight()
	}
	b.retryTokens--
	return true
}

// StreamStarted says that the answer or the body of attempt n streams: no other one can follow.
func (b *Balancer) StreamStarted(now time.Duration, id RequestID, n int) {
	q := b.requests[id]
	if q == nil || n < 0 || n >= len(q.attempts) {
		return
	}
	q.streamed = true
	b.cancelOthers(q, n)
}

// cancelOthers calls off what is out beside attempt n.
func (b *Balancer) cancelOthers(q *request, n int) {
	if !b.config.AllowCancellation || q.pending == 0 {
		return
	}
	for i := range q.attempts {
		if i != n && !q.attempts[i].done {
			b.host.Cancel(q.ID, i)
		}
	}
}
