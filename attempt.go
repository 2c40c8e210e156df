package martendrum

import "time"

const (
	// Each first attempt adds retryTokensPerRequest retries to the retry budget, which holds
	// at most maxRetryTokens.
	retryTokensPerRequest = 0.3
	maxRetryTokens        = 10.0
	// A request of at least retryWeightFactor times the mean weight is retried even when the
	// retry budget is empty.
	retryWeightFactor = 2.0
)

// attempt is one attempt of a request: a first attempt, a retry or a hedge.
type attempt struct {
	server      *server
	sent        time.Duration
	done        bool // it has an outcome
	notExecuted bool // the outcome proves that the server did not execute it
	isHedge     bool
	paused      bool    // its answer has begun and paused; see AttemptPaused
	censored    bool    // it had no answer, so latency is only a lower bound
	queueDepth  float64 // the server's queue depth when sent, by its last load report, this attempt included
	latency     float64 // as a fraction of the latency objective, 0 if not recorded
}

// noAttempt is an index that no attempt has; see cancelOthers.
const noAttempt = -1

// firstPossiblyExecuted returns the first attempt that a server may have executed, nil if all
// attempts are known not to have been executed.
func (r *openRequest) firstPossiblyExecuted() *attempt {
	for i := range r.attempts {
		if a := &r.attempts[i]; !a.done || !a.notExecuted {
			return a
		}
	}
	return nil
}

// mayAttempt reports whether the request may have one more attempt. possiblyExecuted is the
// result of firstPossiblyExecuted. If it is not nil, the request must be idempotent, or keyed and
// within its deduplication window.
func (b *Balancer) mayAttempt(request *openRequest, possiblyExecuted *attempt, now time.Duration) bool {
	return (request.pending == 0 || b.config.AllowHedging) && b.mayRepeat(request, possiblyExecuted, now)
}

// mayRepeat is mayAttempt without the condition on attempts in flight.
func (b *Balancer) mayRepeat(request *openRequest, possiblyExecuted *attempt, now time.Duration) bool {
	switch {
	case request.finished,
		request.streamed,
		len(request.attempts) >= min(request.maxAttempts, b.config.MaxAttempts),
		now >= request.Deadline:
		return false
	case request.class.Idempotency == Idempotent, possiblyExecuted == nil:
		return true
	}
	return request.class.Idempotency == IdempotencyKeyed && now-possiblyExecuted.sent < request.class.DedupWindow
}

// startAttempt sends the request's next attempt. It returns false, and sends nothing, if the
// request may have no more attempts, if no server is eligible, or if the answer is expected to
// be too late.
func (b *Balancer) startAttempt(request *openRequest, now time.Duration, isHedge bool) bool {
	possiblyExecuted := request.firstPossiblyExecuted()
	if !b.mayAttempt(request, possiblyExecuted, now) {
		return false
	}
	s := b.pickServer(request, possiblyExecuted, now)
	if s == nil {
		return false
	}
	queueDepth := s.queueDepth(now)
	if b.isExpectedTooLate(request, queueDepth, now) {
		return false
	}
	b.endpoints.recordSend(s, now)
	request.attempts = append(request.attempts, attempt{server: s, sent: now, isHedge: isHedge, queueDepth: queueDepth})
	request.pending++
	timeout := request.Deadline - now
	sendWithin := timeout
	if possiblyExecuted != nil && request.class.Idempotency == IdempotencyKeyed {
		sendWithin = min(sendWithin, possiblyExecuted.sent+request.class.DedupWindow-now)
	}
	b.host.Send(request.ID, s.name, timeout, sendWithin)
	return true
}

// pickServer picks a server for the request's next attempt, nil if there is none. A server whose
// error rate for the request's class is above maxErrorRate is picked only if no other server is
// eligible.
func (b *Balancer) pickServer(request *openRequest, possiblyExecuted *attempt, now time.Duration) *server {
	s := b.endpoints.pick(now, func(s *server) bool {
		return s.errorRate(request.Class, now) <= maxErrorRate && request.mayGoTo(s, possiblyExecuted)
	})
	if s != nil {
		return s
	}
	return b.endpoints.pick(now, func(s *server) bool { return request.mayGoTo(s, possiblyExecuted) })
}

// mayGoTo reports whether the next attempt may go to s. The server must have had no attempt of
// the request. If a keyed request may have been executed, s must also deduplicate together with
// the server of possiblyExecuted.
func (r *openRequest) mayGoTo(s *server, possiblyExecuted *attempt) bool {
	for i := range r.attempts {
		if r.attempts[i].server == s {
			return false
		}
	}
	if possiblyExecuted == nil || r.class.Idempotency != IdempotencyKeyed {
		return true
	}
	switch r.class.DedupScope {
	case DedupScopeAll:
		return true
	case DedupScopeZone:
		return possiblyExecuted.server.zone == s.zone
	}
	return possiblyExecuted.server.zone == s.zone && possiblyExecuted.server.group == s.group
}

// isExpectedTooLate reports whether an answer from a server with the queue depth is expected after
// the latency objective, in a class where a late answer has no value. Such an attempt would only
// delay other requests. Only where servers are probed can this be known; elsewhere it is false.
func (b *Balancer) isExpectedTooLate(request *openRequest, queueDepth float64, now time.Duration) bool {
	if !b.config.Probes || request.class.LateWeight != 0 {
		return false
	}
	expected := b.endpoints.latencyPerQueued * queueDepth * float64(request.class.LatencyObjective)
	return expected > float64(request.arrived+request.class.LatencyObjective-now)
}

// mayRetry reports whether the request may be retried after the outcome. The retry budget limits only
// retries after a rejection, each of which takes a token: where the queues of all servers are full,
// such retries only displace other requests. If the budget is empty, only requests of high weight are
// retried.
func (b *Balancer) mayRetry(request *openRequest, outcome Outcome) bool {
	if outcome != Rejected { // other failures do not mean that queues are full
		return true
	}
	if b.retryTokens < 1 {
		return b.admission.weight(request.shedRank) >= retryWeightFactor*b.admission.meanWeight()
	}
	b.retryTokens--
	return true
}

// StreamStarted records that the host has begun to stream the body or the answer of the attempt
// at index. The request gets no further attempts, and its other attempts are cancelled.
func (b *Balancer) StreamStarted(now time.Duration, id RequestID, index int) {
	request := b.requests[id]
	if request == nil || index < 0 || index >= len(request.attempts) {
		return
	}
	request.streamed = true
	b.cancelOthers(request, index)
}

// cancelOthers cancels the request's attempts in flight except the one at index, or all of them
// if index is noAttempt. It does nothing where Config.AllowCancellation is false.
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
