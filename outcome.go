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
func (b *Balancer) AttemptFinished(now time.Duration, id RequestID, n int, o Outcome, over bool, rep LoadReport) {
	q := b.requests[id]
	if q == nil || n < 0 || n >= len(q.attempts) || q.attempts[n].done {
		return
	}
	a := &q.attempts[n]
	a.done, a.notExecuted = true, o.ProvablyNotExecuted()
	q.pending--
	a.server.inFlight--
	b.recordOutcome(q, a, o, now, rep)
	if over {
		q.finished = true
		delete(b.timers, q.timer)
		if !q.samplePair || o != OK {
			b.cancelOthers(q, n)
		}
		b.forget(q)
		return
	}
	switch {
	case q.finished:
		b.forget(q)
	case q.pending > 0: // another attempt may still answer
	case q.class.LateWeight == 0 && now >= q.arrived+q.class.LatencyObjective: // nothing to win any more
		b.finish(q)
	case !b.mayRetry(q, o) || !b.startAttempt(q, now, false): // a planned copy keeps its time
		b.finish(q)
	}
}

// recordOutcome logs what an outcome tells of the server and of response times.
func (b *Balancer) recordOutcome(q *request, a *attempt, o Outcome, now time.Duration, rep LoadReport) {
	s, took := a.server, float64(now-a.sent)/float64(q.class.LatencyObjective)
	if o != Cancelled && o != NotSent && !q.overdue && !q.StreamedBody {
		b.admission.recordOutcome(o == Rejected, now-q.arrived > q.class.LatencyObjective, b.endpoints.rate(now), now)
	}
	if b.endpoints.acceptedFraction *= 1 - meanStep; o != Rejected {
		b.endpoints.acceptedFraction += meanStep
	}
	switch o {
	case OK:
		s.answeredAt, s.failures, s.ejections = now, 0, 0
	case Rejected:
		s.answeredAt = now
	case ServerError, Reset, TimedOut, ConnectFailed:
		b.endpoints.recordFailure(s, now)
	}
	if o == ServerError {
		s.errorRates[q.Class] = tokenBucket{s.errorRate(q.Class, now)*(1-errorRateStep) + errorRateStep, now}
	}
	if (o == OK || o == TimedOut) && !q.StreamedBody { // not after an error: failing fast is not being fast
		b.endpoints.recordLatency(s, o, rep, took, a.queueDepth, now)
	}
	if b.config.ConnectionCost > 0 && !s.inWorkingSet && s.inFlight == 0 {
		b.host.CloseIdle(s.name) // a guest's connection would stand open unused
	}
	if !a.hedged && o != NotSent {
		b.hedger.recordLoss(o == TimedOut, o == Cancelled && len(q.attempts) > 1)
	}
	if q.class.Idempotency == NonIdempotent || q.StreamedBody || (o != OK && o != Cancelled && o != TimedOut) {
		return
	}
	a.latency, a.censored = took, o != OK
	if a.hedged {
		b.hedger.hedges.add(sample{took, a.censored}, hedgeWindow)
	} else {
		b.hedger.addPrimary(sample{took, a.censored})
	}
	if q.samplePair && q.pending == 0 && len(q.attempts) == 2 {
		x, y := &q.attempts[0], &q.attempts[1]
		if !x.censored && !y.censored && x.latency > 0 && y.latency > 0 {
			b.hedger.pairs.add(pair{x.latency, y.latency}, pairWindow)
		}
	}
}
