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
	a.done, a.notExecuted = true, outcome.ProvablyNotExecuted()
	request.pending--
	a.server.inFlight--
	b.recordOutcome(request, a, outcome, now, report)
	if over {
		request.finished = true
		delete(b.timers, request.timer)
		if !request.samplePair || outcome != OK {
			b.cancelOthers(request, index)
		}
		b.forget(request)
		return
	}
	switch {
	case request.finished:
		b.forget(request)
	case request.pending > 0: // another attempt may still answer
	case request.class.LateWeight == 0 && now >= request.arrived+request.class.LatencyObjective: // nothing to win any more
		b.finish(request)
	case !b.mayRetry(request, outcome) || !b.startAttempt(request, now, false): // a planned copy keeps its time
		b.finish(request)
	}
}

// recordOutcome records what an outcome says about the server, the load and latencies.
func (b *Balancer) recordOutcome(request *openRequest, a *attempt, outcome Outcome, now time.Duration, report LoadReport) {
	s, latency := a.server, float64(now-a.sent)/float64(request.class.LatencyObjective)
	if outcome != Cancelled && outcome != NotSent && !request.overdue && !request.StreamedBody {
		b.admission.updateShedLevel(outcome == Rejected, now-request.arrived > request.class.LatencyObjective, b.endpoints.rate(now), now)
	}
	if b.endpoints.acceptedFraction *= 1 - meanStep; outcome != Rejected {
		b.endpoints.acceptedFraction += meanStep
	}
	switch outcome {
	case OK:
		s.answeredAt, s.failures, s.ejections = now, 0, 0
	case Rejected:
		s.answeredAt = now
	case ServerError, Reset, TimedOut, ConnectFailed:
		b.endpoints.recordFailure(s, now)
	}
	if outcome == ServerError {
		s.errorRates[request.Class] = tokenBucket{s.errorRate(request.Class, now)*(1-errorRateStep) + errorRateStep, now}
	}
	if (outcome == OK || outcome == TimedOut) && !request.StreamedBody { // not after an error: failing fast is not being fast
		b.endpoints.recordLatency(s, outcome, report, latency, a.queueDepth, now)
	}
	if b.config.ConnectionCost > 0 && !s.inWorkingSet && s.inFlight == 0 {
		b.host.CloseIdle(s.name) // a guest's connection would stand open unused
	}
	if !a.hedged && outcome != NotSent {
		b.hedger.recordLoss(outcome == TimedOut, outcome == Cancelled && len(request.attempts) > 1)
	}
	if request.class.Idempotency == NonIdempotent || request.StreamedBody || (outcome != OK && outcome != Cancelled && outcome != TimedOut) {
		return
	}
	a.latency, a.censored = latency, outcome != OK
	if a.hedged {
		b.hedger.hedges.add(sample{latency, a.censored}, hedgeWindow)
	} else {
		b.hedger.addPrimary(sample{latency, a.censored})
	}
	if request.samplePair && request.pending == 0 && len(request.attempts) == 2 {
		x, y := &request.attempts[0], &request.attempts[1]
		if !x.censored && !y.censored && x.latency > 0 && y.latency > 0 {
			b.hedger.pairs.add(pair{x.latency, y.latency}, pairWindow)
		}
	}
}
