package e2e

import "testing"

// A published change reaches the instances in its scope and no others, as the sidecars' metrics
// show, and the writer reports when it is in force.
func TestSettingsReachAll(t *testing.T) {
	w := newSettingsWorld(t, 3, 4, 2)
	before := w.bodyLimit("h0-i0")
	all := w.publish("limits/all", memoryLimit(96))
	w.waitInForce(all, 4)
	limitAll := w.bodyLimit("h0-i0")
	if limitAll == before {
		t.Fatalf("body limit = %v before and after the change, want it to differ", before)
	}
	w.waitBodyLimit(limitAll, instanceNames(w.hosts...))
	odd := w.publish("limits/odd", memoryLimit(80), "--scope", "service=odd")
	w.waitInForce(odd, 4)
	limitOdd := w.bodyLimit("h1-i0")
	if limitOdd == limitAll {
		t.Fatalf("body limit of h1-i0 = %v, want the resource with the narrower scope to change it", limitOdd)
	}
	w.waitBodyLimit(limitOdd, instanceNames(w.hosts[1], w.hosts[3]))
	w.waitBodyLimit(limitAll, instanceNames(w.hosts[0], w.hosts[2]))
	for _, name := range instanceNames(w.hosts[0], w.hosts[2]) {
		if applied, _ := w.metric(name, "edge_balancer_config_applied"); applied != 1 {
			t.Errorf("%s applied %v configurations, want 1: the second change is not in its scope", name, applied)
		}
	}
}
