package martendrum

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

// checker is a Host that simulates servers and clients with random numbers from a seed. It checks the
// rules for attempts and answers against its own records, independently of the Balancer's state.
type checker struct {
	config     Config
	rng        *rand.Rand
	now        time.Duration
	servers    map[string]*listedServer
	requests   map[RequestID]*clientRequest
	queue      []scriptEvent // future events
	lastOrder  int           // order of the event that was added last
	sends      int           // attempts sent
	hedges     int           // attempts sent while another was in flight
	rejected   int           // requests answered by Reject
	failed     int           // requests answered by Fail
	violations []string      // violations of the rules, each with its time
}

// listedServer is the checker's record of a server, with the entry that the Balancer received last.
type listedServer struct {
	Endpoint
	notServingSince time.Duration // when it was last listed as not serving
}

// clientRequest is the checker's record of a request.
type clientRequest struct {
	Request
	class        Class
	finished     bool // it has its final answer, or its client has disconnected
	disconnected bool
	attempts     []checkedAttempt
}

// checkedAttempt is the checker's record of an attempt.
type checkedAttempt struct {
	server      Endpoint // as listed when the attempt was sent
	sent        time.Duration
	done        bool
	notExecuted bool
	cancelled   bool
}

// scriptEvent is an action and the time at which the checker runs it.
type scriptEvent struct {
	at     time.Duration
	order  int // order among events with the same time
	action func(b *Balancer)
}

// deadlineSlack is how long after its deadline a request may be answered, because the checker fires
// timers late.
const deadlineSlack = 20 * ms

// reportViolation records a violation of the rules at the current time.
func (c *checker) reportViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf("%v: ", c.now)+fmt.Sprintf(format, args...))
}

// enqueue schedules an action at time t.
func (c *checker) enqueue(t time.Duration, action func(b *Balancer)) {
	c.lastOrder++
	c.queue = append(c.queue, scriptEvent{t, c.lastOrder, action})
}

func (c *checker) Send(id RequestID, name string, timeout, within time.Duration) {
	request, listed := c.requests[id], c.servers[name]
	if request == nil || listed == nil {
		c.reportViolation("send for unknown request %d or server %q", id, name)
		return
	}
	if request.finished {
		c.reportViolation("send for finished request %d", id)
	}
	if len(request.attempts) >= c.config.MaxAttempts {
		c.reportViolation("request %d got attempt %d, want at most %d attempts", id, len(request.attempts)+1, c.config.MaxAttempts)
	}
	if listed.State != Serving && c.now > listed.notServingSince {
		c.reportViolation("send to %s, which is not serving", name)
	}
	inFlight := false
	for _, earlier := range request.attempts {
		inFlight = inFlight || !earlier.done
		if earlier.done && earlier.notExecuted {
			continue
		}
		switch {
		case request.class.Idempotency == NonIdempotent:
			c.reportViolation("non-idempotent request %d sent again though it may have been executed", id)
		case request.class.Idempotency == IdempotencyKeyed && c.now-earlier.sent >= request.class.DedupWindow:
			c.reportViolation("keyed request %d sent again after its deduplication window", id)
		case request.class.Idempotency == IdempotencyKeyed && (request.class.DedupScope == DedupScopeZone && earlier.server.Zone != listed.Zone ||
			request.class.DedupScope == DedupScopeGroup && earlier.server.Group != listed.Group):
			c.reportViolation("keyed request %d sent again outside its deduplication scope", id)
		}
	}
	if inFlight && !c.config.AllowHedging {
		c.reportViolation("two attempts of request %d in flight though hedging is not allowed", id)
	}
	if inFlight {
		c.hedges++
	}
	c.sends++
	index := len(request.attempts)
	request.attempts = append(request.attempts, checkedAttempt{server: listed.Endpoint, sent: c.now})
	outcomes := []Outcome{OK, OK, OK, OK, OK, Rejected, Rejected, ServerError, ConnectFailed, Reset, TimedOut, NotSent}
	outcome := outcomes[c.rng.IntN(len(outcomes))]
	latency := time.Duration(c.rng.ExpFloat64() * float64(60*ms))
	if outcome == TimedOut || latency > timeout {
		outcome, latency = TimedOut, max(timeout, 0)
	}
	c.enqueue(c.now+latency, func(b *Balancer) { c.finishAttempt(b, request, index, outcome) })
}

// finishAttempt records the outcome of an attempt, unless it has one, and reports it to the Balancer
// with a random load report.
func (c *checker) finishAttempt(b *Balancer, request *clientRequest, index int, outcome Outcome) {
	checked := &request.attempts[index]
	if checked.done {
		return
	}
	checked.done, checked.notExecuted = true, outcome.ProvablyNotExecuted()
	if outcome == OK {
		request.finished = true
	}
	report := LoadReport{HasInFlight: c.rng.IntN(2) == 0, InFlight: float64(c.rng.IntN(9)), HasUtilization: c.rng.IntN(2) == 0, Utilization: c.rng.Float64()}
	b.AttemptFinished(c.now, request.ID, index, outcome, request.finished, report)
	if !request.finished && c.now > request.Deadline+deadlineSlack {
		c.reportViolation("request %d unanswered after its deadline", request.ID)
	}
}

func (c *checker) Cancel(id RequestID, index int) {
	request := c.requests[id]
	switch {
	case !c.config.AllowCancellation:
		c.reportViolation("attempt cancelled though cancellation is not allowed")
	case request == nil || index >= len(request.attempts):
		c.reportViolation("cancel of an attempt that was never sent")
	case !request.attempts[index].done && !request.attempts[index].cancelled:
		request.attempts[index].cancelled = true
		c.enqueue(c.now, func(b *Balancer) { c.finishAttempt(b, request, index, Cancelled) })
	}
}

// recordFinalAnswer records and checks a final answer by Reject or Fail. It returns an empty request if the
// ID is unknown.
func (c *checker) recordFinalAnswer(id RequestID) *clientRequest {
	request := c.requests[id]
	if request == nil {
		c.reportViolation("final answer for unknown request %d", id)
		return &clientRequest{}
	}
	if request.finished && !request.disconnected {
		c.reportViolation("second final answer for request %d", id)
	}
	if c.now > request.Deadline+deadlineSlack {
		c.reportViolation("final answer for request %d after its deadline", id)
	}
	request.finished = true
	return request
}

func (c *checker) Reject(id RequestID, _ time.Duration) {
	request := c.recordFinalAnswer(id)
	c.rejected++
	if request.class.Idempotency == Idempotent || request.class.Idempotency == IdempotencyKeyed && request.class.DedupScope == DedupScopeAll {
		return
	}
	for _, earlier := range request.attempts {
		if !earlier.done || !earlier.notExecuted {
			c.reportViolation("request %d rejected though it may have been executed", id)
		}
	}
}

func (c *checker) Fail(id RequestID) { c.recordFinalAnswer(id); c.failed++ }

func (c *checker) SetTimer(cookie uint64, after time.Duration) {
	if after < 0 {
		c.reportViolation("timer set with the negative delay %v", after)
	}
	c.enqueue(c.now+after+5*ms, func(b *Balancer) { b.TimerFired(c.now, cookie) })
}

func (c *checker) CloseIdle(string) {}
func (c *checker) Probe(string)     {}

func (c *checker) Subscribe() {
	c.enqueue(c.now+time.Duration(c.rng.IntN(1000))*ms, func(b *Balancer) {
		if c.rng.IntN(2) == 0 {
			b.DiscoveryFailed(c.now)
			return
		}
		b.ServersListed(c.now, c.currentList())
	})
}

// currentList returns the complete server list, sorted by name.
func (c *checker) currentList() []Endpoint {
	var list []Endpoint
	for _, s := range c.servers {
		if s.State != Removed {
			list = append(list, s.Endpoint)
		}
	}
	slices.SortFunc(list, func(a, b Endpoint) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// changeRandomServer changes one of n servers at random and reports the change to the Balancer.
func (c *checker) changeRandomServer(b *Balancer, n int) {
	name := fmt.Sprintf("s%d", c.rng.IntN(n))
	s := c.servers[name]
	if s == nil {
		s = &listedServer{Endpoint: Endpoint{Name: name, Zone: fmt.Sprintf("z%d", c.rng.IntN(2)), Group: c.rng.IntN(3), CapacityHint: c.rng.Float64() * 2}}
		c.servers[name] = s
	}
	previousState := s.State
	s.State = EndpointState(c.rng.IntN(3))
	if s.State == Serving && previousState == Removed || c.rng.IntN(4) == 0 {
		s.Started = c.now
	}
	if s.State != Serving {
		s.notServingSince = c.now
	}
	b.ServersChanged(c.now, []Endpoint{s.Endpoint})
}

// scriptParameters are the parameters of one random script, which is a sequence of requests and of
// changes of servers.
type scriptParameters struct {
	servers     int
	meanGap     time.Duration // mean time between two requests
	maxDeadline time.Duration // longest time from the arrival of a request to its deadline
}

// scriptRequests is the number of requests in a script.
const scriptRequests = 600

// runScript runs one random script with a new Balancer and returns the checker, which holds the
// violations.
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
		c.changeRandomServer(b, script.servers)
	}
	last := c.scheduleScript(script)
	c.runQueue(b, last+script.maxDeadline+20*time.Second)
	for id, request := range c.requests {
		if !request.finished {
			c.reportViolation("request %d got no final answer", id)
		}
	}
	if remaining := len(b.requests) + len(b.timers); remaining != 0 {
		c.reportViolation("the Balancer keeps %d requests and timers after all requests have finished, want 0", remaining)
	}
	return c
}

// scheduleScript schedules the script's requests and changes of servers. It returns the time of the last
// request.
func (c *checker) scheduleScript(script scriptParameters) time.Duration {
	next := c.now
	for id := RequestID(1); id <= scriptRequests; id++ {
		next += time.Duration(c.rng.ExpFloat64() * float64(script.meanGap))
		request := &clientRequest{Request: Request{
			ID:       id,
			Class:    c.rng.IntN(len(c.config.Classes)),
			Tenant:   c.rng.IntN(4) - 1,
			Deadline: next + time.Duration(c.rng.Float64()*float64(script.maxDeadline)),
		}}
		request.class = c.config.Classes[request.Class]
		c.enqueue(next, func(b *Balancer) { c.arrive(b, request, script.maxDeadline) })
		if c.rng.IntN(10) == 0 {
			c.enqueue(next, func(b *Balancer) { c.changeRandomServer(b, script.servers) })
		}
	}
	return next
}

// arrive passes the request to the Balancer. One client in ten disconnects within half of maxDeadline.
func (c *checker) arrive(b *Balancer, request *clientRequest, maxDeadline time.Duration) {
	c.requests[request.ID] = request
	b.Arrive(c.now, request.Request)
	if c.rng.IntN(10) != 0 {
		return
	}
	c.enqueue(c.now+time.Duration(c.rng.Float64()*float64(maxDeadline)/2), func(b *Balancer) {
		if !request.finished {
			request.finished, request.disconnected = true, true
		}
		b.ClientDisconnected(c.now, request.ID)
	})
}

// runQueue runs the events in order of time until there are none or the next one is after end. The end
// is needed because polls of discovery never stop.
func (c *checker) runQueue(b *Balancer, end time.Duration) {
	for len(c.queue) > 0 {
		slices.SortFunc(c.queue, func(a, b scriptEvent) int {
			if a.at != b.at {
				return int(a.at - b.at)
			}
			return a.order - b.order
		})
		event := c.queue[0]
		c.queue = c.queue[1:]
		if event.at > end {
			return
		}
		c.now = max(c.now, event.at)
		event.action(b)
	}
}

// The rules for attempts and answers hold in random scripts under many configurations.
func TestRulesUnderRandomScripts(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(*Config)
		script scriptParameters
	}{
		{"long latency objective", func(c *Config) { c.Classes[0].LatencyObjective = 300 * ms }, scriptParameters{8, 10 * ms, 400 * ms}},
		{"no cancellation", func(c *Config) { c.AllowCancellation = false }, scriptParameters{8, 10 * ms, 400 * ms}},
		{"no hedging", func(c *Config) { c.AllowHedging = false }, scriptParameters{8, 10 * ms, 400 * ms}},
		{"one server", func(*Config) {}, scriptParameters{1, 10 * ms, 400 * ms}},
		{"tenants, one with a quota of 0", func(c *Config) { c.TenantQuotas, c.OverQuotaWeight = []float64{5, 0, 40}, 0.2 }, scriptParameters{5, 10 * ms, 400 * ms}},
		{"one attempt", func(c *Config) { c.MaxAttempts = 1 }, scriptParameters{5, 10 * ms, 400 * ms}},
		{"one instance", func(c *Config) { c.Instances = 1 }, scriptParameters{5, 10 * ms, 400 * ms}},
		{"thousands of instances, connections with a cost", func(c *Config) { c.Instances, c.ConnectionCost = 5000, 0.05 }, scriptParameters{40, 200 * ms, 400 * ms}},
		{"keyed, deduplicated by all servers", func(c *Config) { c.Classes[1].DedupScope = DedupScopeAll }, scriptParameters{8, 10 * ms, 400 * ms}},
		{"short deduplication window", func(c *Config) { c.Classes[1].DedupWindow = 30 * ms }, scriptParameters{8, 10 * ms, 400 * ms}},
		{"keyed, deduplicated by a group", func(c *Config) { c.Classes[1].DedupScope = DedupScopeGroup }, scriptParameters{20, 10 * ms, 400 * ms}},
		{"discovery by subscription", func(c *Config) { c.MaxListAge = 3 * time.Second }, scriptParameters{8, 20 * ms, 400 * ms}},
		{"short deadlines", func(*Config) {}, scriptParameters{8, 10 * ms, 8 * ms}},
		{"long deadlines", func(*Config) {}, scriptParameters{8, 10 * ms, time.Minute}},
		{"late answers have a value", func(c *Config) { c.Classes[0].LateWeight = 0.5; c.Classes[1].LateWeight = 0.5 }, scriptParameters{8, 10 * ms, 400 * ms}},
	} {
		t.Run(test.name, func(t *testing.T) {
			hedges := 0
			for seed := range uint64(12) {
				cfg := testConfig()
				test.change(&cfg)
				c := runScript(t, seed, cfg, test.script)
				for _, violation := range c.violations {
					t.Errorf("seed %d: %s", seed, violation)
				}
				if c.sends == 0 && test.script.servers > 1 {
					t.Errorf("seed %d: no attempt was sent, want some", seed)
				}
				hedges += c.hedges
			}
			if test.name == "long latency objective" && hedges == 0 {
				t.Error("no hedge was sent in any script, want some")
			}
		})
	}
}
