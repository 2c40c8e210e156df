package e2e

import "testing"

// A published change reaches the instances in its scope and no others, as their metrics show, and
// the writer knows when it is in force.
func TestSettingsReachAll(t *testing.T) {
	w := newSettingsWorld(t, 3, 4, 2)
	before := w.bodyLimit("h0-i0")
	all := w.publish("limits/all", memoryLimit(96))
	w.inForce(all, 4)
	wide := w.bodyLimit("h0-i0")
	if wide == before {
		t.Fatal("the figure does not tell the settings apart")
	}
	w.limits(wide, instances(w.hosts...))
	odd := w.publish("limits/odd", memoryLimit(80), "--scope", "service=odd")
	w.inForce(odd, 4)
	narrow := w.bodyLimit("h1-i0")
	if narrow == wide {
		t.Fatal("the narrower scope does not win")
	}
	w.limits(narrow, instances(w.hosts[1], w.hosts[3]))
	w.limits(wide, instances(w.hosts[0], w.hosts[2]))
	for _, name := range instances(w.hosts[0], w.hosts[2]) {
		if taken, _ := w.metric(name, "edge_balancer_config_applied"); taken != 1 {
			t.Errorf("%s took %v configurations over; what does not concern it is none of them", name, taken)
		}
	}
}
