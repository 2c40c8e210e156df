package martendrum

import (
	"cmp"
	"time"
)

// Request is a client's request as the host passes it to Balancer.Arrive.
type Request struct {
	ID             RequestID
	Class          int           // index into Config.Classes
	ClassAtArrival *Class        // the class when the host read the request, nil if it has not changed since
	Tenant         int           // index into Config.TenantQuotas, -1 if the request has no tenant
	Deadline       time.Duration // point in time by which the final answer is due
	StreamedBody   bool          // the body is forwarded as it arrives: no hedges, and the latency is not recorded
}

// openRequest is a request that has no final answer yet, or that still has attempts in flight.
type openRequest struct {
	Request
	class       *Class
	shedRank    int           // its rank in the order of shedding; see admissionController
	maxAttempts int           // Config.MaxAttempts when the request arrived
	arrived     time.Duration // time of arrival
	attempts    []attempt
	pending     int // number of attempts without an outcome

	samplePair     bool   // the slower attempt is not cancelled, so that both latencies are recorded
	finished       bool   // it has its final answer
	streamed       bool   // an attempt streams its body or its answer, so there are no further attempts
	hedgeDue       bool   // the timer is set for the hedge, not for the latency objective
	replacedPaused bool   // an attempt was cancelled because its answer had paused
	overdue        bool   // it was unanswered at its latency objective and has been counted as late
	timer          uint64 // cookie of the timer that was set last
}

// Arrive passes a new request to the Balancer, which guarantees it exactly one final
// answer: by Host.Reject, by Host.Fail, or from an attempt. A request of an unknown class is
// rejected. A request with the ID of an open one is ignored.
func (b *Balancer) Arrive(now time.Duration, r Request) {
	if b.requests[r.ID] != nil {
		return
	}
	if r.Class < 0 || r.Class >= len(b.config.Classes) {
		b.host.Reject(r.ID, 0)
		return
	}
	request := &openRequest{
		Request:     r,
		class:       cmp.Or(r.ClassAtArrival, &b.config.Classes[r.Class]),
		maxAttempts: b.config.MaxAttempts,
		arrived:     now,
	}
	b.requests[r.ID] = request
	request.shedRank = b.admission.recordArrival(r.Class, r.Tenant, now)
	switch {
	case b.rng.Float64() < b.admission.shedProbability(request.shedRank, now):
		b.finish(request)
	case b.config.Probes && !b.bounds.SuspendOptionalWork:
		b.probeBeforeSend(request, now)
	default:
		b.sendFirst(request, now)
	}
}

// sendFirst sends the request's first attempt and plans its hedge. It finishes the request if no
// attempt is possible.
func (b *Balancer) sendFirst(request *openRequest, now time.Duration) {
	if !b.startAttempt(request, now, false) {
		b.finish(request)
		return
	}
	b.hedger.tokens = min(b.hedger.tokens+b.hedger.budget, maxHedgeTokens)
	b.retryTokens = min(b.retryTokens+retryTokensPerRequest, maxRetryTokens)
	b.planHedge(request, now)
}

// ClientDisconnected ends a request whose client has disconnected. The request gets no answer, and its
// attempts in flight are cancelled where that is allowed. The host must still pass the outcomes of these
// attempts to AttemptFinished.
func (b *Balancer) ClientDisconnected(now time.Duration, id RequestID) {
	if request := b.requests[id]; request != nil && !request.finished {
		b.closeRequest(request)
	}
}

// finish gives the request its final answer: Host.Reject if the client may safely retry, or else
// Host.Fail.
func (b *Balancer) finish(request *openRequest) {
	b.closeRequest(request)
	if !request.clientMayRetry() {
		b.host.Fail(request.ID)
		return
	}
	// The delay is random, so that clients rejected at the same time do not retry at the same
	// time.
	fraction := 0.5 + b.rng.Float64()/2
	b.host.Reject(request.ID, time.Duration(fraction*float64(b.config.MaxRetryAfter)))
}

// clientMayRetry reports whether the client may safely send the request again, to any server.
func (r *openRequest) clientMayRetry() bool {
	switch {
	case r.class.Idempotency == Idempotent:
		return true
	case r.class.Idempotency == IdempotencyKeyed && r.class.DedupScope == DedupScopeAll:
		return true
	}
	return r.firstPossiblyExecuted() == nil
}

// closeRequest marks the request as finished and cancels its attempts in flight.
func (b *Balancer) closeRequest(request *openRequest) {
	request.finished = true
	delete(b.timers, request.timer)
	b.cancelOthers(request, noAttempt)
	b.forget(request)
}

// forget deletes a request if it is finished and has no attempt in flight.
func (b *Balancer) forget(request *openRequest) {
	if request.finished && request.pending == 0 {
		delete(b.requests, request.ID)
	}
}
