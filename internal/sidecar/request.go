package sidecar

import (
	"log/slog"
	"time"

	"martendrum"
	"martendrum/internal/downstream"
	"martendrum/internal/metrics"
)

// deadlineMargin is how much earlier than by the client's own clock a deadline is met:
// the response has still to reach the client.
const deadlineMargin = 5 * time.Millisecond

// clientRequest is a request that has no final response yet, or whose attempts are still open.
// It is guarded by the Host's lock.
type clientRequest struct {
	id       martendrum.RequestID
	exchange *downstream.Exchange // nil: released
	deadline time.Duration
	timeout  time.Duration // from its last byte to its deadline
	timer    *timer        // at its deadline
	attempts []*attempt
	open     int  // attempts that have not ended
	answered bool // it has its final response, or needs none any more

	awaitsRecord bool  // the recorder has not admitted it yet: the Balancer does not know it
	entry        Entry // nil: it is not recorded
	recordedEnd  End   // what the recorder was given
}

// Arrive implements downstream.Handler.
func (h *Host) Arrive(x *downstream.Exchange) {
	h.handle(func(now time.Duration) {
		if !h.reserveInFlight() {
			h.rejectAtLimit(x)
			return
		}
		request := h.newRequest(now, x)
		if h.recorder == nil {
			h.admit(now, request)
			return
		}
		request.awaitsRecord = true
		left := request.deadline - now
		h.enqueue(func() {
			h.recorder.Begin(x, left, func(verdict Verdict) { h.admitRecorded(request, verdict) })
		})
	})
}

// rejectAtLimit rejects a request because too many are in flight.
func (h *Host) rejectAtLimit(x *downstream.Exchange) {
	slog.Warn("request rejected: too many in flight", "in_flight", len(h.requests))
	h.meter.Limited(metrics.InFlightLimit)
	retryAfter := h.limitRetryAfter()
	h.enqueue(func() { x.Reject(retryAfter) })
	h.enqueue(x.Release)
}

// limitRetryAfter returns when a client refused at a limit may come back. The lock is
// held.
func (h *Host) limitRetryAfter() time.Duration { return h.settings.Config.MaxRetryAfter / 10 }

// newRequest registers the request of x, with its deadline.
func (h *Host) newRequest(now time.Duration, x *downstream.Exchange) *clientRequest {
	timeout := x.Rules.Wait // no client waits longer, whatever it says
	if x.Wait > 0 {
		timeout = min(timeout, x.Wait)
	}
	timeout -= min(deadlineMargin, timeout/10)
	deadline := now - time.Since(x.Received) + timeout
	if x.Request.Stream != nil {
		deadline += x.UploadTimeout() // the client's time begins with its last byte
	}
	h.lastID++
	request := &clientRequest{id: h.lastID, exchange: x, deadline: h.beforeStop(deadline), timeout: timeout}
	x.State = request
	h.requests[request.id] = request
	request.timer = h.timers.add(&timer{at: request.deadline, request: request})
	return request
}

// beforeStop limits a deadline to the planned stop, if there is one.
func (h *Host) beforeStop(deadline time.Duration) time.Duration {
	if h.stopAt > 0 {
		return min(deadline, h.stopAt)
	}
	return deadline
}

// StopWithin sees to it that every request is answered by then.
func (h *Host) StopWithin(limit time.Duration) {
	h.handle(func(now time.Duration) {
		h.stopAt = now + limit
		for _, request := range h.requests {
			if request.deadline > h.stopAt {
				h.setDeadline(request, h.stopAt)
			}
		}
	})
}

// setDeadline changes a request's deadline, and its timer.
func (h *Host) setDeadline(request *clientRequest, deadline time.Duration) {
	request.deadline = deadline
	h.timers.reschedule(request.timer, deadline)
}

// admit brings a request to the Balancer.
func (h *Host) admit(now time.Duration, request *clientRequest) {
	x := request.exchange
	h.balancer.Arrive(now, martendrum.Request{
		ID:             request.id,
		Class:          x.Rules.Place,
		ClassAtArrival: x.Rules.Rules,
		Tenant:         h.settings.Tenant([]byte(x.Tenant)),
		Deadline:       request.deadline,
		StreamedBody:   x.Request.Stream != nil,
	})
}

// ClientDisconnected implements downstream.Handler.
func (h *Host) ClientDisconnected(x *downstream.Exchange) (taken bool) {
	h.handle(func(now time.Duration) {
		request, _ := x.State.(*clientRequest)
		if request == nil || request.answered {
			return
		}
		taken = true
		attempts := len(request.attempts)
		h.enqueue(func() { logLeft(x, attempts) })
		h.markAnswered(request)
		h.balancer.ClientDisconnected(now, request.id)
		h.releaseIfDone(request)
	})
	return taken
}

// logLeft logs that a request ended without an answer, because its client left: whether it
// did so in its time, or because the answer was late, is the first question after an incident.
func logLeft(x *downstream.Exchange, attempts int) {
	slog.Info("client left before its answer", "class", x.Class, "after", time.Since(x.Received), "wait", x.Wait, "attempts", attempts)
}

// Reject implements martendrum.Host.
func (h *Host) Reject(id martendrum.RequestID, retryAfter time.Duration) {
	h.answer(id, func(x *downstream.Exchange) { x.Reject(retryAfter) })
}

// Fail implements martendrum.Host.
func (h *Host) Fail(id martendrum.RequestID) { h.answer(id, (*downstream.Exchange).Fail) }

// answer gives a request its final response, which is none of a server's, by respond.
func (h *Host) answer(id martendrum.RequestID, respond func(*downstream.Exchange)) {
	request := h.requests[id]
	if request == nil || request.answered {
		return
	}
	h.markAnswered(request)
	x := request.exchange
	h.recordEnd(request, request.endSoFar(), nil, func() { respond(x) })
	h.releaseIfDone(request)
}

// markAnswered notes that a request has its final response, or needs none: attempts that
// have not begun don't begin any more, whether or not the Balancer cancels them. Every
// end of a request comes here.
func (h *Host) markAnswered(request *clientRequest) {
	request.answered = true
	for _, a := range request.attempts {
		if !a.finished && a.Withdraw() {
			a.unsent = true
			h.enqueue(func() { a.Done(martendrum.NotSent, nil, martendrum.LoadReport{}) })
		}
	}
}

// releaseIfDone forgets a request that is answered and has no attempt open.
func (h *Host) releaseIfDone(request *clientRequest) {
	if !request.answered || request.open > 0 || request.exchange == nil {
		return
	}
	h.recordEnd(request, request.endSoFar(), nil, nil)
	delete(h.requests, request.id)
	h.updateTally()
	h.timers.remove(request.timer)
	h.enqueue(request.exchange.Release)
	request.exchange, request.attempts = nil, nil
}

// expire ends a request's open attempts at its deadline, and the request.
func (h *Host) expire(now time.Duration, request *clientRequest) {
	if h.requests[request.id] == nil {
		return
	}
	for _, a := range request.attempts {
		if !a.finished {
			h.expireAttempt(now, a)
		}
	}
	if request.awaitsRecord { // nothing was sent
		h.Reject(request.id, h.limitRetryAfter())
	}
	if !request.answered {
		// Guards the rule of one final response, whatever the Balancer makes of it.
		slog.Error("request unanswered at its deadline", "class", request.exchange.Class)
		h.balancer.ClientDisconnected(now, request.id)
		h.Fail(request.id)
	}
}
