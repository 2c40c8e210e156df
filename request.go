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
	class              *Class
	shedRank           int // for shedding
	maxAttempts        int // attempts, as the configuration stood
	arrived            time.Duration
	attempts           []attempt
	pending            int  // attempts without an outcome
	samplePair         bool // the loser runs on, to log both times
	finished, streamed bool
	hedgeDue, overdue  bool // the timer is for a copy, not for the aim; counted as late
	timer              uint64
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
	request := &openRequest{Request: r, class: cmp.Or(r.ClassAtArrival, &b.config.Classes[r.Class]), maxAttempts: b.config.MaxAttempts, arrived: now}
	b.requests[r.ID] = request
	request.shedRank = b.admission.recordArrival(r.Class, r.Tenant, now)
	if b.rng.Float64() < b.admission.shedProbability(request.shedRank, now) {
		b.finish(request)
		return
	}
	if b.config.Probes && !b.bounds.SuspendOptionalWork {
		b.endpoints.refresh(now)
		for range probesPerRequest {
			if s := b.endpoints.draw(); s != nil {
				b.host.Probe(s.name)
			}
		}
		b.setRequestTimer(request, min(time.Duration(probeWaitFraction*float64(request.class.LatencyObjective)), (request.Deadline-now)/2))
		return
	}
	b.sendFirst(request, now)
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
	if request.class.Idempotency == Idempotent || request.class.Idempotency == IdempotencyKeyed && request.class.DedupScope == DedupScopeAll || request.firstPossiblyExecuted() == nil {
		// Those refused together must not return together.
		b.host.Reject(request.ID, time.Duration((0.5+b.rng.Float64()/2)*float64(b.config.MaxRetryAfter)))
	} else {
		b.host.Fail(request.ID)
	}
}

// closeRequest marks the request as finished and cancels its attempts in flight.
func (b *Balancer) closeRequest(request *openRequest) {
	request.finished = true
	delete(b.timers, request.timer)
	b.cancelOthers(request, -1)
	b.forget(request)
}

// forget drops a request that is finished and has no attempt in flight.
func (b *Balancer) forget(request *openRequest) {
	if request.finished && request.pending == 0 {
		delete(b.requests, request.ID)
	}
}
