package martendrum

import (
	"reflect"
	"testing"
	"time"
)

// A balancer that takes another's place restores which server is slow, which is ejected and
// when to hedge, but nothing about a server that has restarted.
func TestLearnedStateIsRestored(t *testing.T) {
	list := []Endpoint{{Name: "a"}, {Name: "b"}, {Name: "slow"}, {Name: "dead"}, {Name: "new", Started: time.Second}}
	old, r := newTest(t, testConfig(), list...)
	now := 20 * time.Second
	for id := RequestID(1); id <= 400; id++ {
		now += 20 * ms
		before := len(r.servers)
		old.Arrive(now, Request{ID: id, Tenant: -1, Deadline: now + time.Second})
		if len(r.servers) == before {
			continue
		}
		switch r.servers[before] {
		case "dead":
			old.AttemptFinished(now+ms, id, 0, ConnectFailed, false, LoadReport{})
		case "slow":
			old.AttemptFinished(now+80*ms, id, 0, OK, true, LoadReport{})
		default:
			old.AttemptFinished(now+10*ms, id, 0, OK, true, LoadReport{})
		}
		now += 90 * ms
	}
	l := old.LearnedState(now)
	list[4].Started = 3 * time.Second // it has restarted since
	next, _ := newTest(t, testConfig(), list...)
	next.Restore(now, l, 0)
	if next.hedger.delay != old.hedger.delay || next.hedger.probability != old.hedger.probability || len(next.hedger.primary.buf) != len(old.hedger.primary.buf) {
		t.Errorf("d %v, q %v of %v, %v", next.hedger.delay, next.hedger.probability, old.hedger.delay, old.hedger.probability)
	}
	for _, name := range []string{"a", "slow", "dead"} {
		a, b := old.endpoints.byName[name], next.endpoints.byName[name]
		if a.weightCorrection != b.weightCorrection || a.latency(now) != b.latency(now) || now < a.ejectedUntil != (now < b.ejectedUntil) {
			t.Errorf("%s: %+v, want %+v", name, b, a)
		}
	}
	if s := next.endpoints.byName["new"]; s.weightCorrection != 1 || s.latencyWeight != 0 {
		t.Errorf("a server that restarted: %+v", s)
	}
	again := next.LearnedState(now)
	l.Servers, again.Servers, l.LostFraction, again.LostFraction = nil, nil, 0, 0 // the server that restarted; one step of the running fraction
	if !reflect.DeepEqual(l, again) {
		t.Errorf("learned state after the restore: %+v, want %+v", again, l)
	}
}
