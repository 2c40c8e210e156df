package martendrum

import (
	"fmt"
	"testing"
	"time"
)

func servingEndpoints(n int) []Endpoint {
	var list []Endpoint
	for i := range n {
		list = append(list, Endpoint{Name: fmt.Sprintf("s%03d", i)})
	}
	return list
}

// Each request stays in flight, so that two choices must balance the servers.
func TestTwoChoiceEvensInFlight(t *testing.T) {
	b, r := newTest(t, testConfig(), servingEndpoints(minWorkingSet)...)
	b.disableHedging()
	for id := RequestID(1); id <= 100; id++ {
		b.Arrive(0, Request{ID: id, Deadline: 300 * ms})
	}
	count := map[string]int{}
	for _, s := range r.servers {
		count[s]++
	}
	for name, n := range count {
		if n < 18 || n > 32 {
			t.Errorf("%s holds %d of 100 over %d servers", name, n, minWorkingSet)
		}
	}
}

func TestRejectsWithoutServers(t *testing.T) {
	for name, list := range map[string][]Endpoint{
		"none":         nil,
		"all draining": {{Name: "a", State: Draining}, {Name: "b", State: Draining}},
		"all removed":  {{Name: "a", State: Removed}},
	} {
		b, r := newTest(t, testConfig(), list...)
		for class := range 3 {
			b.Arrive(0, Request{ID: RequestID(class + 1), Class: class, Deadline: 300 * ms})
		}
		if len(r.actions) != 3 || r.actions[0] != "refuse 1" || r.actions[1] != "refuse 2" || r.actions[2] != "refuse 3" {
			t.Errorf("%s: %v, want three rejections", name, r.actions)
		}
	}
	b, r := newTest(t, testConfig(), servingEndpoints(2)...)
	b.Arrive(time.Second, Request{ID: 1, Deadline: time.Second})
	b.Arrive(time.Second, Request{ID: 2, Class: 9, Deadline: 2 * time.Second})
	if len(r.actions) != 2 || r.actions[0] != "refuse 1" || r.actions[1] != "refuse 2" {
		t.Errorf("deadline past, no such class: %v, want two rejections", r.actions)
	}
}

// This balancer's requests in flight outweigh every other term of the cost: the server that has
// one may be jammed without its earlier answers showing it.
func TestInFlightComesFirst(t *testing.T) {
	b, _ := newTest(t, testConfig(), servingEndpoints(2)...)
	busy, slow := b.endpoints.byName["s000"], b.endpoints.byName["s001"]
	busy.inFlight = 1
	slow.load, slow.latencySum, slow.latencyWeight = overloadedLoad, 40, 10
	if b.endpoints.cost(busy, 0) <= b.endpoints.cost(slow, 0) {
		t.Error("a server with a request in flight costs less than an idle one")
	}
}
