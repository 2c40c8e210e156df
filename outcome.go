package martendrum

import "time"

// Outcome tells how an attempt ended.
type Outcome int

const (
	// OK means that the server answered without an error.
	OK Outcome = iota
	// ServerError means that the server answered with an error.
	ServerError
	// Rejected means that the server rejected the attempt without executing it.
	Rejected
	// TimedOut means that no answer came in time.
	TimedOut
	// ConnectFailed means that no connection was established in time, or that it broke before the
	// whole request had been sent.
	ConnectFailed
	// Reset means that the connection broke before the answer was complete.
	Reset
	// Cancelled means that the attempt was cancelled.
	Cancelled
	// NotSent means that the host did not send the attempt, for example because the request was
	// finished or had used up its attempts.
	NotSent
)

// ProvablyNotExecuted reports whether the outcome proves that the server did not execute the
// attempt.
func (o Outcome) ProvablyNotExecuted() bool {
	return o == Rejected || o == ConnectFailed || o == NotSent
}

// AttemptFinished records the outcome of the attempt at index and the load report that came with
// it. answered means that the request has its final answer. Otherwise the Balancer retries the
// request or ends it with Host.Reject or Host.Fail, unless another attempt is still in flight. A
// second outcome of an attempt, and one of an unknown attempt, is ignored.
func (b *Balancer) AttemptFinished(now time.Duration, id RequestID, index int, outcome Outcome, answered bool, report LoadReport) {
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
	case answered:
		request.finished = true
		delete(b.timers, request.timer)
		if !request.samplePair || outcome != OK {
			b.cancelOthers(request, index)
		}
		b.forget(request)
	case request.finished:
		b.forget(request)
	case request.pending > 0: // another attempt may still answer
		b.hedgePaused(request, now)
	case request.class.LateWeight == 0 && now >= request.arrived+request.class.LatencyObjective:
		b.finish(request) // a later answer would have no value
	case !b.mayRetry(request, outcome) || !b.startAttempt(request, now, false): // a retry does not change the time of a planned hedge
		b.finish(request)
	}
}

// recordOutcome updates the shed level, the state of the server and the samples of the hedger with
// the outcome of an attempt.
func (b *Balancer) recordOutcome(request *openRequest, a *attempt, outcome Outcome, now time.Duration, report LoadReport) {
	s := a.server
	latency := float64(now-a.sent) / float64(request.class.LatencyObjective)
	if outcome != Cancelled && outcome != NotSent && !request.overdue && !request.StreamedBody {
		late := now-request.arrived > request.class.LatencyObjective
		b.admission.updateShedLevel(outcome == Rejected, late, b.endpoints.rate(now), now)
	}
	b.endpoints.recordAcceptance(outcome != Rejected)
	b.endpoints.recordHealth(s, request.Class, outcome, now)
	if (outcome == OK || outcome == TimedOut) && !request.StreamedBody { // a fast error does not mean that the server is fast
		b.endpoints.recordLatency(s, outcome, report, latency, a.queueDepth, now)
	}
	if b.config.ConnectionCost > 0 && !s.inWorkingSet && s.inFlight == 0 {
		b.host.CloseIdle(s.name) // a server outside the working set gets hardly any requests to use the connection
	}
	if !a.isHedge && outcome != NotSent {
		b.hedger.recordLoss(outcome == TimedOut, outcome == Cancelled && len(request.attempts) > 1)
	}
	if outcome == OK || outcome == Cancelled || outcome == TimedOut {
		b.recordHedgeSample(request, a, latency, outcome != OK)
	}
}
