package martendrum

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

// checker is a Host that plays servers and clients from a seed and checks the rules of
// attempts and answers from its own records, independent of the Balancer's state.
type checker struct {
	config     Config
	rng        *rand.Rand
	now        time.Duration
	servers    map[string]*listedServer
	requests   map[RequestID]*clientRequest
	queue      []scriptEvent
	lastOrder  int
	sends      int
	hedges     int
	rejected   int
	failed     int
	violations []string
}

// listedServer is the last entry of a server that the balancer received.
type listedServer struct {
	Endpoint
	notServingSince time.Duration
}

type clientRequest struct {
	Request
	class        Class
	finished     bool
	disconnected bool
	attempts     []checkedAttempt
}

type checkedAttempt struct {
	server      Endpoint
	sent        time.Duration
	done        bool
	notExecuted bool
	cancelled   bool
}

type scriptEvent struct {
	at    time.Duration
	order int
	do    func(b *Balancer)
}

const slack = 20 * ms

func (c *checker) violate(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf("%v: ", c.now)+fmt.Sprintf(format, args...))
}

func (c *checker) at(t time.Duration, do func(b *Balancer)) {
	c.lastOrder++
	c.queue = append(c.queue, scriptEvent{t, c.lastOrder, do})
}

func (c *checker) Send(id RequestID, name string, timeout, within time.Duration) {
	r, s := c.requests[id], c.servers[name]
	if r == nil || s == nil {
		c.violate("send for unknown request %d or server %q", id, name)
		return
	}
	if r.finished {
		c.violate("send for ended request %d", id)
	}
	if len(r.attempts) >= c.config.MaxAttempts {
		c.violate("attempt %d of request %d", len(r.attempts), id)
	}
	if s.State != Serving && c.now > s.notServingSince {
		c.violate("send to %s, which is not serving", name)
	}
	out := false
	for _, t := range r.attempts {
		out = out || !t.done
		if t.done && t.notExecuted {
			continue
		}
		switch {
		case r.class.Idempotency == NonIdempotent:
			c.violate("non-idempotent request %d sent again", id)
		case r.class.Idempotency == IdempotencyKeyed && c.now-t.sent >= r.class.DedupWindow:
			c.violate("keyed request %d sent past its window", id)
		case r.class.Idempotency == IdempotencyKeyed && (r.class.DedupScope == DedupScopeZone && t.server.Zone != s.Zone ||
			r.class.DedupScope == DedupScopeGroup && t.server.Group != s.Group):
			c.violate("keyed request %d sent outside its scope", id)
		}
	}
	if out && !c.config.AllowHedging {
		c.violate("two attempts of request %d in flight", id)
	}
	if out {
		c.hedges++
	}
	c.sends++
	n := len(r.attempts)
	r.attempts = append(r.attempts, checkedAttempt{server: s.Endpoint, sent: c.now})
	outcomes := []Outcome{OK, OK, OK, OK, OK, Rejected, Rejected, ServerError, ConnectFailed, Reset, TimedOut, NotSent}
	o := outcomes[c.rng.IntN(len(outcomes))]
	took := time.Duration(c.rng.ExpFloat64() * float64(60*ms))
	if o == TimedOut || took > timeout {
		o, took = TimedOut, max(timeout, 0)
	}
	c.at(c.now+took, func(b *Balancer) { c.finish(b, r, n, o) })
}

func (c *checker) finish(b *Balancer, r *clientRequest, n int, o Outcome) {
	t := &r.attempts[n]
	if t.done {
		return
	}
	t.done, t.notExecuted = true, o.ProvablyNotExecuted()
	if o == OK {
		r.finished = true
	}
	rep := LoadReport{HasInFlight: c.rng.IntN(2) == 0, InFlight: float64(c.rng.IntN(9)), HasUtilization: c.rng.IntN(2) == 0, Utilization: c.rng.Float64()}
	b.AttemptFinished(c.now, r.ID, n, o, r.finished, rep)
	if !r.finished && c.now > r.Deadline+slack {
		c.violate("request %d unanswered after its deadline", r.ID)
	}
}

func (c *checker) Cancel(id RequestID, n int) {
	r := c.requests[id]
	switch {
	case !c.config.AllowCancellation:
		c.violate("cancel where none is allowed")
	case r == nil || n >= len(r.attempts):
		c.violate("cancel of an attempt never made")
	case !r.attempts[n].done && !r.attempts[n].cancelled:
		r.attempts[n].cancelled = true
		c.at(c.now, func(b *Balancer) { c.finish(b, r, n, Cancelled) })
	}
}

func (c *checker) answer(id RequestID) *clientRequest {
	r := c.requests[id]
	if r == nil {
		c.violate("answer for unknown request %d", id)
		return &clientRequest{}
	}
	if r.finished && !r.disconnected {
		c.violate("second answer for request %d", id)
	}
	if c.now > r.Deadline+slack {
		c.violate("answer for request %d after its deadline", id)
	}
	r.finished = true
	return r
}

func (c *checker) Reject(id RequestID, _ time.Duration) {
	r := c.answer(id)
	c.rejected++
	if r.class.Idempotency == Idempotent || r.class.Idempotency == IdempotencyKeyed && r.class.DedupScope == DedupScopeAll {
		return
	}
	for _, t := range r.attempts {
		if !t.done || !t.notExecuted {
			c.violate("request %d rejected though it may have been executed", id)
		}
	}
}

func (c *checker) Fail(id RequestID) { c.answer(id); c.failed++ }

func (c *checker) SetTimer(cookie uint64, after time.Duration) {
	if after < 0 {
		c.violate("timer in the past")
	}
	c.at(c.now+after+5*ms, func(b *Balancer) { b.TimerFired(c.now, cookie) })
}

func (c *checker) CloseIdle(string) {}
func (c *checker) Probe(string)     {}

func (c *checker) Subscribe() {
	c.at(c.now+time.Duration(c.rng.IntN(1000))*ms, func(b *Balancer) {
		if c.rng.IntN(2) == 0 {
			b.DiscoveryFailed(c.now)
			return
		}
		b.ServersListed(c.now, c.list())
	})
}

func (c *checker) list() []Endpoint {
	var all []Endpoint
	for _, s := range c.servers {
		if s.State != Removed {
			all = append(all, s.Endpoint)
		}
	}
	slices.SortFunc(all, func(a, b Endpoint) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// change changes one server and reports it to the balancer.
func (c *checker) change(b *Balancer, n int) {
	name := fmt.Sprintf("s%d", c.rng.IntN(n))
	s := c.servers[name]
	if s == nil {
		s = &listedServer{Endpoint: Endpoint{Name: name, Zone: fmt.Sprintf("z%d", c.rng.IntN(2)), Group: c.rng.IntN(3), CapacityHint: c.rng.Float64() * 2}}
		c.servers[name] = s
	}
	was := s.State
	s.State = EndpointState(c.rng.IntN(3))
	if s.State == Serving && was == Removed || c.rng.IntN(4) == 0 {
		s.Started = c.now
	}
	if s.State != Serving {
		s.notServingSince = c.now
	}
	b.ServersChanged(c.now, []Endpoint{s.Endpoint})
}

// scriptParameters are the parameters of one random script.
type scriptParameters struct {
	servers  int
	gap      time.Duration // mean time between two requests
	patience time.Duration // longest time from an arrival to its deadline
}

// scriptRequests is the number of requests of a script.
const scriptRequests = 600

// runScript plays one random script and returns its checker with the violations.
func runScript(t *testing.T, seed uint64, cfg Config, script scriptParameters) *checker {
	t.Helper()
	c := &checker{
		config:   cfg,
		rng:      rand.New(rand.NewPCG(seed, 7)),
		servers:  make(map[string]*listedServer),
		requests: make(map[RequestID]*clientRequest),
		now:      time.Hour,
	}
	b, err := New(cfg, seed, c)
	if err != nil {
		t.Fatal(err)
	}
	for range script.servers {
		c.change(b, script.servers)
	}
	last := c.schedule(script)
	c.play(b, last+script.patience+20*time.Second)
	for id, r := range c.requests {
		if !r.finished {
			c.violate("request %d never answered", id)
		}
	}
	if n := len(b.requests) + len(b.timers); n != 0 {
		c.violate("%d requests and timers remain after all finished", n)
	}
	return c
}

// schedule schedules the script's requests and changes of servers and returns the time of
// the last request.
func (c *checker) schedule(script scriptParameters) time.Duration {
	next := c.now
	for id := RequestID(1); id <= scriptRequests; id++ {
		next += time.Duration(c.rng.ExpFloat64() * float64(script.gap))
		r := &clientRequest{Request: Request{
			ID:       id,
			Class:    c.rng.IntN(len(c.config.Classes)),
			Tenant:   c.rng.IntN(4) - 1,
			Deadline: next + time.Duration(c.rng.Float64()*float64(script.patience)),
		}}
		r.class = c.config.Classes[r.Class]
		c.at(next, func(b *Balancer) { c.arrive(b, r, script.patience) })
		if c.rng.IntN(10) == 0 {
			c.at(next, func(b *Balancer) { c.change(b, script.servers) })
		}
	}
	return next
}

// arrive gives the request to the balancer. One client in ten disconnects within half its
// patience.
func (c *checker) arrive(b *Balancer, r *clientRequest, patience time.Duration) {
	c.requests[r.ID] = r
	b.Arrive(c.now, r.Request)
	if c.rng.IntN(10) != 0 {
		return
	}
	c.at(c.now+time.Duration(c.rng.Float64()*float64(patience)/2), func(b *Balancer) {
		if !r.finished {
			r.finished, r.disconnected = true, true
		}
		b.ClientDisconnected(c.now, r.ID)
	})
}

// play runs the queue in the order of time until it is empty or end has passed: polls of
// discovery never stop.
func (c *checker) play(b *Balancer, end time.Duration) {
	for len(c.queue) > 0 {
		slices.SortFunc(c.queue, func(a, b scriptEvent) int {
			if a.at != b.at {
				return int(a.at - b.at)
			}
			return a.order - b.order
		})
		e := c.queue[0]
		c.queue = c.queue[1:]
		if e.at > end {
			return
		}
		c.now = max(c.now, e.at)
		e.do(b)
	}
}

func TestRulesUnderRandomScripts(t *testing.T) {
	for _, v := range []struct {
		name   string
		change func(*Config)
		script scriptParameters
	}{
		{"as usual", func(c *Config) { c.Classes[0].LatencyObjective = 300 * ms }, scriptParameters{8, 10 * ms, 400 * ms}},
		{"no cancellation", func(c *Config) { c.AllowCancellation = false }, scriptParameters{8, 10 * ms, 400 * ms}},
		{"no hedging", func(c *Config) { c.AllowHedging = false }, scriptParameters{8, 10 * ms, 400 * ms}},
		{"one server", func(*Config) {}, scriptParameters{1, 10 * ms, 400 * ms}},
		{"tenants, one without a quota", func(c *Config) { c.TenantQuotas, c.OverQuotaWeight = []float64{5, 0, 40}, 0.2 }, scriptParameters{5, 10 * ms, 400 * ms}},
		{"one attempt", func(c *Config) { c.MaxAttempts = 1 }, scriptParameters{5, 10 * ms, 400 * ms}},
		{"one instance", func(c *Config) { c.Instances = 1 }, scriptParameters{5, 10 * ms, 400 * ms}},
		{"thousands of instances, connections with a cost", func(c *Config) { c.Instances, c.ConnectionCost = 5000, 0.05 }, scriptParameters{40, 200 * ms, 400 * ms}},
		{"keyed for all servers", func(c *Config) { c.Classes[1].DedupScope = DedupScopeAll }, scriptParameters{8, 10 * ms, 400 * ms}},
		{"short deduplication window", func(c *Config) { c.Classes[1].DedupWindow = 30 * ms }, scriptParameters{8, 10 * ms, 400 * ms}},
		{"keyed in a group", func(c *Config) { c.Classes[1].DedupScope = DedupScopeGroup }, scriptParameters{20, 10 * ms, 400 * ms}},
		{"subscribed", func(c *Config) { c.MaxListAge = 3 * time.Second }, scriptParameters{8, 20 * ms, 400 * ms}},
		{"short deadlines", func(*Config) {}, scriptParameters{8, 10 * ms, 8 * ms}},
		{"long deadlines", func(*Config) {}, scriptParameters{8, 10 * ms, time.Minute}},
		{"late answers count", func(c *Config) { c.Classes[0].LateWeight = 0.5; c.Classes[1].LateWeight = 0.5 }, scriptParameters{8, 10 * ms, 400 * ms}},
	} {
		t.Run(v.name, func(t *testing.T) {
			hedges := 0
			for seed := range uint64(12) {
				cfg := testConfig()
				v.change(&cfg)
				c := runScript(t, seed, cfg, v.script)
				for _, s := range c.violations {
					t.Errorf("seed %d: %s", seed, s)
				}
				if c.sends == 0 && v.script.servers > 1 {
					t.Errorf("seed %d: nothing was sent", seed)
				}
				hedges += c.hedges
			}
			if v.name == "as usual" && hedges == 0 {
				t.Error("no hedge was sent in any script")
			}
		})
	}
}
