package martendrum

import "time"

// Outcome is how an attempt ended.
type Outcome int

const (
	// OK is an answer without an error.
	OK Outcome = iota
	// ServerError is an answer with an error.
	ServerError
	// Rejected means that the server rejected the attempt without executing it.
	Rejected
	// TimedOut means that no answer came in time.
	TimedOut
	// ConnectFailed means that no connection was made in time.
	ConnectFailed
	// Reset means that the connection broke.
	Reset
	// Cancelled means that the attempt was cancelled.
	Cancelled
	// NotSent means that the request was finished, or had used up its attempts.
	NotSent
)

// ProvablyNotExecuted reports whether the outcome proves that the attempt had no effect.
func (o Outcome) ProvablyNotExecuted() bool {
	return o == Rejected || o == ConnectFailed || o == NotSent
}

// AttemptFinished takes the outcome of the attempt at index; over says that the request has
// its final answer. Otherwise the request is retried or answered here, unless another
// attempt is still in flight.
func (b *Balancer) AttemptFinished(now time.Duration, id RequestID, index int, outcome Outcome, over bool, report LoadReport) {
	request := b.requests[id]
	if request == nil || index < 0 || index >= len(request.attempts) || request.attempts[index].done {
		return
	}
	a := &request.attempts[index]
	a.done = true
	a.notExecuted = outcome.ProvablyNotExecuted()
	request.pending--
	a.server.inFlight--
	b.recordOutcome(request, a, outcome, now, report)
	switch {
	case over:
		request.finished = true
		delete(b.timers, request.timer)
		if !request.samplePair || outcome != OK {
			b.cancelOthers(request, index)
		}
		b.forget(request)
	case request.finished:
		b.forget(request)
	case request.pending > 0: // another attempt may still answer
	case request.class.LateWeight == 0 && now >= request.arrived+request.class.LatencyObjective:
		b.finish(request) // a later answer would earn nothing
	case !b.mayRetry(request, outcome) || !b.startAttempt(request, now, false): // a planned hedge keeps its time
		b.finish(request)
	}
}

// recordOutcome records what an outcome says about the server, the load and latencies.
func (b *Balancer) recordOutcome(request *openRequest, a *attempt, outcome Outcome, now time.Duration, report LoadReport) {
	s := a.server
	latency := float64(now-a.sent) / float64(request.class.LatencyObjective)
	if outcome != Cancelled && outcome != NotSent && !request.overdue && !request.StreamedBody {
		late := now-request.arrived > request.class.LatencyObjective
		b.admission.updateShedLevel(outcome == Rejected, late, b.endpoints.rate(now), now)
	}
	b.endpoints.recordAcceptance(outcome != Rejected)
	b.endpoints.recordHealth(s, request.Class, outcome, now)
	if (outcome == OK || outcome == TimedOut) && !request.StreamedBody { // an error that comes fast is not a fast answer
		b.endpoints.recordLatency(s, outcome, report, latency, a.queueDepth, now)
	}
	if b.config.ConnectionCost > 0 && !s.inWorkingSet && s.inFlight == 0 {
		b.host.CloseIdle(s.name) // outside the working set the connection would stay open unused
	}
	if !a.hedged && outcome != NotSent {
		b.hedger.recordLoss(outcome == TimedOut, outcome == Cancelled && len(request.attempts) > 1)
	}
	if outcome == OK || outcome == Cancelled || outcome == TimedOut {
		b.recordHedgeSample(request, a, latency, outcome != OK)
	}
}
