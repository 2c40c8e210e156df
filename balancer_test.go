package martendrum

import (
	"fmt"
	"testing"
	"time"
)

const ms = time.Millisecond

// recorder is a Host that records the actions that a Balancer requests and carries out none.
type recorder struct {
	actions     []string
	servers     []string        // server of each send
	timers      []uint64        // cookie of each timer
	delays      []time.Duration // delay of each timer
	sendWithins []time.Duration // sendWithin of each send
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
func (r *recorder) Reject(id RequestID, _ time.Duration) { r.record("reject %d", id) }
func (r *recorder) Fail(id RequestID)                    { r.record("fail %d", id) }
func (r *recorder) CloseIdle(server string)              {}
func (r *recorder) Probe(server string)                  { r.record("probe %s", server) }
func (r *recorder) Subscribe()                           { r.record("subscribe") }
func (r *recorder) SetTimer(c uint64, after time.Duration) {
	r.timers = append(r.timers, c)
	r.delays = append(r.delays, after)
}

// testConfig returns a configuration of three classes: 0 is idempotent, 1 keyed and 2 non-idempotent.
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

// newTestBalancer returns a Balancer that has received a complete list of the servers, and its host.
func newTestBalancer(t *testing.T, cfg Config, servers ...Endpoint) (*Balancer, *recorder) {
	t.Helper()
	host := new(recorder)
	b, err := New(cfg, 1, host)
	if err != nil {
		t.Fatal(err)
	}
	b.ServersListed(0, servers)
	return b, host
}

// disableHedging makes the Balancer plan no hedges until the next recompute of the hedger.
func (b *Balancer) disableHedging() { b.hedger.probability = 0 }

// An overload must be detected when requests reach their latency objective, not only when they time
// out seconds later. Each late request counts once.
func TestOverdueCountsAsLate(t *testing.T) {
	b, host := newTestBalancer(t, testConfig(), servingEndpoints(4)...)
	b.hedger.probability = 0
	b.Arrive(0, Request{ID: 1, Class: 2, Tenant: -1, Deadline: time.Second})
	b.TimerFired(100*ms, host.timers[0])
	level := b.admission.shedLevel
	if level <= 0 {
		t.Errorf("shed level = %v after a request was unanswered at its latency objective, want above 0", level)
	}
	b.AttemptFinished(150*ms, 1, 0, OK, true, LoadReport{})
	if b.admission.shedLevel != level {
		t.Errorf("shed level = %v after the late answer, want %v as before it", b.admission.shedLevel, level)
	}
}

// A request that is open when its class is reconfigured keeps its idempotency and its number of
// attempts. So does a request that the host read before the change and that arrives after it.
func TestReconfigureKeepsOpenRequests(t *testing.T) {
	cfg := testConfig()
	b, host := newTestBalancer(t, cfg, Endpoint{Name: "a"}, Endpoint{Name: "b"}, Endpoint{Name: "c"})
	oldClass := &cfg.Classes[2]
	b.Arrive(0, Request{ID: 1, Class: 2, Tenant: -1, Deadline: time.Second})
	newConfig := testConfig()
	newConfig.Classes[2].Idempotency = Idempotent
	newConfig.Classes = append(newConfig.Classes, Class{LatencyObjective: 100 * ms, Weight: 1})
	if err := b.Reconfigure(newConfig); err != nil {
		t.Fatal(err)
	}
	b.Arrive(0, Request{ID: 2, Class: 2, ClassAtArrival: oldClass, Tenant: -1, Deadline: time.Second})
	b.Arrive(0, Request{ID: 3, Class: 2, Tenant: -1, Deadline: time.Second})
	b.Arrive(0, Request{ID: 4, Class: 3, Tenant: -1, Deadline: time.Second})
	host.actions = nil
	for id := RequestID(1); id <= 4; id++ {
		b.AttemptFinished(ms, id, 0, Reset, false, LoadReport{})
	}
	if got := fmt.Sprint(host.actions); got != "[fail 1 fail 2 send 3 send 4]" {
		t.Errorf("actions after resets = %s, want [fail 1 fail 2 send 3 send 4]", got)
	}
	if b.Reconfigure(testConfig()) == nil {
		t.Error("Reconfigure accepted a configuration with fewer classes than before, want an error")
	}
	newConfig.MaxAttempts = 1 // applies at once to open requests, which have had two attempts
	if err := b.Reconfigure(newConfig); err != nil {
		t.Fatal(err)
	}
	host.actions = nil
	b.AttemptFinished(2*ms, 3, 1, Reset, false, LoadReport{})
	if got := fmt.Sprint(host.actions); got != "[reject 3]" {
		t.Errorf("actions after MaxAttempts was lowered to 1 = %s, want [reject 3]", got)
	}
}
