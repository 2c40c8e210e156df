package martendrum

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// recorder is a Host that writes down what it is asked.
type recorder struct {
	got     []string
	servers []string // by send
	timers  []uint64
	delays  []time.Duration
	within  []time.Duration // by send
}

func (r *recorder) say(format string, args ...any) {
	r.got = append(r.got, fmt.Sprintf(format, args...))
}
func (r *recorder) Send(id RequestID, server string, _, within time.Duration) {
	r.within = append(r.within, within)
	r.servers = append(r.servers, server)
	r.say("send %d", id)
}
func (r *recorder) Cancel(id RequestID, n int)           { r.say("cancel %d/%d", id, n) }
func (r *recorder) Reject(id RequestID, _ time.Duration) { r.say("refuse %d", id) }
func (r *recorder) Fail(id RequestID)                    { r.say("fail %d", id) }
func (r *recorder) CloseIdle(server string)              {}
func (r *recorder) Probe(server string)                  { r.say("probe %s", server) }
func (r *recorder) Subscribe()                           { r.say("subscribe") }
func (r *recorder) SetTimer(c uint64, after time.Duration) {
	r.timers = append(r.timers, c)
	r.delays = append(r.delays, after)
}

func testConfig() Config {
	return Config{
		Instances: 3, MaxAttempts: 4, AllowCancellation: true, AllowHedging: true,
		SlowStartInitialFraction: 0.2, SlowStartDuration: 10 * time.Second, OverloadFactor: 3, OverloadDuration: 2 * time.Second,
		Classes: []Class{
			{LatencyObjective: 100 * ms, Weight: 1},
			{LatencyObjective: 100 * ms, Weight: 1, Idempotency: IdempotencyKeyed, DedupScope: DedupScopeZone, DedupWindow: 200 * ms},
			{LatencyObjective: 100 * ms, Weight: 1, Idempotency: NonIdempotent},
		},
	}
}

func newTest(t *testing.T, cfg Config, servers ...Endpoint) (*Balancer, *recorder) {
	t.Helper()
	r := new(recorder)
	b, err := New(cfg, 1, r)
	if err != nil {
		t.Fatal(err)
	}
	b.ServersListed(0, servers)
	return b, r
}

// without copies: the draw for one always fails.
func (b *Balancer) noCopies() { b.hedger.probability = 0 }

func TestFurtherAttempts(t *testing.T) {
	two := []Endpoint{{Name: "a", Zone: "z"}, {Name: "b", Zone: "z"}}
	apart := []Endpoint{{Name: "a", Zone: "y"}, {Name: "b", Zone: "z"}}
	for _, c := range []struct {
		name    string
		class   int
		servers []Endpoint
		o       Outcome
		at      time.Duration
		want    []string
	}{
		{"safe after error", 0, two, ServerError, ms, []string{"send 1", "send 1"}},
		{"safe after full", 0, two, Rejected, ms, []string{"send 1", "send 1"}},
		{"unsafe after full", 2, two, Rejected, ms, []string{"send 1", "send 1"}},
		{"unsafe after no connection", 2, two, ConnectFailed, ms, []string{"send 1", "send 1"}},
		{"unsafe after error", 2, two, ServerError, ms, []string{"send 1", "fail 1"}},
		{"unsafe after reset", 2, two, Reset, ms, []string{"send 1", "fail 1"}},
		{"unsafe after timeout", 2, two, TimedOut, ms, []string{"send 1", "fail 1"}},
		{"unsafe after cancel", 2, two, Cancelled, ms, []string{"send 1", "fail 1"}},
		{"keyed in its group", 1, two, Reset, ms, []string{"send 1", "send 1"}},
		{"keyed out of its group", 1, apart, Reset, ms, []string{"send 1", "fail 1"}},
		{"keyed never ran, any group", 1, apart, Rejected, ms, []string{"send 1", "send 1"}},
		{"nobody left to try", 2, two[:1], Rejected, ms, []string{"send 1", "refuse 1"}},
		{"past the aim", 0, two, Reset, 100 * ms, []string{"send 1", "refuse 1"}},
		{"unsafe past the aim", 2, two, Reset, 100 * ms, []string{"send 1", "fail 1"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			b, r := newTest(t, testConfig(), c.servers...)
			b.noCopies()
			b.Arrive(0, Request{ID: 1, Class: c.class, Deadline: 300 * ms})
			b.AttemptFinished(c.at, 1, 0, c.o, false, LoadReport{})
			if !slices.Equal(r.got, c.want) {
				t.Errorf("got %v, want %v", r.got, c.want)
			}
			if len(r.servers) == 2 && r.servers[0] == r.servers[1] {
				t.Errorf("both attempts went to %s", r.servers[0])
			}
		})
	}
}

// Where only probes tell loads, a request waits for its probes and then goes to
// the less loaded server; where that one cannot answer within the aim, it is
// refused at once. Without, quiet balancers fed jams that they could not see.
func TestProbesFirst(t *testing.T) {
	cfg := testConfig()
	cfg.Probes = true
	b, r := newTest(t, cfg, Endpoint{Name: "a"}, Endpoint{Name: "b"})
	b.noCopies()
	arrive := func(id RequestID, deadline time.Duration, a, bb float64) {
		r.got, r.delays = nil, nil
		b.Arrive(0, Request{ID: id, Deadline: deadline})
		if len(r.got) != probesPerRequest {
			t.Fatalf("asked %v on arrival, want %d probes", r.got, probesPerRequest)
		}
		b.ProbeAnswered(0, "a", LoadReport{HasInFlight: true, InFlight: a})
		b.ProbeAnswered(0, "b", LoadReport{HasInFlight: true, InFlight: bb})
		b.ProbeAnswered(0, "gone", LoadReport{})
		r.got = nil
		b.TimerFired(0, r.timers[len(r.timers)-1])
	}
	for id := RequestID(1); id <= 10; id++ {
		arrive(id, 300*ms, 5, 0)
		if got := r.servers[id-1]; got != "b" {
			t.Errorf("request %d went to the loaded %s", id, got)
		}
		b.AttemptFinished(20*ms, id, 0, OK, true, LoadReport{})
	}
	arrive(11, 300*ms, 90, 90)
	if !slices.Equal(r.got, []string{"refuse 11"}) {
		t.Errorf("got %v where the aim is out of reach, want a refusal", r.got)
	}
	arrive(12, 2*ms, 0, 0)
	if r.delays[0] > ms {
		t.Errorf("waits %v for probes with 2 ms left", r.delays[0])
	}
}

// Probes that cost more than they can win are not sent.
func TestDearProbes(t *testing.T) {
	cfg := testConfig()
	cfg.Probes, cfg.ProbeCost = true, 2*maxProbeCost/probesPerRequest
	b, r := newTest(t, cfg, Endpoint{Name: "a"})
	b.Arrive(0, Request{ID: 1, Deadline: 300 * ms})
	if !slices.Contains(r.got, "send 1") {
		t.Errorf("got %v, want a send at once", r.got)
	}
}

func TestHedgeAndCancel(t *testing.T) {
	b, r := newTest(t, testConfig(), Endpoint{Name: "a"}, Endpoint{Name: "b"})
	b.hedger.probability, b.hedger.delay, b.hedger.tokens = 1, 0.5, 3
	b.Arrive(0, Request{ID: 1, Deadline: 300 * ms})
	if len(r.delays) != 1 || r.delays[0] != 50*ms {
		t.Fatalf("timers %v, want one after half the aim", r.delays)
	}
	b.TimerFired(50*ms, r.timers[0])
	b.requests[1].samplePair = false
	b.AttemptFinished(60*ms, 1, 1, OK, true, LoadReport{})
	b.AttemptFinished(60*ms, 1, 0, Cancelled, true, LoadReport{})
	if want := []string{"send 1", "send 1", "cancel 1/0"}; !slices.Equal(r.got, want) {
		t.Errorf("got %v, want %v", r.got, want)
	}
	if n := len(b.requests) + len(b.timers); n != 0 {
		t.Errorf("%d requests and timers kept after the end", n)
	}
	if p := b.hedger.primary.buf; len(p) != 1 || !p[0].censored {
		t.Errorf("primary log %v, want one censored sample", p)
	}
}

// A retry budget binds all but the dearest: where all queues are full, retries
// only push others out.
func TestRetryBudget(t *testing.T) {
	cfg := testConfig()
	cfg.Classes[2].Weight = 20
	b, r := newTest(t, cfg, fleetOf(4)...)
	for id := RequestID(1); id <= 200; id++ {
		b.noCopies()
		now := time.Duration(id) * 10 * ms
		class := int(id%10/9) * 2 // a tenth is dear
		b.admission.shedLevel = 0
		b.Arrive(now, Request{ID: id, Class: class, Tenant: -1, Deadline: now + 300*ms})
		for n := 0; b.requests[id] != nil; n++ {
			b.AttemptFinished(now, id, n, Rejected, false, LoadReport{})
		}
	}
	sends := make(map[bool]int)
	for _, did := range r.got {
		var id int
		if _, err := fmt.Sscanf(did, "send %d", &id); err == nil {
			sends[id%10 == 9]++
		}
	}
	if dear := sends[true]; dear != 20*cfg.MaxAttempts {
		t.Errorf("%d sends of 20 dear requests, want all %d attempts each", dear, cfg.MaxAttempts)
	}
	if cheap := sends[false]; cheap < 180+40 || cheap > 180+80 {
		t.Errorf("%d sends of 180 cheap requests, want about %v retries a request", cheap, retryTokensPerRequest)
	}
}

// In an overload copies only add to what comes late: while the balancer sheds, a
// planned copy is not sent.
func TestNoCopiesWhileShedding(t *testing.T) {
	for _, level := range []float64{0, 0.5} {
		b, r := newTest(t, testConfig(), fleetOf(4)...)
		b.hedger.probability = 1
		b.Arrive(0, Request{ID: 1, Tenant: -1, Deadline: time.Second})
		b.admission.shedLevel = level
		b.TimerFired(10*ms, r.timers[0])
		if copied := len(r.servers) == 2; copied != (level == 0) {
			t.Errorf("level %v: copied %v", level, copied)
		}
	}
}

// A jam must be heard of at the aim, not only by the time-outs seconds later, and
// each request counts once.
func TestOverdueCountsAsLate(t *testing.T) {
	b, r := newTest(t, testConfig(), fleetOf(4)...)
	b.hedger.probability = 0
	b.Arrive(0, Request{ID: 1, Class: 2, Tenant: -1, Deadline: time.Second})
	b.TimerFired(100*ms, r.timers[0])
	level := b.admission.shedLevel
	if level <= 0 {
		t.Error("unanswered at its aim: the shed level did not rise")
	}
	b.AttemptFinished(150*ms, 1, 0, OK, true, LoadReport{})
	if b.admission.shedLevel != level {
		t.Errorf("level %v after the late answer, want still %v", b.admission.shedLevel, level)
	}
}

// The timer at the aim is never one for a copy, not even from a host whose clock
// cuts fractions off and fires a little early.
func TestAimTimerSendsNoCopy(t *testing.T) {
	b, r := newTest(t, testConfig(), fleetOf(4)...)
	b.hedger.probability = 0
	b.Arrive(0, Request{ID: 1, Tenant: -1, Deadline: time.Second})
	b.TimerFired(100*ms-1, r.timers[0])
	if len(r.servers) != 1 {
		t.Errorf("%d sends without a copy drawn, want 1", len(r.servers))
	}
}

// A request that is open when its class changes keeps its effect and its attempts, one
// that was read before and comes after too; classes that stay keep what was learned.
func TestRetuneKeepsOpen(t *testing.T) {
	cfg := testConfig()
	b, r := newTest(t, cfg, Endpoint{Name: "a"}, Endpoint{Name: "b"}, Endpoint{Name: "c"})
	old := &cfg.Classes[2]
	b.Arrive(0, Request{ID: 1, Class: 2, Tenant: -1, Deadline: time.Second})
	next := testConfig()
	next.Classes[2].Idempotency = Idempotent
	next.Classes = append(next.Classes, Class{LatencyObjective: 100 * ms, Weight: 1})
	if err := b.Reconfigure(next); err != nil {
		t.Fatal(err)
	}
	b.Arrive(0, Request{ID: 2, Class: 2, ClassAtArrival: old, Tenant: -1, Deadline: time.Second})
	b.Arrive(0, Request{ID: 3, Class: 2, Tenant: -1, Deadline: time.Second})
	b.Arrive(0, Request{ID: 4, Class: 3, Tenant: -1, Deadline: time.Second})
	r.got = nil
	for id := RequestID(1); id <= 4; id++ {
		b.AttemptFinished(ms, id, 0, Reset, false, LoadReport{})
	}
	if got := fmt.Sprint(r.got); got != "[fail 1 fail 2 send 3 send 4]" {
		t.Error(got)
	}
	if b.Reconfigure(testConfig()) == nil {
		t.Error("a class lost its place")
	}
	next.MaxAttempts = 1 // binds at once: they have had two
	if err := b.Reconfigure(next); err != nil {
		t.Fatal(err)
	}
	r.got = nil
	b.AttemptFinished(2*ms, 3, 1, Reset, false, LoadReport{})
	if got := fmt.Sprint(r.got); got != "[refuse 3]" {
		t.Error(got)
	}
}

// Where a failed call must be repeated within a time, each is, however many fail.
func TestAskAgainIsBounded(t *testing.T) {
	cfg := testConfig()
	cfg.MaxListAge, cfg.RetryWithin = time.Minute, 500*ms
	r := new(recorder)
	b, err := New(cfg, 1, r) // and has not had a list yet
	if err != nil {
		t.Fatal(err)
	}
	for n := range 50 {
		b.DiscoveryFailed(time.Duration(n) * time.Second)
		if d := r.delays[len(r.delays)-1]; d > cfg.RetryWithin || d < cfg.RetryWithin/4 {
			t.Errorf("after failure %d the next call comes in %v", n, d)
		}
	}
}

// A keyed request that may have run may leave again within its window only, also where
// that ends long before the deadline; one that is free to run may leave until then.
func TestRepeatMayLeaveWithinItsWindow(t *testing.T) {
	for class, want := range map[int]time.Duration{0: 930 * ms, 1: 130 * ms} {
		b, r := newTest(t, testConfig(), fleetOf(2)...)
		b.Arrive(0, Request{ID: 1, Class: class, Deadline: time.Second})
		b.AttemptFinished(70*ms, 1, 0, Reset, false, LoadReport{})
		if len(r.within) != 2 || r.within[0] != time.Second || r.within[1] != want {
			t.Errorf("class %d: the attempts may leave within %v, want 1s and %v", class, r.within, want)
		}
	}
}
