package sidecar

import (
	"log/slog"
	"time"

	"martendrum"
	"martendrum/internal/downstream"
	"martendrum/internal/metrics"
)

// deadlineMargin is subtracted from a request's timeout, so that the response reaches the client in
// time. At most a tenth of the timeout is subtracted.
const deadlineMargin = 5 * time.Millisecond

// forwardMargin is how long before its deadline a request begins to forward an answer that has come in part.
const forwardMargin = 15 * time.Millisecond

// clientRequest is a request that has no final response yet, or whose attempts are still open.
// It is guarded by the Host's lock.
type clientRequest struct {
	id       martendrum.RequestID
	exchange *downstream.Exchange // nil once the request is released
	deadline time.Duration
	latest   time.Duration // the latest that deadline can become, while the body is being streamed
	timeout  time.Duration // from the request's last byte to its deadline
	timer    *timer        // fires forwardMargin before deadline, and at deadline
	attempts []*attempt
	open     int  // number of attempts that have not ended
	answered bool // the final response is determined, or the client has disconnected

	awaitsRecord bool  // the Recorder's verdict is pending: the Balancer does not know the request yet
	entry        Entry // nil: the request is not recorded
	recordedEnd  End   // the End that was passed to entry last
}

// Arrive implements downstream.Handler.
func (h *Host) Arrive(exchange *downstream.Exchange) {
	h.handle(func(now time.Duration) {
		if !h.reserveInFlight() {
			h.rejectAtLimit(exchange)
			return
		}
		request := h.newRequest(now, exchange)
		if h.recorder == nil {
			h.admit(now, request)
			return
		}
		request.awaitsRecord = true
		left := h.beforeStop(request.latest) - now
		h.enqueue(func() {
			h.recorder.Begin(exchange, left, func(verdict Verdict) { h.admitRecorded(request, verdict) })
		})
	})
}

// rejectAtLimit rejects a request because too many are in flight.
func (h *Host) rejectAtLimit(exchange *downstream.Exchange) {
	slog.Warn("request rejected: too many in flight", "in_flight", len(h.requests))
	h.meter.Limited(metrics.InFlightLimit)
	retryAfter := h.limitRetryAfter()
	h.enqueue(func() { exchange.Reject(retryAfter) })
	h.enqueue(exchange.Release)
}

// limitRetryAfter returns the Retry-After of a request that the Host itself rejects. The lock is held.
func (h *Host) limitRetryAfter() time.Duration { return h.settings.Config.MaxRetryAfter / 10 }

// newRequest registers the request of an exchange, with its deadline.
func (h *Host) newRequest(now time.Duration, exchange *downstream.Exchange) *clientRequest {
	timeout := exchange.Rules.MaxWait // the upper bound, even if the client states a longer one
	if exchange.Wait > 0 {
		timeout = min(timeout, exchange.Wait)
	}
	timeout -= min(deadlineMargin, timeout/10)
	h.lastID++
	request := &clientRequest{id: h.lastID, exchange: exchange, timeout: timeout}
	request.latest = h.atTime(now, exchange.Received) + timeout + exchange.MaxUploadTime()
	request.deadline = h.deadlineOf(now, request)
	exchange.State = request
	h.requests[request.id] = request
	request.timer = h.timers.add(&timer{at: request.deadline - forwardMargin, request: request})
	return request
}

// atTime returns a point in time as a time of Host.now, given the current one.
func (h *Host) atTime(now time.Duration, at time.Time) time.Duration { return now - time.Since(at) }

// deadlineOf returns the deadline of a request, as far as is known of its body.
func (h *Host) deadlineOf(now time.Duration, request *clientRequest) time.Duration {
	deadline := h.atTime(now, request.exchange.WaitFrom()) + request.timeout
	return h.beforeStop(min(deadline, request.latest))
}

// WaitMoved implements downstream.Handler.
func (h *Host) WaitMoved(exchange *downstream.Exchange) {
	h.handle(func(now time.Duration) {
		request, _ := exchange.State.(*clientRequest)
		if request != nil && request.exchange != nil && !request.answered {
			h.setDeadline(request, h.deadlineOf(now, request))
		}
	})
}

// beforeStop returns deadline, or stopAt if a shutdown is planned and that is earlier.
func (h *Host) beforeStop(deadline time.Duration) time.Duration {
	if h.stopAt > 0 {
		return min(deadline, h.stopAt)
	}
	return deadline
}

// StopWithin limits the deadlines of current and later requests, so that every request is answered
// within limit from now.
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

// setDeadline changes a request's deadline and reschedules its timer.
func (h *Host) setDeadline(request *clientRequest, deadline time.Duration) {
	request.deadline = deadline
	h.timers.reschedule(request.timer, deadline-forwardMargin)
}

// approachDeadline forwards what has come of an answer if the request has none yet, and lets the timer fire
// again at the deadline.
func (h *Host) approachDeadline(now time.Duration, request *clientRequest) {
	if h.requests[request.id] == nil {
		return
	}
	if now >= request.deadline {
		h.expire(now, request)
		return
	}
	for _, a := range request.attempts {
		if !a.finished && !request.answered {
			h.enqueue(a.ForwardPartial)
		}
	}
	request.timer.at = request.deadline
	h.timers.add(request.timer)
}

// admit passes a request to the Balancer.
func (h *Host) admit(now time.Duration, request *clientRequest) {
	exchange := request.exchange
	h.balancer.Arrive(now, martendrum.Request{
		ID:             request.id,
		Class:          exchange.Rules.Index,
		ClassAtArrival: exchange.Rules.Rules,
		Tenant:         h.settings.TenantIndex([]byte(exchange.Tenant)),
		Deadline:       h.beforeStop(request.latest),
		StreamedBody:   exchange.Request.Stream != nil,
	})
}

// ClientDisconnected implements downstream.Handler. It returns whether this ended the request: false if
// the request is not registered or has its final response.
func (h *Host) ClientDisconnected(exchange *downstream.Exchange) (ended bool) {
	h.handle(func(now time.Duration) {
		request, _ := exchange.State.(*clientRequest)
		if request == nil || request.answered {
			return
		}
		ended = true
		attempts := len(request.attempts)
		h.enqueue(func() { logDisconnect(exchange, attempts) })
		h.markAnswered(request)
		h.balancer.ClientDisconnected(now, request.id)
		h.releaseIfDone(request)
	})
	return ended
}

// logDisconnect logs that a request ended without an answer because its client disconnected. The times
// show whether the client gave up early or the answer was late.
func logDisconnect(exchange *downstream.Exchange, attempts int) {
	slog.Info("client left before its answer", "class", exchange.Class, "after", time.Since(exchange.Received), "wait", exchange.Wait, "attempts", attempts)
}

// Reject implements martendrum.Host.
func (h *Host) Reject(id martendrum.RequestID, retryAfter time.Duration) {
	h.answer(id, func(exchange *downstream.Exchange) { exchange.Reject(retryAfter) })
}

// Fail implements martendrum.Host.
func (h *Host) Fail(id martendrum.RequestID) { h.answer(id, (*downstream.Exchange).Fail) }

// answer gives a request a final response that does not come from a server: it calls respond once the
// end of the request is recorded.
func (h *Host) answer(id martendrum.RequestID, respond func(*downstream.Exchange)) {
	request := h.requests[id]
	if request == nil || request.answered {
		return
	}
	h.markAnswered(request)
	exchange := request.exchange
	h.recordEnd(request, request.endSoFar(), nil, func() { respond(exchange) })
	h.releaseIfDone(request)
}

// markAnswered marks a request whose final response is determined or not needed any more, and withdraws
// the attempts of which no byte has been sent, whether or not the Balancer cancels them. Each
// request is marked once, however it ends.
func (h *Host) markAnswered(request *clientRequest) {
	request.answered = true
	for _, a := range request.attempts {
		if !a.finished && a.Withdraw() {
			a.unsent = true
			h.enqueue(func() { a.Done(martendrum.NotSent, nil, martendrum.LoadReport{}) })
		}
	}
}

// releaseIfDone removes a request that is answered and has no open attempt, and releases its exchange.
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

// expire ends a request and its open attempts at its deadline.
func (h *Host) expire(now time.Duration, request *clientRequest) {
	if h.requests[request.id] == nil {
		return
	}
	for _, a := range request.attempts {
		if !a.finished {
			h.expireAttempt(now, a)
		}
	}
	if request.awaitsRecord { // no attempt has been sent
		h.Reject(request.id, h.limitRetryAfter())
	}
	if !request.answered {
		// The Balancer should have decided on a response by now. The client gets one anyway.
		slog.Error("request unanswered at its deadline", "class", request.exchange.Class)
		h.balancer.ClientDisconnected(now, request.id)
		h.Fail(request.id)
	}
}
