package e2e

import (
	"syscall"
	"testing"

	"martendrum/internal/fleet/distribution"
	"martendrum/internal/standin/faultnet"
)

// reference publishes memory limits to all hosts in turn and returns the limit on bodies that the
// sidecars have in force under each, so that a test can tell them apart later.
func (w *settingsWorld) reference(hosts int, name string, megabytes ...int) (limits []float64) {
	w.t.Helper()
	for _, each := range megabytes {
		w.inForce(w.publish(name, memoryLimit(each)), hosts)
		limits = append(limits, w.bodyLimit(w.hosts[0].instances[0]))
	}
	for n := range limits {
		for other := range n {
			if limits[n] == limits[other] {
				w.t.Fatalf("the figure does not tell %d and %d MB apart", megabytes[n], megabytes[other])
			}
		}
	}
	return limits
}

// A host whose agent was stopped, one whose agent was killed and one that starts only after the
// changes all converge to the latest settings. Until then the sidecars of the first two keep the
// ones they had.
func TestUnavailableHostConverges(t *testing.T) {
	t.Parallel()
	w := layOutSettings(t, settingsLayout{relays: 2, hosts: 4, sidecarsPerHost: 1})
	w.startRelays()
	there, stopped, killed, late := w.hosts[0], w.hosts[1], w.hosts[2], w.hosts[3]
	for _, h := range w.hosts[:3] {
		h.start()
	}
	w.serving(w.hosts[:3]...)
	wide := w.reference(3, "limits/all", 112)[0]

	stopped.signal(syscall.SIGSTOP)
	killed.kill()
	w.publish("limits/even", memoryLimit(80), "--scope", "service=even")
	last := w.publish("limits/all", memoryLimit(96))
	status := w.inForce(last, 1)
	if status.Hosts != 3 || status.Behind+status.Unavailable != 2 {
		t.Errorf("with two hosts away: %+v", status)
	}
	for _, name := range instances(stopped, killed) {
		if limit := w.bodyLimit(name); limit != wide {
			t.Errorf("%s: a limit of %v while its agent is away; it had %v", name, limit, wide)
		}
	}

	stopped.signal(syscall.SIGCONT)
	killed.start()
	late.start()
	w.inForce(last, 4)
	w.limits(w.bodyLimit(there.instances[0]), instances(there, killed))
	w.limits(w.bodyLimit(stopped.instances[0]), instances(stopped, late))
	if even, odd := w.bodyLimit(there.instances[0]), w.bodyLimit(stopped.instances[0]); even == odd || odd == wide {
		t.Errorf("limits of %v and %v after %v", even, odd, wide)
	}
}

// With all relays down, a restarted agent starts a new sidecar process with the last accepted
// settings.
func TestAgentRestartsWithoutSource(t *testing.T) {
	t.Parallel()
	w := newSettingsWorld(t, 2, 1, 2)
	h := w.hosts[0]
	wide := w.reference(1, "limits/all", 80, 96)[1]
	for _, relay := range w.relays {
		relay.kill()
	}
	h.kill()
	h.start()
	w.waitReady()
	w.limits(wide, h.instances)
	for _, instance := range h.instances {
		w.killSidecar(h, instance)
		w.startedWith(instance, wide)
	}
	w.waitReady()

	// The same for a sidecar that ends while its agent is down.
	pid := w.inspect(h, h.instances[0]).Instance.PID
	h.kill()
	if err := syscall.Kill(pid, syscall.SIGKILL); err != nil {
		t.Fatal(err)
	}
	h.start()
	w.waitReady()
	w.startedWith(h.instances[0], wide)
	if settings := w.inspect(h, h.instances[0]).Settings; settings.Relay != "" || len(settings.Accepted) != 1 {
		t.Errorf("without a relay the agent reports %+v", settings)
	}

	// After the relays' restart new changes arrive.
	w.startRelays()
	w.inForce(w.publish("limits/all", memoryLimit(80)), 1)
	if limit := w.bodyLimit(h.instances[0]); limit == wide {
		t.Errorf("the limit is still %v", limit)
	}
}

// startedWith checks that a sidecar has had a limit since its start, not by a reload.
func (w *settingsWorld) startedWith(instance string, want float64) {
	w.t.Helper()
	w.limits(want, []string{instance})
	if taken, ok := w.metric(instance, "edge_balancer_config_applied"); !ok || taken != 0 {
		w.t.Errorf("%s took over %v configurations (%v); want it to begin with the accepted one", instance, taken, ok)
	}
}

// A reader behind the compacted history gets a snapshot: a host and a relay that missed more
// changes than are retained end at the log's state, without resources removed meanwhile.
func TestCompactedHistoryGivesSnapshot(t *testing.T) {
	t.Parallel()
	w := layOutSettings(t, settingsLayout{relays: 2, hosts: 2, sidecarsPerHost: 1, relay: "history = 5\n"})
	w.startRelays()
	w.startAll()
	narrow := w.reference(2, "limits/all", 96, 80)[1]
	removed := w.publish("limits/removed", memoryLimit(112))
	w.inForce(removed, 2)
	wide := w.bodyLimit(w.hosts[0].instances[0])
	if wide == narrow {
		t.Fatal("the resource that is removed later does not show")
	}
	away, relay := w.hosts[1], w.relays[1]
	away.kill()
	relay.kill()
	if _, errs, code := w.command("change", "publish", "limits/removed", "--remove"); code != 0 {
		t.Fatalf("exit %d: %s", code, errs)
	}
	var last distribution.Revision
	for n := range 12 {
		// The resource changes several times; the last round leaves 80 MB.
		last = w.publish("limits/all", memoryLimit(80+16*((11-n)%2)))
	}
	w.inForce(last, 1)
	relay.start()
	w.copied(last, relay)
	// The host can reach only the relay that was down, whose snapshot has to be complete.
	w.link(away, w.writer()).Set(faultnet.Fault{Drop: true})
	away.start()
	w.inForce(last, 2)
	w.limits(narrow, instances(w.hosts...))
	if accepted := w.accepted(away, away.instances[0]); len(accepted) != 1 || accepted["limits/all"] != last {
		t.Errorf("the host that was away holds %v; want limits/all of %v alone", accepted, last)
	}
}
