package martendrum

import (
	"fmt"
	"testing"
	"time"
)

// servingEndpoints returns n serving servers with the names s000, s001 and so on, which started long ago.
func servingEndpoints(n int) []Endpoint {
	var list []Endpoint
	for i := range n {
		list = append(list, Endpoint{Name: fmt.Sprintf("s%03d", i)})
	}
	return list
}

// The choice between two servers balances the requests in flight: here each request stays in flight.
func TestTwoChoiceEvensInFlight(t *testing.T) {
	b, host := newTestBalancer(t, testConfig(), servingEndpoints(minWorkingSet)...)
	b.disableHedging()
	for id := RequestID(1); id <= 100; id++ {
		b.Arrive(0, Request{ID: id, Deadline: 300 * ms})
	}
	inFlight := map[string]int{}
	for _, s := range host.servers {
		inFlight[s]++
	}
	for name, n := range inFlight {
		if n < 18 || n > 32 {
			t.Errorf("server %s has %d of 100 requests in flight at %d servers, want 18 to 32", name, n, minWorkingSet)
		}
	}
}

// A request is rejected at once if there is no server for it, its deadline has passed or its class is
// unknown.
func TestRejectsWithoutServers(t *testing.T) {
	for name, list := range map[string][]Endpoint{
		"none listed":  nil,
		"all draining": {{Name: "a", State: Draining}, {Name: "b", State: Draining}},
		"all removed":  {{Name: "a", State: Removed}},
	} {
		b, host := newTestBalancer(t, testConfig(), list...)
		for class := range 3 {
			b.Arrive(0, Request{ID: RequestID(class + 1), Class: class, Deadline: 300 * ms})
		}
		if len(host.actions) != 3 || host.actions[0] != "reject 1" || host.actions[1] != "reject 2" || host.actions[2] != "reject 3" {
			t.Errorf("servers %s: actions = %v, want three rejections", name, host.actions)
		}
	}
	b, host := newTestBalancer(t, testConfig(), servingEndpoints(2)...)
	b.Arrive(time.Second, Request{ID: 1, Deadline: time.Second})
	b.Arrive(time.Second, Request{ID: 2, Class: 9, Deadline: 2 * time.Second})
	if len(host.actions) != 2 || host.actions[0] != "reject 1" || host.actions[1] != "reject 2" {
		t.Errorf("actions with a deadline that has passed and with an unknown class = %v, want two rejections", host.actions)
	}
}

// This balancer's requests in flight outweigh every other term of the cost: a server that has one may
// be overloaded although its earlier answers do not show it.
func TestInFlightComesFirst(t *testing.T) {
	b, _ := newTestBalancer(t, testConfig(), servingEndpoints(2)...)
	busy, slow := b.endpoints.byName["s000"], b.endpoints.byName["s001"]
	busy.inFlight = 1
	slow.load, slow.latencySum, slow.latencyWeight = overloadedLoad, 40, 10
	if b.endpoints.cost(busy, 0) <= b.endpoints.cost(slow, 0) {
		t.Errorf("cost = %v of a server with a request in flight and %v of a slow one without, want the first to be higher", b.endpoints.cost(busy, 0), b.endpoints.cost(slow, 0))
	}
}
