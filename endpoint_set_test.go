package martendrum

import (
	"math/rand/v2"
	"testing"
)

// Members stay sorted through changes: sorting a long list after each of many small changes
// would cost a quiet balancer more than its requests do.
func TestMembersStaySorted(t *testing.T) {
	b, _ := newTest(t, testConfig(), servingEndpoints(20)...)
	f, rng := &b.endpoints, rand.New(rand.NewPCG(7, 7))
	for step := range 500 {
		list := servingEndpoints(30)
		e := list[rng.IntN(len(list))]
		e.State = EndpointState(rng.IntN(3))
		b.ServersChanged(0, []Endpoint{e})
		if step%50 == 49 {
			b.ServersListed(0, list[rng.IntN(10):])
		}
		serving := 0
		for _, s := range f.byName {
			if s.serving {
				serving++
			}
		}
		if serving != len(f.members) {
			t.Fatalf("step %d: %d members, %d servers serve", step, len(f.members), serving)
		}
		for i, s := range f.members {
			if !s.serving || f.byName[s.name] != s || i > 0 && f.members[i-1].priority > s.priority {
				t.Fatalf("step %d: member %d is out of place", step, i)
			}
		}
	}
}
