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
	server      *server
	sent        time.Duration
	done        bool    // has an outcome
	notExecuted bool    // the outcome proves that it was not executed
	hedged      bool    // is a hedge
	censored    bool    // did not answer: latency is a lower bound
	queueDepth  float64 // of its server by load report, this attempt included
	latency     float64 // in fractions of the latency objective, if recorded
}

// noAttempt is an index that no attempt has.
const noAttempt = -1

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
	case request.finished,
		request.streamed,
		len(request.attempts) >= min(request.maxAttempts, b.config.MaxAttempts),
		now >= request.Deadline,
		request.pending > 0 && !b.config.AllowHedging:
		return false
	case request.class.Idempotency == Idempotent, anchor == nil:
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
	s := b.pickServer(request, anchor, now)
	if s == nil {
		return false
	}
	queueDepth := s.queueDepth(now)
	if b.wouldEarnNothing(request, queueDepth, now) {
		return false
	}
	b.endpoints.recordSend(s, now)
	request.attempts = append(request.attempts, attempt{server: s, sent: now, hedged: isHedge, queueDepth: queueDepth})
	request.pending++
	timeout := request.Deadline - now
	sendWithin := timeout
	if anchor != nil && request.class.Idempotency == IdempotencyKeyed {
		sendWithin = min(sendWithin, anchor.sent+request.class.DedupWindow-now)
	}
	b.host.Send(request.ID, s.name, timeout, sendWithin)
	return true
}

// pickServer picks a server for the request's next attempt, nil if there is none. Servers
// that fail the request's class are picked only if no other server is eligible.
func (b *Balancer) pickServer(request *openRequest, anchor *attempt, now time.Duration) *server {
	s := b.endpoints.pick(now, func(s *server) bool {
		return s.errorRate(request.Class, now) <= maxErrorRate && request.mayGoTo(s, anchor)
	})
	if s != nil {
		return s
	}
	return b.endpoints.pick(now, func(s *server) bool { return request.mayGoTo(s, anchor) })
}

// mayGoTo reports whether the next attempt may go to s: a server that has had no attempt of
// the request and, for a keyed request that may have been executed, is in anchor's scope.
func (r *openRequest) mayGoTo(s *server, anchor *attempt) bool {
	for i := range r.attempts {
		if r.attempts[i].server == s {
			return false
		}
	}
	if anchor == nil || r.class.Idempotency != IdempotencyKeyed {
		return true
	}
	switch r.class.DedupScope {
	case DedupScopeAll:
		return true
	case DedupScopeZone:
		return anchor.server.zone == s.zone
	}
	return anchor.server.zone == s.zone && anchor.server.group == s.group
}

// wouldEarnNothing reports whether an answer from a server with the queue depth would
// miss the latency objective and earn nothing, so that the attempt would only delay others.
// It is known only where servers are probed.
func (b *Balancer) wouldEarnNothing(request *openRequest, queueDepth float64, now time.Duration) bool {
	if !b.config.Probes || request.class.LateWeight != 0 {
		return false
	}
	expected := b.endpoints.latencyPerQueued * queueDepth * float64(request.class.LatencyObjective)
	return expected > float64(request.arrived+request.class.LatencyObjective-now)
}

// mayRetry reports whether the retry budget allows a retry after the outcome, and spends it.
// The budget binds only retries of rejected attempts of ordinary weight: where all queues
// are full, these only displace other requests.
func (b *Balancer) mayRetry(request *openRequest, outcome Outcome) bool {
	if outcome != Rejected { // other failures say nothing about queues
		return true
	}
	if b.retryTokens < 1 {
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
