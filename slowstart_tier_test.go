package martendrum

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// tierSimulation simulates a tier, which is all balancers that share the same servers, with one clock. It
// counts the sends to servers in slow start.
type tierSimulation struct {
	now       time.Duration
	queue     tierEvents // future events
	lastOrder int        // order of the event that was added last
	rng       *rand.Rand
	sends     map[string][]time.Duration // times of sends, by server that restarts
	inFlight  map[string]int             // requests in flight, by server
	size      map[string]float64         // capacity of each server at full capacity, divided by tierCapacity
	unserved  int                        // requests that were rejected or failed
}

// tierHost is the Host of one Balancer in the simulation.
type tierHost struct {
	sim      *tierSimulation
	balancer *Balancer
	attempts map[RequestID]int // number of attempts, by request
	lastID   RequestID         // ID of the last request that arrived
}

// tierEvent is an action at a time.
type tierEvent struct {
	at     time.Duration
	order  int // order among events with the same time
	action func()
}

// tierEvents is a heap of events by time; it implements heap.Interface.
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

// enqueue schedules an action at the time.
func (sim *tierSimulation) enqueue(t time.Duration, action func()) {
	sim.lastOrder++
	heap.Push(&sim.queue, tierEvent{t, sim.lastOrder, action})
}

// run runs all events until the time.
func (sim *tierSimulation) run(until time.Duration) {
	for len(sim.queue) > 0 && sim.queue[0].at <= until {
		e := heap.Pop(&sim.queue).(tierEvent)
		sim.now = e.at
		e.action()
	}
	sim.now = until
}

func (host *tierHost) Send(id RequestID, server string, _, _ time.Duration) {
	sim, attempt := host.sim, host.attempts[id]
	host.attempts[id]++
	if sends, ok := sim.sends[server]; ok {
		sim.sends[server] = append(sends, sim.now)
	}
	outcome, latency := OK, time.Duration(sim.rng.ExpFloat64()*float64(25*ms))
	if sim.inFlight[server] >= int(tierQueueLimit*sim.size[server]) {
		outcome, latency = Rejected, ms
	} else {
		sim.inFlight[server]++
	}
	sim.enqueue(sim.now+latency, func() {
		if outcome == OK {
			sim.inFlight[server]--
		}
		host.balancer.AttemptFinished(sim.now, id, attempt, outcome, outcome == OK, LoadReport{})
	})
}
func (host *tierHost) Cancel(id RequestID, index int) {
	host.sim.enqueue(host.sim.now, func() { host.balancer.AttemptFinished(host.sim.now, id, index, Cancelled, true, LoadReport{}) })
}
func (host *tierHost) Reject(RequestID, time.Duration) { host.sim.unserved++ }
func (host *tierHost) Fail(RequestID)                  { host.sim.unserved++ }
func (host *tierHost) CloseIdle(string)                {}
func (host *tierHost) Probe(server string) {
	host.sim.enqueue(host.sim.now+ms, func() { host.balancer.ProbeAnswered(host.sim.now, server, LoadReport{HasInFlight: true, InFlight: 1}) })
}
func (host *tierHost) Subscribe() {}
func (host *tierHost) SetTimer(cookie uint64, after time.Duration) {
	host.sim.enqueue(host.sim.now+after, func() { host.balancer.TimerFired(host.sim.now, cookie) })
}

// scheduleArrivals schedules the next request of the host's clients, and each later one, until end. The
// clients send rate requests a second, 1.5 times as many from burstStart to burstEnd.
func (host *tierHost) scheduleArrivals(rate float64, burstStart, burstEnd, end time.Duration) {
	now, rateFactor := host.sim.now, 1.0
	if now >= burstStart && now < burstEnd {
		rateFactor = 1.5
	}
	host.sim.enqueue(now+time.Duration(host.sim.rng.ExpFloat64()/(rate*rateFactor)*float64(time.Second)), func() {
		if host.sim.now >= end {
			return
		}
		host.lastID++
		host.balancer.Arrive(host.sim.now, Request{ID: host.lastID, Class: int(host.lastID) % 3, Tenant: -1, Deadline: host.sim.now + 2*time.Second})
		host.scheduleArrivals(rate, burstStart, burstEnd, end)
	})
}

// Parameters of the simulated tiers.
const (
	tierServers    = 12
	tierCapacity   = 20.0 // requests a second of a server of size 1 at full capacity
	tierQueueLimit = 3.0  // most requests in flight at a server of size 1; it rejects more
	restartAt      = 30 * time.Second
	tierEnd        = restartAt + 20*time.Second
)

// tier is a simulated tier. Each server's size is also its capacity hint.
type tier struct {
	config     Config    // of each balancer
	sizes      []float64 // of each server
	restarting int       // number of servers that restart at restartAt: the first ones
	load       float64   // traffic as a fraction of the capacity of all servers
}

// tierConfig returns the configuration of each of count balancers.
func tierConfig(count int) Config {
	cfg := testConfig()
	cfg.Instances = count
	cfg.SlowStartInitialFraction = 0.14
	cfg.SlowStartDuration = 23 * time.Second
	cfg.OverloadFactor = 4
	cfg.OverloadDuration = 2 * time.Second
	return cfg
}

// runTier simulates a tier and returns the simulation at tierEnd.
func runTier(t *testing.T, tier tier, seed uint64) *tierSimulation {
	t.Helper()
	cfg := tier.config
	sim := &tierSimulation{
		rng:      rand.New(rand.NewPCG(seed, 7)),
		sends:    make(map[string][]time.Duration),
		inFlight: make(map[string]int),
		size:     make(map[string]float64),
	}
	list, capacity := servingEndpoints(len(tier.sizes)), 0.0
	for i, size := range tier.sizes {
		list[i].CapacityHint, sim.size[list[i].Name] = size, size
		capacity += size * tierCapacity
	}
	restarted := slices.Clone(list[:tier.restarting])
	for i := range restarted {
		restarted[i].Started = restartAt
		sim.sends[restarted[i].Name] = nil
	}
	weights, sum := make([]float64, cfg.Instances), 0.0
	for i := range weights {
		weights[i] = 1 / math.Sqrt(float64(i+1)) // some balancers get several times the mean traffic
		sum += weights[i]
	}
	for i := range cfg.Instances {
		host := &tierHost{sim: sim, attempts: make(map[RequestID]int)}
		var err error
		if host.balancer, err = New(cfg, sim.rng.Uint64(), host); err != nil {
			t.Fatal(err)
		}
		host.balancer.ServersListed(0, list)
		host.scheduleArrivals(tier.load*capacity*weights[i]/sum, restartAt+2*time.Second, restartAt+6*time.Second, tierEnd)
		notifiedAt := restartAt + time.Duration(sim.rng.Float64()*float64(100*ms))
		if i%10 == 9 { // every tenth balancer learns of the restarts late
			notifiedAt += 3 * time.Second
		}
		sim.enqueue(notifiedAt, func() { host.balancer.ServersChanged(sim.now, restarted) })
	}
	sim.run(tierEnd)
	return sim
}

// trueSlowStartFactor returns the fraction of its capacity that a restarted server has at the time.
func trueSlowStartFactor(cfg Config, at time.Duration) float64 {
	return min(1, cfg.SlowStartInitialFraction+(1-cfg.SlowStartInitialFraction)*(at-restartAt).Seconds()/cfg.SlowStartDuration.Seconds())
}

// serviceableRequests returns the number of requests that a restarted server of size 1 can serve until
// tierEnd.
func serviceableRequests(cfg Config) float64 {
	sum := 0.0
	for at := restartAt; at < tierEnd; at += time.Second {
		sum += tierCapacity * trueSlowStartFactor(cfg, at)
	}
	return sum
}

// worstWindow returns the highest number of sends to a restarted server within OverloadDuration, as a
// multiple of the bound, which is the overload limit with a margin for random variation. count is the
// number of all sends to restarted servers since restartAt.
func (sim *tierSimulation) worstWindow(cfg Config) (worst float64, count int) {
	for server, sends := range sim.sends {
		for first, from := range sends {
			if from < restartAt {
				continue
			}
			count++
			limit := cfg.OverloadFactor * trueSlowStartFactor(cfg, from) * tierCapacity * sim.size[server] * cfg.OverloadDuration.Seconds()
			next := first
			for next < len(sends) && sends[next] < from+cfg.OverloadDuration {
				next++
			}
			worst = max(worst, float64(next-first)/(limit+2*math.Sqrt(limit)+2))
		}
	}
	return worst, count
}

// checkSlowStartSum simulates a tier, whose starting servers have size 1, with several seeds. It checks that
// they get at most the bound of sends within OverloadDuration, and at least an eighth of the requests that
// they can serve.
func checkSlowStartSum(t *testing.T, tier tier) {
	t.Helper()
	serviceable := serviceableRequests(tier.config)
	for seed := range uint64(10) {
		sim := runTier(t, tier, seed)
		worst, sends := sim.worstWindow(tier.config)
		sends /= tier.restarting
		if testing.Verbose() {
			t.Logf("seed %d: highest number of sends within OverloadDuration = %.2f of the bound; %d sends to each starting server, which could serve %.0f; %d requests not served", seed, worst, sends, serviceable, sim.unserved)
		}
		if worst > 1 {
			t.Errorf("seed %d: a server in slow start got %.2f times the bound of sends within OverloadDuration, want at most 1", seed, worst)
		}
		if float64(sends) < serviceable/8 {
			t.Errorf("seed %d: servers in slow start got %d sends each, want at least an eighth of the %.0f that they could serve", seed, sends, serviceable)
		}
	}
}

// The sends of all balancers together to a server in slow start stay under its overload limit, however
// many balancers there are and however many servers start at the same time. Traffic is uneven and has a
// burst, there are retries and hedges, and some balancers learn of the start late. The server still gets
// at least an eighth of the requests that it can serve.
func TestSlowStartSumOverBalancers(t *testing.T) {
	sizes := slices.Repeat([]float64{1}, tierServers)
	for _, count := range []int{1, 5, 30, 300} {
		for _, restarting := range []int{1, 6, 12} {
			t.Run(fmt.Sprintf("%d balancers, %d starting servers", count, restarting), func(t *testing.T) {
				t.Parallel()
				checkSlowStartSum(t, tier{config: tierConfig(count), sizes: sizes, restarting: restarting, load: 0.7})
			})
		}
	}
}

// Guards against a small server that is overloaded in slow start because its budget is that of a server of
// mean size. Small servers restart beside large ones, under more traffic than all servers can serve.
func TestSlowStartSumAtSmallServers(t *testing.T) {
	sizes := slices.Concat(slices.Repeat([]float64{1}, 4), slices.Repeat([]float64{2.5}, tierServers-4))
	for _, count := range []int{1, 5, 32} {
		for _, restarting := range []int{1, 4} {
			t.Run(fmt.Sprintf("%d balancers, %d starting servers", count, restarting), func(t *testing.T) {
				t.Parallel()
				config := tierConfig(count)
				config.OverloadFactor = 2
				config.OverloadDuration = time.Second
				checkSlowStartSum(t, tier{config: config, sizes: sizes, restarting: restarting, load: 1.2})
			})
		}
	}
}
