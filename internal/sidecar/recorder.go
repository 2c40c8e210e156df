package sidecar

import (
	"time"

	"martendrum"
	"martendrum/internal/downstream"
	"martendrum/internal/upstream"
)

// Recorder stores the results of requests durably and recognizes a repeated request by its idempotency
// key. A Host without one stores nothing, at no cost.
type Recorder interface {
	// Begin looks up a request that has arrived and whose client waits for left. It calls then
	// once, from any goroutine and well within left.
	Begin(x *downstream.Exchange, left time.Duration, then func(Verdict))
}

// Verdict is a Recorder's decision about a request.
type Verdict struct {
	// Answer sends the client the recorded response; nil: there is none, admit the request.
	Answer func(x *downstream.Exchange)
	Entry  Entry // of a request to be admitted; nil: it is not recorded
}

// Entry is a recorded request. Each callback named then is called once, from any goroutine, within
// the longest wait of the request's class.
type Entry interface {
	// Sending records that attempt n is about to be sent to server. Nothing may be sent unless
	// ok is true.
	Sending(n int, server string, then func(ok bool))
	// End records how the request ended; answer is set for Served. It may be called again when
	// more is known. then is called when the client may be answered, within left, which is the
	// time until the request's deadline.
	End(end End, answer *upstream.Answer, left time.Duration, then func())
}

// End is how a request ended.
type End int

const (
	endUnknown End = iota
	Served         // it was executed, and its answer is known
	NeverRan       // provably, no attempt of it was executed
	MayHaveRun     // an attempt may have been executed
)

// SetRecorder sets the Host's Recorder. It is called before the first request.
func (h *Host) SetRecorder(recorder Recorder) { h.recorder = recorder }

// admitRecorded answers or admits a request by the recorder's verdict.
func (h *Host) admitRecorded(request *clientRequest, verdict Verdict) {
	h.handle(func(now time.Duration) {
		switch {
		case request.exchange == nil: // its client has disconnected, or its deadline has passed
			if verdict.Entry != nil {
				h.enqueue(func() { verdict.Entry.End(NeverRan, nil, 0, func() {}) })
			}
		case verdict.Answer != nil:
			h.markAnswered(request)
			x := request.exchange
			h.enqueue(func() { verdict.Answer(x) })
			h.releaseIfDone(request)
		default:
			request.awaitsRecord, request.entry = false, verdict.Entry
			h.admit(now, request)
		}
	})
}

// sendRecorded sends an attempt once it is recorded.
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

// endSoFar returns how a request without an answer has ended, by the attempts made so far.
func (r *clientRequest) endSoFar() End {
	for _, a := range r.attempts {
		if !a.finished || !a.neverRan {
			return MayHaveRun
		}
	}
	return NeverRan
}

// recordEnd records how a request ended, if that is new, and then calls then, if not nil.
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
