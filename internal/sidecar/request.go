package sidecar

import (
	"log/slog"
	"time"

	"martendrum"
	"martendrum/internal/downstream"
	"martendrum/internal/metrics"
)

// deadlineMargin is subtracted from the client's deadline for the way of the response.
const deadlineMargin = 5 * time.Millisecond

// clientRequest is a request that has no final response yet, or whose attempts are still open.
// It is guarded by the Host's lock.
type clientRequest struct {
	id       martendrum.RequestID
	exchange *downstream.Exchange // nil: released
	deadline time.Duration
	timeout  time.Duration // from the request's last byte to its deadline
	timer    *timer        // at its deadline
	attempts []*attempt
	open     int  // attempts that have not ended
	answered bool // it has its final response, or its client has disconnected

	awaitsRecord bool  // the recorder's verdict is open: the Balancer does not know the request yet
	entry        Entry // nil: it is not recorded
	recordedEnd  End   // what the recorder was told last
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

// limitRetryAfter returns the Retry-After of a request rejected at a limit. The lock is held.
func (h *Host) limitRetryAfter() time.Duration { return h.settings.Config.MaxRetryAfter / 10 }

// newRequest registers the request of x, with its deadline.
func (h *Host) newRequest(now time.Duration, x *downstream.Exchange) *clientRequest {
	timeout := x.Rules.Wait // the upper bound, whatever the client states
	if x.Wait > 0 {
		timeout = min(timeout, x.Wait)
	}
	timeout -= min(deadlineMargin, timeout/10)
	deadline := now - time.Since(x.Received) + timeout
	if x.Request.Stream != nil {
		deadline += x.UploadTimeout() // the timeout begins after the upload
	}
	h.lastID++
	request := &clientRequest{id: h.lastID, exchange: x, deadline: h.beforeStop(deadline), timeout: timeout}
	x.State = request
	h.requests[request.id] = request
	request.timer = h.timers.add(&timer{at: request.deadline, request: request})
	return request
}

// beforeStop limits a deadline to the planned shutdown, if there is one.
func (h *Host) beforeStop(deadline time.Duration) time.Duration {
	if h.stopAt > 0 {
		return min(deadline, h.stopAt)
	}
	return deadline
}

// StopWithin limits all deadlines so that every request is answered within limit from now.
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

// setDeadline changes a request's deadline and its timer.
func (h *Host) setDeadline(request *clientRequest, deadline time.Duration) {
	request.deadline = deadline
	h.timers.reschedule(request.timer, deadline)
}

// admit passes a request to the Balancer.
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
func (h *Host) ClientDisconnected(x *downstream.Exchange) (ended bool) {
	h.handle(func(now time.Duration) {
		request, _ := x.State.(*clientRequest)
		if request == nil || request.answered {
			return
		}
		ended = true
		attempts := len(request.attempts)
		h.enqueue(func() { logDisconnect(x, attempts) })
		h.markAnswered(request)
		h.balancer.ClientDisconnected(now, request.id)
		h.releaseIfDone(request)
	})
	return ended
}

// logDisconnect logs that a request ended without an answer because its client disconnected. The times
// show whether the client gave up early or the answer was late.
func logDisconnect(x *downstream.Exchange, attempts int) {
	slog.Info("client left before its answer", "class", x.Class, "after", time.Since(x.Received), "wait", x.Wait, "attempts", attempts)
}

// Reject implements martendrum.Host.
func (h *Host) Reject(id martendrum.RequestID, retryAfter time.Duration) {
	h.answer(id, func(x *downstream.Exchange) { x.Reject(retryAfter) })
}

// Fail implements martendrum.Host.
func (h *Host) Fail(id martendrum.RequestID) { h.answer(id, (*downstream.Exchange).Fail) }

// answer calls respond to give a request a final response that is not a server's.
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

// markAnswered records that a request has its final response or needs none, and withdraws its
// attempts that have not begun, whether or not the Balancer cancels them. Every request ends
// through here.
func (h *Host) markAnswered(request *clientRequest) {
	request.answered = true
	for _, a := range request.attempts {
		if !a.finished && a.Withdraw() {
			a.unsent = true
			h.enqueue(func() { a.Done(martendrum.NotSent, nil, martendrum.LoadReport{}) })
		}
	}
}

// releaseIfDone removes a request that is answered and has no open attempt.
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
	if request.awaitsRecord { // nothing was sent
		h.Reject(request.id, h.limitRetryAfter())
	}
	if !request.answered {
		// The Balancer should have answered; the client gets its one final response anyway.
		slog.Error("request unanswered at its deadline", "class", request.exchange.Class)
		h.balancer.ClientDisconnected(now, request.id)
		h.Fail(request.id)
	}
}
