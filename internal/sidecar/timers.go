package sidecar

import (
	"container/heap"
	"log/slog"
	"runtime/debug"
	"time"
)

// timerResolution is the minimum delay of the runtime timer. It limits how often fireTimers runs.
const timerResolution = 2 * time.Millisecond

// timer is a timer of the Balancer or a request's deadline.
type timer struct {
	at      time.Duration  // when it fires, in the time of Host.now
	cookie  uint64         // identifies a timer of the Balancer
	request *clientRequest // the request whose deadline it is; nil: a timer of the Balancer
	index   int            // position in the heap; -1: it has been removed
}

// timerQueue is a set of timers that share one runtime timer. It is guarded by the Host's lock.
type timerQueue struct {
	heap    timerHeap
	runtime *time.Timer
	armedAt time.Duration // when the runtime timer fires; 0: it is not armed
}

// timerHeap is a heap of timers, the earliest first.
type timerHeap []*timer

// Len implements heap.Interface.
func (t timerHeap) Len() int { return len(t) }

// Less implements heap.Interface.
func (t timerHeap) Less(i, j int) bool { return t[i].at < t[j].at }

// Swap implements heap.Interface.
func (t timerHeap) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].index, t[j].index = i, j
}

// Push implements heap.Interface.
func (t *timerHeap) Push(x any) {
	added := x.(*timer)
	added.index = len(*t)
	*t = append(*t, added)
}

// Pop implements heap.Interface.
func (t *timerHeap) Pop() any {
	old := *t
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*t = old[:len(old)-1]
	last.index = -1
	return last
}

// add adds t and returns it.
func (q *timerQueue) add(t *timer) *timer {
	heap.Push(&q.heap, t)
	return t
}

// reschedule changes the time of a timer. It does not add a timer back that has been removed.
func (q *timerQueue) reschedule(t *timer, at time.Duration) {
	t.at = at
	if t.index >= 0 {
		heap.Fix(&q.heap, t.index)
	}
}

// remove removes a timer unless it has been removed already.
func (q *timerQueue) remove(t *timer) {
	if t.index >= 0 {
		heap.Remove(&q.heap, t.index)
	}
}

// popDue removes and returns the earliest timer if it is due; nil if no timer is due.
func (q *timerQueue) popDue(now time.Duration) *timer {
	if len(q.heap) == 0 || q.heap[0].at > now {
		return nil
	}
	return heap.Pop(&q.heap).(*timer)
}

// SetTimer implements martendrum.Host.
func (h *Host) SetTimer(cookie uint64, after time.Duration) {
	h.timers.add(&timer{at: h.now() + max(after, 0), cookie: cookie})
}

// armTimer arms the runtime timer for the earliest timer of the queue. The lock is held.
func (h *Host) armTimer() {
	q := &h.timers
	if len(q.heap) == 0 {
		return
	}
	if at := q.heap[0].at; q.armedAt == 0 || at < q.armedAt {
		q.armedAt = at
		q.runtime.Reset(max(at-h.now(), timerResolution))
	}
}

// fireTimers passes due timers to the Balancer and ends requests whose deadlines have passed.
func (h *Host) fireTimers() {
	defer func() {
		if p := recover(); p != nil {
			slog.Error("panic while handling due timers", "panic", p, "stack", string(debug.Stack()))
		}
	}()
	h.handle(func(now time.Duration) {
		h.timers.armedAt = 0
		defer h.armTimer() // even if the Balancer panics, so that the next timers still fire
		for due := h.timers.popDue(now); due != nil; due = h.timers.popDue(now) {
			if due.request != nil {
				h.approachDeadline(now, due.request)
			} else {
				h.balancer.TimerFired(now, due.cookie)
			}
		}
	})
}
