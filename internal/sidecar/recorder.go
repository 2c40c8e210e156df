package sidecar

import (
	"time"

	"martendrum"
	"martendrum/internal/front"
	"martendrum/internal/upstream"
)

// Recorder keeps what becomes of requests beyond the life of this process, and knows
// a request's key again. A Host without one keeps nothing, at no cost.
type Recorder interface {
	// Begin takes a request that has arrived and whose client waits for left. It
	// calls then once, from any goroutine and well within left.
	Begin(x *front.Exchange, left time.Duration, then func(Verdict))
}

// Verdict is what the record says to a request.
type Verdict struct {
	// Answer gives the client its answer, where the record has it; nil: go on.
	Answer func(x *front.Exchange)
	Entry  Entry // of a request that goes on; nil: it is not recorded
}

// Entry is a recorded request. Each then is called once, from any goroutine, within
// the wait of the request's class.
type Entry interface {
	// Sending says that attempt n is about to go to server. If it is not ok, not a
	// byte may go.
	Sending(n int, server string, then func(ok bool))
	// End says what the request came to; ans is set for Served. It may be called
	// again when more is known. then is when the client may be told, which is within
	// left: its time is over then.
	End(e End, ans *upstream.Answer, left time.Duration, then func())
}

// End is what a request came to.
type End int

const (
	notEnded   End = iota
	Served         // it ran, and this is the answer
	NeverRan       // no attempt of it ran, for certain
	MayHaveRun     // one may have
)

// SetRecorder makes the Host record. It is called before the first request.
func (h *Host) SetRecorder(r Recorder) { h.recorder = r }

// begun takes the record's verdict on a request.
func (h *Host) begun(q *request, v Verdict) {
	h.locked(func(now time.Duration) {
		switch {
		case q.x == nil: // its client has left, or its time is up
			if v.Entry != nil {
				h.actions = append(h.actions, func() { v.Entry.End(NeverRan, nil, 0, func() {}) })
			}
			return
		case v.Answer != nil:
			h.over(q)
			x := q.x
			h.actions = append(h.actions, func() { v.Answer(x) })
			h.forget(q)
			return
		}
		q.pending, q.entry = false, v.Entry
		h.admit(now, q)
	})
}

// sendRecorded sends an attempt once the record has it.
func (h *Host) sendRecorded(e Entry, a *attempt) {
	e.Sending(a.n, a.Server, func(ok bool) {
		if !ok {
			a.Done(martendrum.NotSent, nil, martendrum.Report{})
			return
		}
		h.mu.Lock()
		done := a.done
		h.mu.Unlock()
		if !done {
			h.pool.Start(&a.Attempt)
		}
	})
}

// came is what a request came to, as far as its attempts have ended.
func (q *request) came() End {
	for _, a := range q.attempts {
		if !a.done || !a.neverRan {
			return MayHaveRun
		}
	}
	return NeverRan
}

// tell tells the record what q came to, where that is new, and then does act.
func (h *Host) tell(q *request, e End, ans *upstream.Answer, act func()) {
	switch {
	case q.entry == nil || q.told == Served || q.told == e:
		if act != nil {
			h.actions = append(h.actions, act)
		}
	default:
		q.told = e
		left := q.deadline - h.now()
		entry := q.entry
		if act == nil {
			act = func() {}
		}
		h.actions = append(h.actions, func() { entry.End(e, ans, left, act) })
	}
}
