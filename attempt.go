package martendrum

import "time"

const (
	// A first attempt earns retryTokensPerRequest retries, of which maxRetryTokens accumulate.
	retryTokensPerRequest = 0.3
	maxRetryTokens        = 10.0
	// Requests of at least retryWeightFactor times the mean weight are retried without a token.
	retryWeightFactor = 2.0
)

// attempt is one send of a request.
type attempt struct {
	server                              *server
	sent                                time.Duration
	done, notExecuted, hedged, censored bool
	queueDepth                          float64 // what its server held by report, with it
	latency                             float64 // for answered attempts, in fractions of the aim
}

// firstPossiblyExecuted returns the first attempt that may have been executed, nil if
// all are proved not to have been.
func (r *openRequest) firstPossiblyExecuted() *attempt {
	for i := range r.attempts {
		if a := &r.attempts[i]; !a.done || !a.notExecuted {
			return a
		}
	}
	return nil
}

// mayAttempt reports whether the request may have one more attempt. anchor is its first
// attempt that may have been executed: from then on only idempotent requests, and keyed
// ones within their deduplication window, may be sent again.
func (b *Balancer) mayAttempt(request *openRequest, anchor *attempt, now time.Duration) bool {
	switch {
	case request.finished || request.streamed || len(request.attempts) >= min(request.maxAttempts, b.config.MaxAttempts) || now >= request.Deadline,
		request.pending > 0 && !b.config.AllowHedging:
		return false
	case request.class.Idempotency == Idempotent || anchor == nil:
		return true
	}
	return request.class.Idempotency == IdempotencyKeyed && now-anchor.sent < request.class.DedupWindow
}

// startAttempt sends the request's next attempt. It returns false if the request may not
// have one or no server can take it.
func (b *Balancer) startAttempt(request *openRequest, now time.Duration, isHedge bool) bool {
	anchor := request.firstPossiblyExecuted()
	if !b.mayAttempt(request, anchor, now) {
		return false
	}
	avoidFailing := true // asks for a server that does not fail the class
	eligible := func(s *server) bool {
		if avoidFailing && s.errorRate(request.Class, now) > maxErrorRate {
			return false
		}
		for i := range request.attempts {
			if request.attempts[i].server == s {
				return false
			}
		}
		return anchor == nil || request.class.Idempotency != IdempotencyKeyed || request.class.DedupScope == DedupScopeAll ||
			anchor.server.zone == s.zone && (request.class.DedupScope == DedupScopeZone || anchor.server.group == s.group)
	}
	s := b.endpoints.pick(now, eligible)
	if avoidFailing = s != nil; !avoidFailing {
		s = b.endpoints.pick(now, eligible)
	}
	if s == nil {
		return false
	}
	queueDepth := s.queueDepth(now)
	if b.config.Probes && request.class.LateWeight == 0 && // work that must come late only delays others
		b.endpoints.latencyPerQueued*queueDepth*float64(request.class.LatencyObjective) > float64(request.arrived+request.class.LatencyObjective-now) {
		return false
	}
	b.endpoints.recordSend(s, now)
	request.attempts = append(request.attempts, attempt{server: s, sent: now, hedged: isHedge, queueDepth: queueDepth})
	request.pending++
	sendWithin := request.Deadline - now
	if anchor != nil && request.class.Idempotency == IdempotencyKeyed {
		sendWithin = min(sendWithin, anchor.sent+request.class.DedupWindow-now)
	}
	b.host.Send(request.ID, s.name, request.Deadline-now, sendWithin)
	return true
}

// mayRetry reports whether the retry budget allows a retry after the outcome, and spends it.
// The budget binds only retries of rejected attempts of ordinary weight: where all queues
// are full, these only displace other requests.
func (b *Balancer) mayRetry(request *openRequest, outcome Outcome) bool {
	if outcome != Rejected { // what broke on the way says nothing of queues
		return true
	} else if b.retryTokens < 1 {
		return b.admission.weight(request.shedRank) >= retryWeightFactor*b.admission.meanWeight()
	}
	b.retryTokens--
	return true
}

// StreamStarted says that the body or the answer of the attempt streams: no other attempt
// may follow.
func (b *Balancer) StreamStarted(now time.Duration, id RequestID, index int) {
	request := b.requests[id]
	if request == nil || index < 0 || index >= len(request.attempts) {
		return
	}
	request.streamed = true
	b.cancelOthers(request, index)
}

// cancelOthers cancels the request's attempts in flight except the one at index.
func (b *Balancer) cancelOthers(request *openRequest, index int) {
	if !b.config.AllowCancellation || request.pending == 0 {
		return
	}
	for i := range request.attempts {
		if i != index && !request.attempts[i].done {
			b.host.Cancel(request.ID, i)
		}
	}
}
