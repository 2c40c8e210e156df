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
	polled := Polled()
	if w := polled.WorstDelay(); w > maxNotificationDelay-notificationMargin {
		t.Errorf("polled: %v in all", w)
	}
	for _, d := range []time.Duration{polled.CallTimeout, polled.RetrySpread, polled.MaxBackoff, polled.InitialDelay} {
		if d < 100*time.Millisecond {
			t.Errorf("polled: %+v gives a part too little time", polled)
		}
	}
	for grace := time.Duration(0); grace < time.Minute; grace += 10 * time.Millisecond {
		p := Pushed(grace)
		if w := p.WorstDelay(); w > maxNotificationDelay-notificationMargin {
			t.Errorf("pushed, grace %v: %v in all", grace, w)
		}
		if p.CallTimeout < minPushedCallTimeout || p.MaxBackoff*2/3 < minBackoff {
			t.Errorf("pushed, grace %v: %+v gives a part too little time", grace, p)
		}
		if grace >= 2*minPushedCallTimeout && p.CallTimeout+p.MaxBackoff > grace*3/4 {
			t.Errorf("pushed, grace %v: the next answer comes after %v", grace, p.CallTimeout+p.MaxBackoff)
		}
	}
}

// pollingSidecar is one of many sidecars that poll the same discovery. Its Balancer decides when.
type pollingSidecar struct {
	world      *pollWorld
	balancer   *martendrum.Balancer
	notifiedAt time.Duration // when a list arrived; 0: not yet
}

// pollWorld simulates a discovery that serves calls one after another, each at the same cost, and
// rejects a call that has waited for two seconds. An abandoned call costs as much as any other.
type pollWorld struct {
	now, back time.Duration // back: when discovery is available again
	rejects   bool          // calls while it is unavailable; false: it does not answer them
	cost      time.Duration
	idleAt    time.Duration // when it has served all calls so far
	calls     int           // since it is available again
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

func (a *pollingSidecar) Send(martendrum.RequestID, string, time.Duration, time.Duration) {}
func (a *pollingSidecar) Cancel(martendrum.RequestID, int)                                {}
func (a *pollingSidecar) Reject(martendrum.RequestID, time.Duration)                      {}
func (a *pollingSidecar) Fail(martendrum.RequestID)                                       {}
func (a *pollingSidecar) CloseIdle(string)                                                {}
func (a *pollingSidecar) Probe(string)                                                    {}
func (a *pollingSidecar) SetTimer(cookie uint64, after time.Duration) {
	a.world.at(a.world.now+after, func() { a.balancer.TimerFired(a.world.now, cookie) })
}

// Subscribe is one call as a Watcher makes it.
func (a *pollingSidecar) Subscribe() {
	w := a.world
	failed := func() { a.balancer.DiscoveryFailed(w.now) }
	if w.now < w.back {
		if w.rejects {
			w.at(w.now, failed)
		} else {
			w.at(w.now+Polled().CallTimeout, failed)
		}
		return
	}
	w.calls++
	begins := max(w.now, w.idleAt)
	switch {
	case begins-w.now > 2*time.Second:
		w.at(w.now+min(2*time.Second, Polled().CallTimeout), failed)
	case begins+w.cost-w.now > Polled().CallTimeout:
		w.idleAt = begins + w.cost
		w.at(w.now+Polled().CallTimeout, failed)
	default:
		w.idleAt = begins + w.cost
		w.at(w.idleAt, func() {
			if a.notifiedAt == 0 {
				a.notifiedAt = w.now
			}
		})
	}
}

// Three hundred sidecars that wait for discovery to return are all notified well in time, and
// their calls meanwhile are no storm.
func TestDiscoveryReturnCausesNoCallStorm(t *testing.T) {
	const count = 300
	for _, cost := range []time.Duration{time.Millisecond, 5 * time.Millisecond} {
		for _, rejects := range []bool{true, false} {
			t.Run(fmt.Sprintf("%v a call, rejects %v", cost, rejects), func(t *testing.T) {
				for seed := range uint64(5) {
					rng := rand.New(rand.NewPCG(seed, 1))
					w := &pollWorld{back: 20 * time.Second, rejects: rejects, cost: cost}
					p := Polled()
					cfg := martendrum.Config{Instances: count, MaxAttempts: 1, Classes: []martendrum.Class{{LatencyObjective: time.Second}},
						MaxListAge: p.InitialDelay * 5 / 4, RetryWithin: p.MaxBackoff}
					var all []*pollingSidecar
					for range count {
						a := &pollingSidecar{world: w}
						var err error
						if a.balancer, err = martendrum.New(cfg, rng.Uint64(), a); err != nil {
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
						if a.notifiedAt == 0 {
							t.Fatalf("seed %d: one was never notified", seed)
						}
						worst = max(worst, a.notifiedAt-w.back)
					}
					if testing.Verbose() {
						t.Logf("seed %d: the last was notified after %v, %d calls", seed, worst, w.calls)
					}
					if worst > maxNotificationDelay-notificationMargin {
						t.Errorf("seed %d: the last was notified after %v", seed, worst)
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
		notifiedAt := make([]time.Duration, count)
		for i := range count {
			call := func(lost bool, limit time.Duration) {
				w.calls++
				w.idleAt = max(w.now, w.idleAt) + w.cost
				answered := w.idleAt
				if lost || answered-w.now > limit {
					return
				}
				w.at(answered, func() {
					if notifiedAt[i] == 0 {
						notifiedAt[i] = w.now
					}
				})
			}
			first := maxSilence + time.Duration(rng.Int64N(int64(pace.RetrySpread)))
			lost := rng.IntN(10) == 0
			w.at(first, func() { call(lost, pace.CallTimeout) })
			w.at(first+pace.SecondCallDelay, func() {
				if notifiedAt[i] == 0 {
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
		for i, at := range notifiedAt {
			if at == 0 {
				t.Fatalf("%v a call: sidecar %d was never notified", cost, i)
			}
			worst = max(worst, at)
		}
		t.Logf("%v a call: the last was notified after %v, %d calls", cost, worst, w.calls)
		if worst > maxNotificationDelay-notificationMargin {
			t.Errorf("%v a call: the last was notified after %v", cost, worst)
		}
		if w.calls > 2*count {
			t.Errorf("%v a call: %d calls", cost, w.calls)
		}
	}
}
