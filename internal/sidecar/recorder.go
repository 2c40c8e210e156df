package sidecar

import (
	"time"

	"martendrum"
	"martendrum/internal/downstream"
	"martendrum/internal/upstream"
)

// Recorder stores the results of requests durably and recognizes a repeated request by its idempotency
// key. A Host without a Recorder stores no results.
type Recorder interface {
	// Begin looks up a request that has arrived; left is the time until its deadline. It calls the
	// function then exactly once, from any goroutine and well before left has passed.
	Begin(exchange *downstream.Exchange, left time.Duration, then func(Verdict))
}

// Verdict is a Recorder's decision about a request.
type Verdict struct {
	// Answer sends the client the recorded response; nil: there is none, and the request is to be
	// admitted.
	Answer func(exchange *downstream.Exchange)
	Entry  Entry // the entry of a request to be admitted; nil: the request is not recorded
}

// Entry is a recorded request. Both methods call the function then exactly once, from any goroutine,
// within the longest time that a client of the request's class waits.
type Entry interface {
	// Sending records that the attempt of the given index is about to be sent to server. The
	// attempt may be sent only if ok is true.
	Sending(index int, server string, then func(ok bool))
	// End records how the request ended; answer is set only for Served. It may be called again when
	// more is known. left is the time until the request's deadline. End calls the function then as
	// soon as the client may be answered, and before left has passed.
	End(end End, answer *upstream.Answer, left time.Duration, then func())
}

// End is how a request ended.
type End int

const (
	endUnknown End = iota
	Served         // the request was executed, and its answer is known
	NeverRan       // provably, no attempt of the request was executed
	MayHaveRun     // an attempt of the request may have been executed
)

// SetRecorder sets the Host's Recorder. It must be called before the first request.
func (h *Host) SetRecorder(recorder Recorder) { h.recorder = recorder }

// admitRecorded admits a request or sends its recorded response, as the Recorder's verdict says.
func (h *Host) admitRecorded(request *clientRequest, verdict Verdict) {
	h.handle(func(now time.Duration) {
		switch {
		case request.exchange == nil: // the client has disconnected, or the deadline has passed
			if verdict.Entry != nil {
				h.enqueue(func() { verdict.Entry.End(NeverRan, nil, 0, func() {}) })
			}
		case verdict.Answer != nil:
			h.markAnswered(request)
			exchange := request.exchange
			h.enqueue(func() { verdict.Answer(exchange) })
			h.releaseIfDone(request)
		default:
			request.awaitsRecord, request.entry = false, verdict.Entry
			h.admit(now, request)
		}
	})
}

// sendRecorded records an attempt and then sends it, unless it has ended meanwhile. If it can't be
// recorded, it is not sent and ends with the outcome NotSent.
func (h *Host) sendRecorded(entry Entry, a *attempt) {
	entry.Sending(a.index, a.Server, func(ok bool) {
		if !ok {
			a.Done(martendrum.NotSent, nil, martendrum.LoadReport{})
			return
		}
		h.mu.Lock()
		ended := a.finished
		h.mu.Unlock()
		if !ended {
			h.pool.Start(&a.Attempt)
		}
	})
}

// endSoFar returns NeverRan if every attempt so far provably did not execute, else MayHaveRun. It is for
// a request that no server has answered.
func (r *clientRequest) endSoFar() End {
	for _, a := range r.attempts {
		if !a.finished || !a.neverRan {
			return MayHaveRun
		}
	}
	return NeverRan
}

// recordEnd records how a request ended, and calls the function then, if not nil, afterwards. It records
// nothing if the request has no entry, or if Served or the same end has been recorded already.
func (h *Host) recordEnd(request *clientRequest, end End, answer *upstream.Answer, then func()) {
	entry := request.entry
	if entry == nil || request.recordedEnd == Served || request.recordedEnd == end {
		if then != nil {
			h.enqueue(then)
		}
		return
	}
	request.recordedEnd = end
	left := request.deadline - h.now()
	if then == nil {
		then = func() {}
	}
	h.enqueue(func() { entry.End(end, answer, left, then) })
}
