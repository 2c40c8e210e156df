package martendrum

import "testing"

// Where connections have a cost and many balancers share the servers, each has a small working set.
func TestWorkingSetByConnectionCost(t *testing.T) {
	cfg := testConfig()
	cfg.Instances, cfg.ConnectionCost = 1200, 0.05
	b, host := newTestBalancer(t, cfg, servingEndpoints(60)...)
	b.disableHedging()
	used := map[string]bool{}
	for id := RequestID(1); id <= 200; id++ {
		b.Arrive(0, Request{ID: id, Deadline: 300 * ms})
		b.AttemptFinished(0, id, 0, OK, true, LoadReport{})
		used[host.servers[id-1]] = true
	}
	if len(used) > 4 {
		t.Errorf("%d servers used, want at most 4", len(used))
	}
}
