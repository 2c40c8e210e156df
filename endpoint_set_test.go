package martendrum

import (
	"math/rand/v2"
	"testing"
)

// Members stay sorted when servers change. Sorting a long list after each of many small changes would
// cost a balancer with few requests more than its requests do.
func TestMembersStaySorted(t *testing.T) {
	b, _ := newTestBalancer(t, testConfig(), servingEndpoints(20)...)
	set, rng := &b.endpoints, rand.New(rand.NewPCG(7, 7))
	for step := range 500 {
		list := servingEndpoints(30)
		changed := list[rng.IntN(len(list))]
		changed.State = EndpointState(rng.IntN(3))
		b.ServersChanged(0, []Endpoint{changed})
		if step%50 == 49 {
			b.ServersListed(0, list[rng.IntN(10):])
		}
		serving := 0
		for _, s := range set.byName {
			if s.serving {
				serving++
			}
		}
		if serving != len(set.members) {
			t.Fatalf("step %d: %d members, want %d, the number of servers that serve", step, len(set.members), serving)
		}
		for i, s := range set.members {
			if !s.serving || set.byName[s.name] != s || i > 0 && set.members[i-1].priority > s.priority {
				t.Fatalf("step %d: member %d is %s, serving = %v, on the list = %v, priority %v after %v; want a serving server on the list, sorted by priority", step, i, s.name, s.serving, set.byName[s.name] == s, s.priority, set.members[max(i-1, 0)].priority)
			}
		}
	}
}
