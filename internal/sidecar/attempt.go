package sidecar

import (
	"log/slog"
	"time"

	"martendrum"
	"martendrum/internal/upstream"
)

// attempt is one attempt of a client's request. The fields that it adds to upstream.Attempt are
// guarded by the Host's lock.
type attempt struct {
	upstream.Attempt
	host    *Host
	request *clientRequest
	index   int // position among the request's attempts, from 0

	finished bool
	hedged   bool // another attempt was open when it was sent
	unsent   bool // cancelled before a byte was written
	neverRan bool // provably not executed
}

// Send implements martendrum.Host.
func (h *Host) Send(id martendrum.RequestID, server string, timeout, sendWithin time.Duration) {
	request := h.requests[id]
	if request == nil {
		return
	}
	now := time.Now()
	a := h.newAttempt(request, server, now.Add(timeout), now.Add(sendWithin))
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

// newAttempt returns the next attempt of a request. It expires at deadline, and its last byte must
// have been sent by sendBefore.
func (h *Host) newAttempt(request *clientRequest, server string, deadline, sendBefore time.Time) *attempt {
	exchange := request.exchange
	a := &attempt{
		host:    h,
		request: request,
		index:   len(request.attempts),
		hedged:  request.open > 0,
	}
	a.Attempt = upstream.Attempt{
		Request:            &exchange.Request,
		Server:             server,
		Deadline:           deadline,
		SendBefore:         sendBefore,
		Sink:               a,
		NonRepeatable:      exchange.Rules.Rules.Idempotency == martendrum.NonIdempotent,
		ClientDisconnected: exchange.ClientDisconnected,
		OnWritten:          h.onWritten,
	}
	a.OnPaused = a.answerPaused
	if exchange.Request.Stream != nil {
		a.OnClaimed, a.MaxSentTimeout = a.claimed, request.timeout
	}
	return a
}

// claimed tells the Balancer that this attempt has claimed the streamed body, so that no other attempt
// can send it.
func (a *attempt) claimed() {
	a.host.handle(func(now time.Duration) { a.host.balancer.StreamStarted(now, a.request.id, a.index) })
}

// answerPaused tells the Balancer that the answer to this attempt has begun and paused.
func (a *attempt) answerPaused() {
	a.host.meter.AnswerPaused()
	a.host.handle(func(now time.Duration) {
		if !a.finished {
			a.host.balancer.AttemptPaused(now, a.request.id, a.index)
		}
	})
}

// Cancel implements martendrum.Host.
func (h *Host) Cancel(id martendrum.RequestID, index int) {
	request := h.requests[id]
	if request == nil || index >= len(request.attempts) {
		return
	}
	a := request.attempts[index]
	a.unsent = !a.Abandon()
	h.enqueue(func() {
		a.Close()
		a.Done(martendrum.Cancelled, nil, martendrum.LoadReport{})
	})
}

// expireAttempt ends an open attempt at the deadline of its request.
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

// endAttempt handles the outcome of an attempt. Later outcomes of the same attempt are ignored.
func (h *Host) endAttempt(now time.Duration, a *attempt, outcome martendrum.Outcome, answer *upstream.Answer, report martendrum.LoadReport) {
	if a.finished {
		return
	}
	request := a.request
	a.finished, a.neverRan = true, a.unsent || outcome.ProvablyNotExecuted()
	request.open--
	if answer != nil && answer.Rest != nil && request.entry != nil {
		// The idempotency store records only complete answers, and sends them to the client
		// after Done has returned, when the rest can't be read any more.
		slog.Warn("server's answer is too long for the idempotency store", "server", a.Server)
		outcome, answer = martendrum.Reset, nil
	}
	if outcome == martendrum.OK && answer == nil && !request.answered {
		outcome = martendrum.Reset // the server's answer is missing, so there is nothing to forward
	}
	success := outcome == martendrum.OK && answer != nil
	served := success && !request.answered
	switch {
	case served:
		h.markAnswered(request)
		exchange := request.exchange
		h.recordEnd(request, Served, answer, func() { exchange.Serve(answer) })
	case success: // the client already has its response, but the answer is still recorded
		h.recordEnd(request, Served, answer, nil)
	}
	h.meter.AttemptFinished(outcome, a.hedged, served)
	if outcome == martendrum.NotSent && !request.answered && request.exchange.ClientDisconnected() { // the goroutine of the client's connection may not have noticed the disconnect yet
		h.balancer.ClientDisconnected(now, request.id)
		h.Fail(request.id)
	}
	h.balancer.AttemptFinished(now, request.id, a.index, outcome, request.answered, report)
	h.releaseIfDone(request)
}
