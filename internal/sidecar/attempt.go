package sidecar

import (
	"log/slog"
	"time"

	"martendrum"
	"martendrum/internal/upstream"
)

// attempt is one attempt of a request. Its own fields are guarded by the Host's lock.
type attempt struct {
	upstream.Attempt
	host    *Host
	request *clientRequest
	index   int // among the request's attempts

	finished bool
	hedged   bool // another attempt was open when it was sent
	unsent   bool // cancelled before a byte was written
	neverRan bool // provably not executed
}

// Send implements martendrum.Host.
func (h *Host) Send(id martendrum.RequestID, server string, timeout, within time.Duration) {
	request := h.requests[id]
	if request == nil {
		return
	}
	now := time.Now()
	a := h.newAttempt(request, server, now.Add(timeout), now.Add(within))
	if a.index == 0 {
		h.meter.ProcessingTime(now.Sub(request.exchange.Received))
	}
	h.meter.AttemptStarted(a.hedged)
	request.attempts = append(request.attempts, a)
	request.open++
	if entry := request.entry; entry != nil {
		h.enqueue(func() { h.sendRecorded(entry, a) })
		return
	}
	h.enqueue(func() { h.pool.Start(&a.Attempt) })
}

// newAttempt returns the next attempt of a request.
func (h *Host) newAttempt(request *clientRequest, server string, deadline, latest time.Time) *attempt {
	x := request.exchange
	a := &attempt{
		host:    h,
		request: request,
		index:   len(request.attempts),
		hedged:  request.open > 0,
	}
	a.Attempt = upstream.Attempt{
		Request:       &x.Request,
		Server:        server,
		Deadline:      deadline,
		SendBefore:    latest,
		Sink:          a,
		NonRepeatable: x.Rules.Rules.Idempotency == martendrum.NonIdempotent,
		ClientLeft:    x.ClientLeft,
		OnWritten:     h.wrote,
	}
	if x.Request.Stream != nil {
		a.OnClaimed, a.OnWritten, a.Patience = a.claimed, a.uploaded, request.timeout
	}
	return a
}

// claimed tells the Balancer that no other attempt can send the request's body.
func (a *attempt) claimed() {
	a.host.handle(func(now time.Duration) { a.host.balancer.StreamStarted(now, a.request.id, a.index) })
}

// uploaded sets the final deadline of a streamed request, whose timeout begins after its upload.
func (a *attempt) uploaded() {
	h := a.host
	h.wrote()
	h.handle(func(now time.Duration) {
		request := a.request
		if request.exchange == nil || request.answered {
			return
		}
		h.setDeadline(request, h.beforeStop(min(request.deadline, now+request.timeout)))
	})
}

// Cancel implements martendrum.Host.
func (h *Host) Cancel(id martendrum.RequestID, n int) {
	request := h.requests[id]
	if request == nil || n >= len(request.attempts) {
		return
	}
	a := request.attempts[n]
	a.unsent = !a.Abandon()
	h.enqueue(func() {
		a.Close()
		a.Done(martendrum.Cancelled, nil, martendrum.LoadReport{})
	})
}

// expireAttempt ends an attempt at the deadline of its request.
func (h *Host) expireAttempt(now time.Duration, a *attempt) {
	outcome := martendrum.TimedOut
	if !a.Abandon() {
		outcome = martendrum.ConnectFailed // nothing was sent
	}
	h.enqueue(a.Close)
	h.endAttempt(now, a, outcome, nil, martendrum.LoadReport{})
}

// Done implements upstream.Sink.
func (a *attempt) Done(outcome martendrum.Outcome, answer *upstream.Answer, report martendrum.LoadReport) {
	a.host.handle(func(now time.Duration) { a.host.endAttempt(now, a, outcome, answer, report) })
}

// endAttempt handles an attempt's outcome. Only the first outcome counts.
func (h *Host) endAttempt(now time.Duration, a *attempt, outcome martendrum.Outcome, answer *upstream.Answer, report martendrum.LoadReport) {
	if a.finished {
		return
	}
	request := a.request
	a.finished, a.neverRan = true, a.unsent || outcome.ProvablyNotExecuted()
	request.open--
	if answer != nil && answer.Rest != nil && request.entry != nil {
		// The idempotency store records complete answers only, and serves them after Done.
		slog.Warn("an answer too long for the record", "server", a.Server)
		outcome, answer = martendrum.Reset, nil
	}
	if outcome == martendrum.OK && answer == nil && !request.answered {
		outcome = martendrum.Reset // there is no answer to forward
	}
	success := outcome == martendrum.OK && answer != nil
	served := success && !request.answered
	switch {
	case served:
		h.markAnswered(request)
		x := request.exchange
		h.recordEnd(request, Served, answer, func() { x.Serve(answer) })
	case success: // too late for the client, but still recorded
		h.recordEnd(request, Served, answer, nil)
	}
	h.meter.AttemptFinished(outcome, a.hedged, served)
	if outcome == martendrum.NotSent && !request.answered && request.exchange.ClientLeft() { // the connection's goroutine may not have noticed yet
		h.balancer.ClientDisconnected(now, request.id)
		h.Fail(request.id)
	}
	h.balancer.AttemptFinished(now, request.id, a.index, outcome, request.answered, report)
	h.releaseIfDone(request)
}
