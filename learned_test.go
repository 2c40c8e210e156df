package martendrum

import (
	"reflect"
	"testing"
	"time"
)

// One that takes another's place knows what that one knew: which server is slow,
// which is left out, and when to copy; not of a server that has started anew.
func TestLearnedPassesOn(t *testing.T) {
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
			old.Done(now+ms, id, 0, ConnectFailed, false, Report{})
		case "slow":
			old.Done(now+80*ms, id, 0, OK, true, Report{})
		default:
			old.Done(now+10*ms, id, 0, OK, true, Report{})
		}
		now += 90 * ms
	}
	l := old.Learned(now)
	list[4].Started = 3 * time.Second // it has started anew since
	next, _ := newTest(t, testConfig(), list...)
	next.Learn(now, l, 0)
	if next.reissue.d != old.reissue.d || next.reissue.q != old.reissue.q || len(next.reissue.primary.buf) != len(old.reissue.primary.buf) {
		t.Errorf("d %v, q %v of %v, %v", next.reissue.d, next.reissue.q, old.reissue.d, old.reissue.q)
	}
	for _, name := range []string{"a", "slow", "dead"} {
		a, b := old.fleet.byName[name], next.fleet.byName[name]
		if a.learned != b.learned || a.latency(now) != b.latency(now) || now < a.ejectedUntil != (now < b.ejectedUntil) {
			t.Errorf("%s: %+v, want %+v", name, b, a)
		}
	}
	if s := next.fleet.byName["new"]; s.learned != 1 || s.latN != 0 {
		t.Errorf("a server that started anew: %+v", s)
	}
	again := next.Learned(now)
	l.Servers, again.Servers, l.Lost, again.Lost = nil, nil, 0, 0 // the one that started anew; one step of the running share
	if !reflect.DeepEqual(l, again) {
		t.Errorf("passed on again: %+v, want %+v", again, l)
	}
}
