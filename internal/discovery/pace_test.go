package discovery

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"martendrum"
)

// The waits of both paces add up to less than the time after which changes count as notified, for every
// grace from the settings.
func TestWaitsAddUp(t *testing.T) {
	polled := PolledPace()
	if delay := polled.WorstDelay(); delay > maxNotificationDelay-notificationMargin {
		t.Errorf("polled: WorstDelay() = %v, want at most %v", delay, maxNotificationDelay-notificationMargin)
	}
	for _, wait := range []time.Duration{polled.CallTimeout, polled.RetrySpread, polled.MaxBackoff, polled.InitialDelay} {
		if wait < 100*time.Millisecond {
			t.Errorf("polled: a wait of %+v is %v, want at least 100ms", polled, wait)
		}
	}
	for grace := time.Duration(0); grace < time.Minute; grace += 10 * time.Millisecond {
		pushed := PushedPace(grace)
		if delay := pushed.WorstDelay(); delay > maxNotificationDelay-notificationMargin {
			t.Errorf("pushed, grace %v: WorstDelay() = %v, want at most %v", grace, delay, maxNotificationDelay-notificationMargin)
		}
		if pushed.CallTimeout < minPushedCallTimeout || pushed.MaxBackoff*2/3 < minBackoff {
			t.Errorf("pushed, grace %v: got %+v, want CallTimeout at least %v and two thirds of MaxBackoff at least %v", grace, pushed, minPushedCallTimeout, minBackoff)
		}
		if grace >= 2*minPushedCallTimeout && pushed.CallTimeout+pushed.MaxBackoff > grace*3/4 {
			t.Errorf("pushed, grace %v: a lost call and the backoff take %v, want at most %v", grace, pushed.CallTimeout+pushed.MaxBackoff, grace*3/4)
		}
	}
}

// pollingSidecar is one of many simulated sidecars that poll the same discovery. Its Balancer decides
// when it polls.
type pollingSidecar struct {
	simulation *pollSimulation
	balancer   *martendrum.Balancer
	notifiedAt time.Duration // when the first list arrived; 0: not yet
}

// pollSimulation simulates a discovery that serves calls one after another, each in the same time, and
// rejects a call that has waited for two seconds. An abandoned call takes as much time as any other.
type pollSimulation struct {
	now, availableAt time.Duration // availableAt: when discovery becomes available
	rejects          bool          // while unavailable, discovery rejects calls; false: it does not answer
	callTime         time.Duration // time to serve one call
	idleAt           time.Duration // when discovery has served all calls so far
	calls            int           // number of calls to the available discovery
	queue            pollQueue
}

// pollEvent is a function that runs at a simulated time.
type pollEvent struct {
	at  time.Duration
	run func()
}

// pollQueue is a heap of events by time.
type pollQueue []pollEvent

func (q pollQueue) Len() int           { return len(q) }
func (q pollQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q pollQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *pollQueue) Push(x any)        { *q = append(*q, x.(pollEvent)) }
func (q *pollQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// schedule runs a function at a simulated time.
func (s *pollSimulation) schedule(at time.Duration, run func()) {
	heap.Push(&s.queue, pollEvent{at, run})
}

func (s *pollingSidecar) Send(martendrum.RequestID, string, time.Duration, time.Duration) {}
func (s *pollingSidecar) Cancel(martendrum.RequestID, int)                                {}
func (s *pollingSidecar) Reject(martendrum.RequestID, time.Duration)                      {}
func (s *pollingSidecar) Fail(martendrum.RequestID)                                       {}
func (s *pollingSidecar) CloseIdle(string)                                                {}
func (s *pollingSidecar) Probe(string)                                                    {}
func (s *pollingSidecar) SetTimer(cookie uint64, after time.Duration) {
	s.simulation.schedule(s.simulation.now+after, func() { s.balancer.TimerFired(s.simulation.now, cookie) })
}

// Subscribe simulates one call as a Watcher makes it.
func (s *pollingSidecar) Subscribe() {
	simulation := s.simulation
	failed := func() { s.balancer.DiscoveryFailed(simulation.now) }
	if simulation.now < simulation.availableAt {
		if simulation.rejects {
			simulation.schedule(simulation.now, failed)
		} else {
			simulation.schedule(simulation.now+PolledPace().CallTimeout, failed)
		}
		return
	}
	simulation.calls++
	start := max(simulation.now, simulation.idleAt)
	switch {
	case start-simulation.now > 2*time.Second:
		simulation.schedule(simulation.now+min(2*time.Second, PolledPace().CallTimeout), failed)
	case start+simulation.callTime-simulation.now > PolledPace().CallTimeout:
		simulation.idleAt = start + simulation.callTime
		simulation.schedule(simulation.now+PolledPace().CallTimeout, failed)
	default:
		simulation.idleAt = start + simulation.callTime
		simulation.schedule(simulation.idleAt, func() {
			if s.notifiedAt == 0 {
				s.notifiedAt = simulation.now
			}
		})
	}
}

// When discovery becomes available again, 300 waiting sidecars are all notified in time, with at most two
// calls each on average.
func TestDiscoveryReturnCausesNoCallStorm(t *testing.T) {
	const count = 300
	for _, callTime := range []time.Duration{time.Millisecond, 5 * time.Millisecond} {
		for _, rejects := range []bool{true, false} {
			t.Run(fmt.Sprintf("%v per call, rejects %v", callTime, rejects), func(t *testing.T) {
				for seed := range uint64(5) {
					rng := rand.New(rand.NewPCG(seed, 1))
					simulation := &pollSimulation{availableAt: 20 * time.Second, rejects: rejects, callTime: callTime}
					pace := PolledPace()
					cfg := martendrum.Config{Instances: count, MaxAttempts: 1, Classes: []martendrum.Class{{LatencyObjective: time.Second}},
						MaxListAge: pace.InitialDelay * 5 / 4, PollRetryWithin: pace.MaxBackoff}
					var sidecars []*pollingSidecar
					for range count {
						sidecar := &pollingSidecar{simulation: simulation}
						var err error
						if sidecar.balancer, err = martendrum.New(cfg, rng.Uint64(), sidecar); err != nil {
							t.Fatalf("martendrum.New: %v", err)
						}
						sidecars = append(sidecars, sidecar)
					}
					for len(simulation.queue) > 0 && simulation.queue[0].at < simulation.availableAt+time.Minute {
						event := heap.Pop(&simulation.queue).(pollEvent)
						simulation.now = event.at
						event.run()
					}
					worst := time.Duration(0)
					for _, sidecar := range sidecars {
						if sidecar.notifiedAt == 0 {
							t.Fatalf("seed %d: a sidecar was never notified", seed)
						}
						worst = max(worst, sidecar.notifiedAt-simulation.availableAt)
					}
					if testing.Verbose() {
						t.Logf("seed %d: the last sidecar was notified after %v, %d calls", seed, worst, simulation.calls)
					}
					if worst > maxNotificationDelay-notificationMargin {
						t.Errorf("seed %d: the last sidecar was notified after %v, want at most %v", seed, worst, maxNotificationDelay-notificationMargin)
					}
					if simulation.calls > 2*count {
						t.Errorf("seed %d: %d sidecars made %d calls, want at most %d", seed, count, simulation.calls, 2*count)
					}
				}
			})
		}
	}
}

// If 300 watches fall silent together, all are notified in time and with at most two calls each. Each
// makes its first call within RetrySpread, and a second one if a slow discovery has not answered by
// SecondCallDelay. The first call of one in ten is lost.
func TestSecondCallsCauseNoStorm(t *testing.T) {
	const count = 300
	pace := PolledPace()
	for _, callTime := range []time.Duration{time.Millisecond, 5 * time.Millisecond} {
		simulation := &pollSimulation{callTime: callTime}
		rng := rand.New(rand.NewPCG(1, 1))
		notifiedAt := make([]time.Duration, count)
		for i := range count {
			call := func(lost bool, timeout time.Duration) {
				simulation.calls++
				simulation.idleAt = max(simulation.now, simulation.idleAt) + simulation.callTime
				answeredAt := simulation.idleAt
				if lost || answeredAt-simulation.now > timeout {
					return
				}
				simulation.schedule(answeredAt, func() {
					if notifiedAt[i] == 0 {
						notifiedAt[i] = simulation.now
					}
				})
			}
			firstCallAt := maxSilence + time.Duration(rng.Int64N(int64(pace.RetrySpread)))
			lost := rng.IntN(10) == 0
			simulation.schedule(firstCallAt, func() { call(lost, pace.CallTimeout) })
			simulation.schedule(firstCallAt+pace.SecondCallDelay, func() {
				if notifiedAt[i] == 0 {
					call(false, pace.secondCallTimeout())
				}
			})
		}
		for len(simulation.queue) > 0 {
			event := heap.Pop(&simulation.queue).(pollEvent)
			simulation.now = event.at
			event.run()
		}
		worst := time.Duration(0)
		for i, at := range notifiedAt {
			if at == 0 {
				t.Fatalf("%v per call: sidecar %d was never notified", callTime, i)
			}
			worst = max(worst, at)
		}
		t.Logf("%v per call: the last sidecar was notified after %v, %d calls", callTime, worst, simulation.calls)
		if worst > maxNotificationDelay-notificationMargin {
			t.Errorf("%v per call: the last sidecar was notified after %v, want at most %v", callTime, worst, maxNotificationDelay-notificationMargin)
		}
		if simulation.calls > 2*count {
			t.Errorf("%v per call: %d calls, want at most %d", callTime, simulation.calls, 2*count)
		}
	}
}
