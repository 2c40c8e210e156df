package discovery

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"martendrum"
)

// For all settings the waits of both paces add up to less than the time after which changes
// count as notified.
func TestWaitsAddUp(t *testing.T) {
	asked := Polled()
	if w := asked.WorstDelay(); w > maxNotificationDelay-notificationMargin {
		t.Errorf("asked: %v in all", w)
	}
	for _, d := range []time.Duration{asked.CallTimeout, asked.RetrySpread, asked.MaxBackoff, asked.InitialDelay} {
		if d < 100*time.Millisecond {
			t.Errorf("asked: %+v leaves a part no time", asked)
		}
	}
	for grace := time.Duration(0); grace < time.Minute; grace += 10 * time.Millisecond {
		p := Pushed(grace)
		if w := p.WorstDelay(); w > maxNotificationDelay-notificationMargin {
			t.Errorf("pushed, grace %v: %v in all", grace, w)
		}
		if p.CallTimeout < minPushedCallTimeout || p.MaxBackoff*2/3 < minBackoff {
			t.Errorf("pushed, grace %v: %+v leaves a part no time", grace, p)
		}
		if grace >= 2*minPushedCallTimeout && p.CallTimeout+p.MaxBackoff > grace*3/4 {
			t.Errorf("pushed, grace %v: the next answer comes after %v", grace, p.CallTimeout+p.MaxBackoff)
		}
	}
}

// asker is one of many sidecars that ask the same discovery, its calls timed by its own
// balancer.
type asker struct {
	w    *pollWorld
	b    *martendrum.Balancer
	told time.Duration // 0: not yet
}

// pollWorld is a discovery that works through calls in turn, each of which costs it the
// same, and turns one away that has waited for two seconds. Given-up calls cost as much.
type pollWorld struct {
	now, back time.Duration // when it comes back
	refuses   bool          // while it is down; else it says nothing
	cost      time.Duration
	free      time.Duration // when it has worked through what it has
	calls     int           // after it is back
	queue     pollQueue
}

type pollEvent struct {
	at time.Duration
	do func()
}
type pollQueue []pollEvent

func (q pollQueue) Len() int           { return len(q) }
func (q pollQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q pollQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *pollQueue) Push(x any)        { *q = append(*q, x.(pollEvent)) }
func (q *pollQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}
func (w *pollWorld) at(t time.Duration, do func()) { heap.Push(&w.queue, pollEvent{t, do}) }

func (a *asker) Send(martendrum.RequestID, string, time.Duration, time.Duration) {}
func (a *asker) Cancel(martendrum.RequestID, int)                                {}
func (a *asker) Reject(martendrum.RequestID, time.Duration)                      {}
func (a *asker) Fail(martendrum.RequestID)                                       {}
func (a *asker) CloseIdle(string)                                                {}
func (a *asker) Probe(string)                                                    {}
func (a *asker) SetTimer(cookie uint64, after time.Duration) {
	a.w.at(a.w.now+after, func() { a.b.TimerFired(a.w.now, cookie) })
}

// Subscribe is one call as a Watcher makes it.
func (a *asker) Subscribe() {
	w := a.w
	failed := func() { a.b.DiscoveryFailed(w.now) }
	if w.now < w.back {
		if w.refuses {
			w.at(w.now, failed)
		} else {
			w.at(w.now+Polled().CallTimeout, failed)
		}
		return
	}
	w.calls++
	begins := max(w.now, w.free)
	switch {
	case begins-w.now > 2*time.Second:
		w.at(w.now+min(2*time.Second, Polled().CallTimeout), failed)
	case begins+w.cost-w.now > Polled().CallTimeout:
		w.free = begins + w.cost
		w.at(w.now+Polled().CallTimeout, failed)
	default:
		w.free = begins + w.cost
		w.at(w.free, func() {
			if a.told == 0 {
				a.told = w.now
			}
		})
	}
}

// Three hundred sidecars that wait for discovery to return are all notified well in time, and
// their calls meanwhile are no storm.
func TestDiscoveryReturnCausesNoCallStorm(t *testing.T) {
	const count = 300
	for _, cost := range []time.Duration{time.Millisecond, 5 * time.Millisecond} {
		for _, refuses := range []bool{true, false} {
			t.Run(fmt.Sprintf("%v a call, refuses %v", cost, refuses), func(t *testing.T) {
				for seed := range uint64(5) {
					rng := rand.New(rand.NewPCG(seed, 1))
					w := &pollWorld{back: 20 * time.Second, refuses: refuses, cost: cost}
					p := Polled()
					cfg := martendrum.Config{Instances: count, MaxAttempts: 1, Classes: []martendrum.Class{{LatencyObjective: time.Second}},
						MaxListAge: p.InitialDelay * 5 / 4, RetryWithin: p.MaxBackoff}
					var all []*asker
					for range count {
						a := &asker{w: w}
						var err error
						if a.b, err = martendrum.New(cfg, rng.Uint64(), a); err != nil {
							t.Fatal(err)
						}
						all = append(all, a)
					}
					for len(w.queue) > 0 && w.queue[0].at < w.back+time.Minute {
						e := heap.Pop(&w.queue).(pollEvent)
						w.now = e.at
						e.do()
					}
					worst := time.Duration(0)
					for _, a := range all {
						if a.told == 0 {
							t.Fatalf("seed %d: one was never told", seed)
						}
						worst = max(worst, a.told-w.back)
					}
					if testing.Verbose() {
						t.Logf("seed %d: the last told after %v, %d calls", seed, worst, w.calls)
					}
					if worst > maxNotificationDelay-notificationMargin {
						t.Errorf("seed %d: the last was told after %v", seed, worst)
					}
					if w.calls > 2*count {
						t.Errorf("seed %d: %d calls of %d sidecars", seed, w.calls, count)
					}
				}
			})
		}
	}
}

// Three hundred watches that fall silent together poll again within RetrySpread, and a second
// time where a slow discovery has not answered by then: all are notified in time, with two calls
// each at most, also where the first call of every tenth is lost.
func TestSecondCallsCauseNoStorm(t *testing.T) {
	const count = 300
	pace := Polled()
	for _, cost := range []time.Duration{time.Millisecond, 5 * time.Millisecond} {
		w := &pollWorld{cost: cost}
		rng := rand.New(rand.NewPCG(1, 1))
		told := make([]time.Duration, count)
		for i := range count {
			call := func(lost bool, limit time.Duration) {
				w.calls++
				w.free = max(w.now, w.free) + w.cost
				answered := w.free
				if lost || answered-w.now > limit {
					return
				}
				w.at(answered, func() {
					if told[i] == 0 {
						told[i] = w.now
					}
				})
			}
			first := maxSilence + time.Duration(rng.Int64N(int64(pace.RetrySpread)))
			lost := rng.IntN(10) == 0
			w.at(first, func() { call(lost, pace.CallTimeout) })
			w.at(first+pace.SecondCallDelay, func() {
				if told[i] == 0 {
					call(false, pace.secondCallTimeout())
				}
			})
		}
		for len(w.queue) > 0 {
			e := heap.Pop(&w.queue).(pollEvent)
			w.now = e.at
			e.do()
		}
		worst := time.Duration(0)
		for i, at := range told {
			if at == 0 {
				t.Fatalf("%v a call: sidecar %d was never told", cost, i)
			}
			worst = max(worst, at)
		}
		t.Logf("%v a call: the last told after %v, %d calls", cost, worst, w.calls)
		if worst > maxNotificationDelay-notificationMargin {
			t.Errorf("%v a call: the last was told after %v", cost, worst)
		}
		if w.calls > 2*count {
			t.Errorf("%v a call: %d calls", cost, w.calls)
		}
	}
}
