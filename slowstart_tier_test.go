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

// The parameters of TestSlowStartSumOverBalancers.
const (
	tierServers  = 12
	tierCapacity = 20.0 // requests a second of a server at full capacity
	tierLoad     = 0.7  // fraction of the capacity of all servers
	restartAt    = 30 * time.Second
	tierEnd      = restartAt + 20*time.Second
)

// tierConfig is the configuration of each of count balancers.
func tierConfig(count int) Config {
	cfg := testConfig()
	cfg.Instances = count
	cfg.SlowStartInitialFraction = 0.14
	cfg.SlowStartDuration = 23 * time.Second
	cfg.OverloadFactor = 4
	cfg.OverloadDuration = 2 * time.Second
	return cfg
}

// runTier runs balancers with the configuration in front of servers, some of which restart, and
// returns the tier at its end.
func runTier(t *testing.T, cfg Config, restarting int, seed uint64) *tier {
	t.Helper()
	c := &tier{
		rng:        rand.New(rand.NewPCG(seed, 7)),
		queueLimit: 3,
		sends:      make(map[string][]time.Duration),
		inFlight:   make(map[string]int),
	}
	list := servingEndpoints(tierServers)
	restarted := servingEndpoints(restarting)
	for i := range restarted {
		restarted[i].Started = restartAt
		c.sends[restarted[i].Name] = nil
	}
	weights, sum := make([]float64, cfg.Instances), 0.0
	for i := range weights {
		weights[i] = 1 / math.Sqrt(float64(i+1)) // some get several times the mean traffic
		sum += weights[i]
	}
	for i := range cfg.Instances {
		n := &tierBalancer{tier: c, attempts: make(map[RequestID]int)}
		var err error
		if n.balancer, err = New(cfg, c.rng.Uint64(), n); err != nil {
			t.Fatal(err)
		}
		n.balancer.ServersListed(0, list)
		n.arrive(tierLoad*tierServers*tierCapacity*weights[i]/sum, restartAt+2*time.Second, restartAt+6*time.Second, tierEnd)
		notifiedAt := restartAt + time.Duration(c.rng.Float64()*float64(100*ms))
		if i%10 == 9 { // every tenth balancer learns of the restarts late
			notifiedAt += 3 * time.Second
		}
		c.at(notifiedAt, func() { n.balancer.ServersChanged(c.now, restarted) })
	}
	c.run(tierEnd)
	return c
}

// trueSlowStartFactor is the fraction of its capacity that a restarted server has.
func trueSlowStartFactor(cfg Config, at time.Duration) float64 {
	return min(1, cfg.SlowStartInitialFraction+(1-cfg.SlowStartInitialFraction)*(at-restartAt).Seconds()/cfg.SlowStartDuration.Seconds())
}

// serviceable is the number of requests that a restarted server can serve until the end.
func serviceable(cfg Config) float64 {
	sum := 0.0
	for at := restartAt; at < tierEnd; at += time.Second {
		sum += tierCapacity * trueSlowStartFactor(cfg, at)
	}
	return sum
}

// worstWindow returns the highest number of sends to a restarted server within
// OverloadDuration, as a multiple of the bound with its random margin, and counts all sends.
func (c *tier) worstWindow(cfg Config) (worst float64, count int) {
	for _, sends := range c.sends {
		for first, from := range sends {
			if from < restartAt {
				continue
			}
			count++
			limit := cfg.OverloadFactor * trueSlowStartFactor(cfg, from) * tierCapacity * cfg.OverloadDuration.Seconds()
			next := first
			for next < len(sends) && sends[next] < from+cfg.OverloadDuration {
				next++
			}
			worst = max(worst, float64(next-first)/(limit+2*math.Sqrt(limit)+2))
		}
	}
	return worst, count
}

// The sends of all balancers together to a server in slow start stay under its overload limit,
// however many balancers there are and however many servers start at once, with skewed traffic,
// a burst, retries and hedges, while some balancers learn of the start late. The server gets a
// fair part of what it can serve.
func TestSlowStartSumOverBalancers(t *testing.T) {
	for _, count := range []int{1, 5, 30, 300} {
		for _, restarting := range []int{1, 6, 12} {
			t.Run(fmt.Sprintf("%d balancers, %d starting servers", count, restarting), func(t *testing.T) {
				t.Parallel()
				cfg := tierConfig(count)
				could := serviceable(cfg)
				for seed := range uint64(10) {
					c := runTier(t, cfg, restarting, seed)
					worst, sends := c.worstWindow(cfg)
					if testing.Verbose() {
						t.Logf("seed %d: worst window %.2f of the bound, %d sends to a server in slow start of %.0f it could serve, %d not served", seed, worst, sends/restarting, could, c.unserved)
					}
					if worst > 1 {
						t.Errorf("seed %d: a server in slow start got %.2f times what may be sent in a window", seed, worst)
					}
					if float64(sends/restarting) < could/8 {
						t.Errorf("seed %d: servers in slow start got %d sends each of %.0f that they could serve", seed, sends/restarting, could)
					}
				}
			})
		}
	}
}
