package martendrum

import (
	"fmt"
	"testing"
	"time"
)

const ms = time.Millisecond

// recorder is a Host that records the actions it is to carry out.
type recorder struct {
	actions     []string
	servers     []string // by send
	timers      []uint64
	delays      []time.Duration
	sendWithins []time.Duration // by send
}

func (r *recorder) record(format string, args ...any) {
	r.actions = append(r.actions, fmt.Sprintf(format, args...))
}
func (r *recorder) Send(id RequestID, server string, _, within time.Duration) {
	r.sendWithins = append(r.sendWithins, within)
	r.servers = append(r.servers, server)
	r.record("send %d", id)
}
func (r *recorder) Cancel(id RequestID, n int)           { r.record("cancel %d/%d", id, n) }
func (r *recorder) Reject(id RequestID, _ time.Duration) { r.record("refuse %d", id) }
func (r *recorder) Fail(id RequestID)                    { r.record("fail %d", id) }
func (r *recorder) CloseIdle(server string)              {}
func (r *recorder) Probe(server string)                  { r.record("probe %s", server) }
func (r *recorder) Subscribe()                           { r.record("subscribe") }
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

// disableHedging makes every draw for a hedge fail.
func (b *Balancer) disableHedging() { b.hedger.probability = 0 }

// A jam must be detected when the latency objective passes, not only by timeouts seconds
// later, and each request counts once.
func TestOverdueCountsAsLate(t *testing.T) {
	b, r := newTest(t, testConfig(), servingEndpoints(4)...)
	b.hedger.probability = 0
	b.Arrive(0, Request{ID: 1, Class: 2, Tenant: -1, Deadline: time.Second})
	b.TimerFired(100*ms, r.timers[0])
	level := b.admission.shedLevel
	if level <= 0 {
		t.Error("unanswered at the latency objective: the shed level did not rise")
	}
	b.AttemptFinished(150*ms, 1, 0, OK, true, LoadReport{})
	if b.admission.shedLevel != level {
		t.Errorf("level %v after the late answer, want still %v", b.admission.shedLevel, level)
	}
}

// A request that is open when its class changes keeps its idempotency and its attempts, and
// so does one that was read before the change and arrives after it.
func TestReconfigureKeepsOpenRequests(t *testing.T) {
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
	r.actions = nil
	for id := RequestID(1); id <= 4; id++ {
		b.AttemptFinished(ms, id, 0, Reset, false, LoadReport{})
	}
	if got := fmt.Sprint(r.actions); got != "[fail 1 fail 2 send 3 send 4]" {
		t.Error(got)
	}
	if b.Reconfigure(testConfig()) == nil {
		t.Error("a configuration that drops a class was accepted")
	}
	next.MaxAttempts = 1 // applies at once: they have had two
	if err := b.Reconfigure(next); err != nil {
		t.Fatal(err)
	}
	r.actions = nil
	b.AttemptFinished(2*ms, 3, 1, Reset, false, LoadReport{})
	if got := fmt.Sprint(r.actions); got != "[refuse 3]" {
		t.Error(got)
	}
}
