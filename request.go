package martendrum

import (
	"cmp"
	"time"
)

// Request is a client's request.
type Request struct {
	ID             RequestID
	Class          int    // index into Config.Classes
	ClassAtArrival *Class // the class as it was when the request was read; nil: as it is now
	Tenant         int    // index into Config.TenantQuotas, -1: none
	Deadline       time.Duration
	StreamedBody   bool // the body is forwarded as it arrives: no hedges, and its latency is not recorded
}

// openRequest is a request that has not been answered, or that has attempts in flight.
type openRequest struct {
	Request
	class       *Class
	shedRank    int           // see admissionController.recordArrival
	maxAttempts int           // as configured when the request arrived
	arrived     time.Duration // when the request arrived
	attempts    []attempt
	pending     int // attempts without an outcome

	samplePair bool // the slower attempt is not cancelled, so that both latencies are recorded
	finished   bool // has its final answer
	streamed   bool // an attempt streams its body or answer, which excludes all others
	hedgeDue   bool // the timer is for the hedge, not for the latency objective
	overdue    bool // counted as late when the latency objective passed
	timer      uint64
}

// Arrive takes a client's request; the Balancer owes it one final answer. A request
// of an unknown class is rejected, one whose ID is open is ignored.
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

// sendFirst makes the request's first attempt and plans its hedge.
func (b *Balancer) sendFirst(request *openRequest, now time.Duration) {
	if !b.startAttempt(request, now, false) {
		b.finish(request)
		return
	}
	b.hedger.tokens = min(b.hedger.tokens+b.hedger.budget, maxHedgeTokens)
	b.retryTokens = min(b.retryTokens+retryTokensPerRequest, maxRetryTokens)
	b.planHedge(request, now)
}

// ClientDisconnected says that the client has left; attempts in flight are still reported.
func (b *Balancer) ClientDisconnected(now time.Duration, id RequestID) {
	if request := b.requests[id]; request != nil && !request.finished {
		b.closeRequest(request)
	}
}

// finish gives the request its final answer: a rejection where a retry is harmless,
// else a failure.
func (b *Balancer) finish(request *openRequest) {
	b.closeRequest(request)
	if !request.retryIsHarmless() {
		b.host.Fail(request.ID)
		return
	}
	// Clients that are rejected together must not return together.
	fraction := 0.5 + b.rng.Float64()/2
	b.host.Reject(request.ID, time.Duration(fraction*float64(b.config.MaxRetryAfter)))
}

// retryIsHarmless reports whether the client may send the request again, to any server.
func (r *openRequest) retryIsHarmless() bool {
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

// forget drops a request that is finished and has no attempt in flight.
func (b *Balancer) forget(request *openRequest) {
	if request.finished && request.pending == 0 {
		delete(b.requests, request.ID)
	}
}
