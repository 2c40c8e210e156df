package martendrum

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// tier is many balancers in front of the same servers on one simulated clock. The test counts
// what a server in slow start is sent.
type tier struct {
	now        time.Duration
	queue      tierEvents
	lastOrder  int
	rng        *rand.Rand
	sends      map[string][]time.Duration // by server that starts
	inFlight   map[string]int             // requests by server
	queueLimit int                        // requests that a server takes at once; it rejects the rest
	unserved   int                        // requests without an answer
}

type tierBalancer struct {
	tier     *tier
	balancer *Balancer
	attempts map[RequestID]int // by request
	lastID   RequestID
}

type tierEvent struct {
	at    time.Duration
	order int
	do    func()
}

type tierEvents []tierEvent

func (q tierEvents) Len() int { return len(q) }
func (q tierEvents) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q tierEvents) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *tierEvents) Push(x any)   { *q = append(*q, x.(tierEvent)) }
func (q *tierEvents) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

func (c *tier) at(t time.Duration, do func()) {
	c.lastOrder++
	heap.Push(&c.queue, tierEvent{t, c.lastOrder, do})
}

func (c *tier) run(until time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= until {
		e := heap.Pop(&c.queue).(tierEvent)
		c.now = e.at
		e.do()
	}
	c.now = until
}

func (n *tierBalancer) Send(id RequestID, server string, _, _ time.Duration) {
	c, attempt := n.tier, n.attempts[id]
	n.attempts[id]++
	if sends, ok := c.sends[server]; ok {
		c.sends[server] = append(sends, c.now)
	}
	o, took := OK, time.Duration(c.rng.ExpFloat64()*float64(25*ms))
	if c.inFlight[server] >= c.queueLimit {
		o, took = Rejected, ms
	} else {
		c.inFlight[server]++
	}
	c.at(c.now+took, func() {
		if o == OK {
			c.inFlight[server]--
		}
		n.balancer.AttemptFinished(c.now, id, attempt, o, o == OK, LoadReport{})
	})
}
func (n *tierBalancer) Cancel(id RequestID, k int) {
	n.tier.at(n.tier.now, func() { n.balancer.AttemptFinished(n.tier.now, id, k, Cancelled, true, LoadReport{}) })
}
func (n *tierBalancer) Reject(RequestID, time.Duration) { n.tier.unserved++ }
func (n *tierBalancer) Fail(RequestID)                  { n.tier.unserved++ }
func (n *tierBalancer) CloseIdle(string)                {}
func (n *tierBalancer) Probe(server string) {
	n.tier.at(n.tier.now+ms, func() { n.balancer.ProbeAnswered(n.tier.now, server, LoadReport{HasInFlight: true, InFlight: 1}) })
}
func (n *tierBalancer) Subscribe() {}
func (n *tierBalancer) SetTimer(cookie uint64, after time.Duration) {
	n.tier.at(n.tier.now+after, func() { n.balancer.TimerFired(n.tier.now, cookie) })
}

// arrive makes n's clients send at rate, half as much again within the burst, until end.
func (n *tierBalancer) arrive(rate float64, burst, burstEnd, end time.Duration) {
	now, more := n.tier.now, 1.0
	if now >= burst && now < burstEnd {
		more = 1.5
	}
	n.tier.at(now+time.Duration(n.tier.rng.ExpFloat64()/(rate*more)*float64(time.Second)), func() {
		if n.tier.now >= end {
			return
		}
		n.lastID++
		n.balancer.Arrive(n.tier.now, Request{ID: n.lastID, Class: int(n.lastID) % 3, Tenant: -1, Deadline: n.tier.now + 2*time.Second})
		n.arrive(rate, burst, burstEnd, end)
	})
}

// The sends of all balancers together to a server in slow start stay under its overload limit,
// however many balancers there are and however many servers start at once, with skewed traffic,
// a burst, retries and hedges, while some balancers learn of the start late. The server gets a
// fair part of what it can serve.
func TestSlowStartSumOverBalancers(t *testing.T) {
	const (
		servers  = 12
		capacity = 20.0 // requests a second of a server at full capacity
		load     = 0.7
		start    = 30 * time.Second
		end      = start + 20*time.Second
	)
	for _, count := range []int{1, 5, 30, 300} {
		for _, cold := range []int{1, 6, 12} {
			t.Run(fmt.Sprintf("%d balancers, %d starting servers", count, cold), func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(10) {
					c := &tier{rng: rand.New(rand.NewPCG(seed, 7)), queueLimit: 3, sends: make(map[string][]time.Duration), inFlight: make(map[string]int)}
					cfg := testConfig()
					cfg.Instances = count
					cfg.SlowStartInitialFraction, cfg.SlowStartDuration, cfg.OverloadFactor, cfg.OverloadDuration = 0.14, 23*time.Second, 4, 2*time.Second
					list := servingEndpoints(servers)
					anew := servingEndpoints(cold)
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
						n := &tierBalancer{tier: c, attempts: make(map[RequestID]int)}
						var err error
						if n.balancer, err = New(cfg, c.rng.Uint64(), n); err != nil {
							t.Fatal(err)
						}
						n.balancer.ServersListed(0, list)
						n.arrive(load*servers*capacity*weights[i]/sum, start+2*time.Second, start+6*time.Second, end)
						told := start + time.Duration(c.rng.Float64()*float64(100*ms))
						if i%10 == 9 {
							told += 3 * time.Second
						}
						c.at(told, func() { n.balancer.ServersChanged(c.now, anew) })
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
						t.Logf("seed %d: worst window %.2f of the bound, %d sends to a server in slow start of %.0f it could serve, %d not served", seed, worst, got/cold, could, c.unserved)
					}
					if worst > 1 {
						t.Errorf("seed %d: a server in slow start got %.2f times what may be sent in a window", seed, worst)
					}
					if float64(got/cold) < could/8 {
						t.Errorf("seed %d: servers in slow start got %d sends each of %.0f that they could serve", seed, got/cold, could)
					}
				}
			})
		}
	}
}
