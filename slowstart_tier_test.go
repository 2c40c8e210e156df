package martendrum

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// crowd is many balancers before the same servers in one simulated clock. Servers answer
// after a while whatever they get; what counts is what a cold one is sent.
type crowd struct {
	now    time.Duration
	queue  crowdQueue
	order  int
	rng    *rand.Rand
	sends  map[string][]time.Duration // to the servers that start
	busy   map[string]int             // requests at a server
	held   int                        // of which it holds so many, and turns the rest away
	missed int                        // requests that were not served
}

type crowdNode struct {
	c    *crowd
	b    *Balancer
	sent map[RequestID]int // attempts
	next RequestID
}

type crowdEvent struct {
	at    time.Duration
	order int
	do    func()
}

type crowdQueue []crowdEvent

func (q crowdQueue) Len() int { return len(q) }
func (q crowdQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q crowdQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *crowdQueue) Push(x any)   { *q = append(*q, x.(crowdEvent)) }
func (q *crowdQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

func (c *crowd) at(t time.Duration, do func()) {
	c.order++
	heap.Push(&c.queue, crowdEvent{t, c.order, do})
}

func (c *crowd) run(until time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= until {
		e := heap.Pop(&c.queue).(crowdEvent)
		c.now = e.at
		e.do()
	}
	c.now = until
}

func (n *crowdNode) Send(id RequestID, server string, _, _ time.Duration) {
	c, attempt := n.c, n.sent[id]
	n.sent[id]++
	if sends, ok := c.sends[server]; ok {
		c.sends[server] = append(sends, c.now)
	}
	o, took := OK, time.Duration(c.rng.ExpFloat64()*float64(25*ms))
	if c.busy[server] >= c.held {
		o, took = Rejected, ms
	} else {
		c.busy[server]++
	}
	c.at(c.now+took, func() {
		if o == OK {
			c.busy[server]--
		}
		n.b.AttemptFinished(c.now, id, attempt, o, o == OK, LoadReport{})
	})
}
func (n *crowdNode) Cancel(id RequestID, k int) {
	n.c.at(n.c.now, func() { n.b.AttemptFinished(n.c.now, id, k, Cancelled, true, LoadReport{}) })
}
func (n *crowdNode) Reject(RequestID, time.Duration) { n.c.missed++ }
func (n *crowdNode) Fail(RequestID)                  { n.c.missed++ }
func (n *crowdNode) CloseIdle(string)                {}
func (n *crowdNode) Probe(server string) {
	n.c.at(n.c.now+ms, func() { n.b.ProbeAnswered(n.c.now, server, LoadReport{HasInFlight: true, InFlight: 1}) })
}
func (n *crowdNode) Subscribe() {}
func (n *crowdNode) SetTimer(cookie uint64, after time.Duration) {
	n.c.at(n.c.now+after, func() { n.b.TimerFired(n.c.now, cookie) })
}

// arrive makes n's clients send at rate, and half as much again within the burst.
func (n *crowdNode) arrive(rate float64, burst, burstEnd, end time.Duration) {
	now, more := n.c.now, 1.0
	if now >= burst && now < burstEnd {
		more = 1.5
	}
	n.c.at(now+time.Duration(n.c.rng.ExpFloat64()/(rate*more)*float64(time.Second)), func() {
		if n.c.now >= end {
			return
		}
		n.next++
		n.b.Arrive(n.c.now, Request{ID: n.next, Class: int(n.next) % 3, Tenant: -1, Deadline: n.c.now + 2*time.Second})
		n.arrive(rate, burst, burstEnd, end)
	})
}

// What a cold server gets from all balancers together stays under what fells it, however
// many they are and however many servers start at once, with traffic that is skewed and
// comes in a burst, with retries and copies, while some know of the start late; and it gets
// a fair part of what it can take.
func TestColdSumOverBalancers(t *testing.T) {
	const (
		servers  = 12
		capacity = 20.0 // requests a second of a warm server
		load     = 0.7
		start    = 30 * time.Second
		end      = start + 20*time.Second
	)
	for _, count := range []int{1, 5, 30, 300} {
		for _, cold := range []int{1, 6, 12} {
			t.Run(fmt.Sprintf("%d balancers, %d cold", count, cold), func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(10) {
					c := &crowd{rng: rand.New(rand.NewPCG(seed, 7)), held: 3, sends: make(map[string][]time.Duration), busy: make(map[string]int)}
					cfg := testConfig()
					cfg.Instances = count
					cfg.SlowStartInitialFraction, cfg.SlowStartDuration, cfg.OverloadFactor, cfg.OverloadDuration = 0.14, 23*time.Second, 4, 2*time.Second
					list := fleetOf(servers)
					anew := fleetOf(cold)
					for i := range anew {
						anew[i].Started = start
						c.sends[anew[i].Name] = nil
					}
					weights, sum := make([]float64, count), 0.0
					for i := range weights {
						weights[i] = 1 / math.Sqrt(float64(i+1)) // some see several times the mean
						sum += weights[i]
					}
					for i := range count {
						n := &crowdNode{c: c, sent: make(map[RequestID]int)}
						var err error
						if n.b, err = New(cfg, c.rng.Uint64(), n); err != nil {
							t.Fatal(err)
						}
						n.b.ServersListed(0, list)
						n.arrive(load*servers*capacity*weights[i]/sum, start+2*time.Second, start+6*time.Second, end)
						told := start + time.Duration(c.rng.Float64()*float64(100*ms))
						if i%10 == 9 {
							told += 3 * time.Second
						}
						c.at(told, func() { n.b.ServersChanged(c.now, anew) })
					}
					c.run(end)
					warmth := func(at time.Duration) float64 {
						return min(1, cfg.SlowStartInitialFraction+(1-cfg.SlowStartInitialFraction)*(at-start).Seconds()/cfg.SlowStartDuration.Seconds())
					}
					could := 0.0
					for at := start; at < end; at += time.Second {
						could += capacity * warmth(at)
					}
					worst, got := 0.0, 0
					for _, sends := range c.sends {
						for i, from := range sends {
							if from < start {
								continue
							}
							got++
							n := cfg.OverloadFactor * warmth(from) * capacity * cfg.OverloadDuration.Seconds()
							k := i
							for k < len(sends) && sends[k] < from+cfg.OverloadDuration {
								k++
							}
							worst = max(worst, float64(k-i)/(n+2*math.Sqrt(n)+2))
						}
					}
					if testing.Verbose() {
						t.Logf("seed %d: worst window %.2f of the bound, %d sends to a cold one of %.0f it could serve, %d not served", seed, worst, got/cold, could, c.missed)
					}
					if worst > 1 {
						t.Errorf("seed %d: a cold server got %.2f times what may be sent in a window", seed, worst)
					}
					if float64(got/cold) < could/8 {
						t.Errorf("seed %d: cold servers got %d sends each of %.0f that they could serve", seed, got/cold, could)
					}
				}
			})
		}
	}
}
