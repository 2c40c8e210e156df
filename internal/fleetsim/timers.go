package fleetsim

import (
	"container/heap"
	"time"
)

// timer is a function that is to be called at a time.
type timer struct {
	at  time.Duration
	seq int // position in the order in which timers were set
	run func()
}

// timerQueue is a heap of timers, ordered by time; timers of equal times are in the order in which
// they were set.
type timerQueue struct {
	list    []timer
	lastSeq int
}

// set adds a timer.
func (q *timerQueue) set(at time.Duration, run func()) {
	q.lastSeq++
	heap.Push(q, timer{at, q.lastSeq, run})
}

// due returns the time of the next timer, Never if there is none.
func (q *timerQueue) due() time.Duration {
	if len(q.list) == 0 {
		return Never
	}
	return q.list[0].at
}

// Len implements heap.Interface.
func (q *timerQueue) Len() int { return len(q.list) }

// Less implements heap.Interface.
func (q *timerQueue) Less(i, j int) bool {
	return q.list[i].at < q.list[j].at || q.list[i].at == q.list[j].at && q.list[i].seq < q.list[j].seq
}

// Swap implements heap.Interface.
func (q *timerQueue) Swap(i, j int) { q.list[i], q.list[j] = q.list[j], q.list[i] }

// Push implements heap.Interface.
func (q *timerQueue) Push(x any) { q.list = append(q.list, x.(timer)) }

// Pop implements heap.Interface.
func (q *timerQueue) Pop() any {
	x := q.list[len(q.list)-1]
	q.list = q.list[:len(q.list)-1]
	return x
}
