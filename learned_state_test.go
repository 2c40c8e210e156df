package martendrum

import (
	"reflect"
	"testing"
	"time"
)

// A successor restores which server is slow, which is ejected and when to hedge, but nothing about a
// server that has restarted since the state was taken.
func TestLearnedStateIsRestored(t *testing.T) {
	list := []Endpoint{{Name: "a"}, {Name: "b"}, {Name: "slow"}, {Name: "dead"}, {Name: "new", Started: time.Second}}
	predecessor, host := newTestBalancer(t, testConfig(), list...)
	now := 20 * time.Second
	for id := RequestID(1); id <= 400; id++ {
		now += 20 * ms
		before := len(host.servers)
		predecessor.Arrive(now, Request{ID: id, Tenant: -1, Deadline: now + time.Second})
		if len(host.servers) == before {
			continue
		}
		switch host.servers[before] {
		case "dead":
			predecessor.AttemptFinished(now+ms, id, 0, ConnectFailed, false, LoadReport{})
		case "slow":
			predecessor.AttemptFinished(now+80*ms, id, 0, OK, true, LoadReport{})
		default:
			predecessor.AttemptFinished(now+10*ms, id, 0, OK, true, LoadReport{})
		}
		now += 90 * ms
	}
	learned := predecessor.LearnedState(now)
	list[4].Started = 3 * time.Second // the server has restarted since
	successor, _ := newTestBalancer(t, testConfig(), list...)
	successor.Restore(now, learned, 0)
	if successor.hedger.delay != predecessor.hedger.delay || successor.hedger.probability != predecessor.hedger.probability || len(successor.hedger.primary.buf) != len(predecessor.hedger.primary.buf) {
		t.Errorf("d, q and samples of first attempts after Restore = %v, %v, %d; want %v, %v, %d", successor.hedger.delay, successor.hedger.probability, len(successor.hedger.primary.buf), predecessor.hedger.delay, predecessor.hedger.probability, len(predecessor.hedger.primary.buf))
	}
	for _, name := range []string{"a", "slow", "dead"} {
		want, got := predecessor.endpoints.byName[name], successor.endpoints.byName[name]
		if want.weightCorrection != got.weightCorrection || want.latency(now) != got.latency(now) || now < want.ejectedUntil != (now < got.ejectedUntil) {
			t.Errorf("server %s after Restore = %+v, want the weight correction, latency and ejection of %+v", name, got, want)
		}
	}
	if s := successor.endpoints.byName["new"]; s.weightCorrection != 1 || s.latencyWeight != 0 {
		t.Errorf("state of the restarted server = %+v, want weightCorrection 1 and latencyWeight 0", s)
	}
	restored := successor.LearnedState(now)
	learned.Servers, restored.Servers, learned.LostFraction, restored.LostFraction = nil, nil, 0, 0 // they may differ: Servers by the restarted server, LostFraction by one step of the running fraction
	if !reflect.DeepEqual(learned, restored) {
		t.Errorf("LearnedState() after Restore = %+v, want %+v", restored, learned)
	}
}
