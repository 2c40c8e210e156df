package martendrum

import "time"

// Outcome is how an attempt ended.
type Outcome int

const (
	OK            Outcome = iota
	ServerError           // the server answered with an error
	Rejected              // turned away unseen
	TimedOut              // no answer in time
	ConnectFailed         // no connection in time
	Reset                 // the connection broke
	Cancelled             // called off
	NotSent               // the request was over or its attempts used up
)

// ProvablyNotExecuted says whether the outcome proves that the attempt had no effect.
func (o Outcome) ProvablyNotExecuted() bool {
	return o == Rejected || o == ConnectFailed || o == NotSent
}

// AttemptFinished takes an attempt's outcome; over says that the request has ended.
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

// recordOutcome logs what an outcome tells of the server and of response times.
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
