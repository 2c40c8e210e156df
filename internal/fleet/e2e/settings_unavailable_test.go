package e2e

import (
	"syscall"
	"testing"

	"martendrum/internal/fleet/distribution"
	"martendrum/internal/standin/faultnet"
)

// publishLimits publishes several memory limits in turn, as changes of one resource with all hosts
// in its scope, and waits until each is in force at the given number of hosts. It returns the limit
// on bodies that the sidecars have in force under each. These limits differ, so that a test can tell
// later which memory limit is in force.
func (w *settingsWorld) publishLimits(hosts int, name string, megabytes ...int) (limits []float64) {
	w.t.Helper()
	for _, size := range megabytes {
		w.waitInForce(w.publish(name, memoryLimit(size)), hosts)
		limits = append(limits, w.bodyLimit(w.hosts[0].instances[0]))
	}
	for n := range limits {
		for other := range n {
			if limits[n] == limits[other] {
				w.t.Fatalf("body limit = %v under memory limits of both %d and %d MB, want it to differ", limits[n], megabytes[n], megabytes[other])
			}
		}
	}
	return limits
}

// Three hosts miss changes: the agent of one is stopped by SIGSTOP, that of another is killed, and
// that of the third starts only after the changes. All of them converge to the latest settings.
// Until then the sidecars of the first two keep their previous settings.
func TestUnavailableHostConverges(t *testing.T) {
	t.Parallel()
	w := configureSettings(t, settingsLayout{relays: 2, hosts: 4, sidecarsPerHost: 1})
	w.startRelays()
	available, stopped, killed, late := w.hosts[0], w.hosts[1], w.hosts[2], w.hosts[3]
	for _, h := range w.hosts[:3] {
		h.start()
	}
	w.waitServing(w.hosts[:3]...)
	previous := w.publishLimits(3, "limits/all", 112)[0]

	stopped.signal(syscall.SIGSTOP)
	killed.kill()
	w.publish("limits/even", memoryLimit(80), "--scope", "service=even")
	last := w.publish("limits/all", memoryLimit(96))
	status := w.waitInForce(last, 1)
	if status.Hosts != 3 || status.Behind+status.Unavailable != 2 {
		t.Errorf("status with two unavailable hosts = %+v, want 3 hosts, of them 2 behind or unavailable", status)
	}
	for _, name := range instanceNames(stopped, killed) {
		if limit := w.bodyLimit(name); limit != previous {
			t.Errorf("body limit of %s while its agent is unavailable = %v, want %v as before", name, limit, previous)
		}
	}

	stopped.signal(syscall.SIGCONT)
	killed.start()
	late.start()
	w.waitInForce(last, 4)
	w.waitBodyLimit(w.bodyLimit(available.instances[0]), instanceNames(available, killed))
	w.waitBodyLimit(w.bodyLimit(stopped.instances[0]), instanceNames(stopped, late))
	if even, odd := w.bodyLimit(available.instances[0]), w.bodyLimit(stopped.instances[0]); even == odd || odd == previous {
		t.Errorf("body limits = %v of service even and %v of service odd, want them to differ, and the latter to differ from the previous %v", even, odd, previous)
	}
}

// With all relays down, a restarted agent starts a new sidecar process with the last accepted
// settings.
func TestAgentRestartsWithoutSource(t *testing.T) {
	t.Parallel()
	w := newSettingsWorld(t, 2, 1, 2)
	h := w.hosts[0]
	limit96 := w.publishLimits(1, "limits/all", 80, 96)[1]
	for _, relay := range w.relays {
		relay.kill()
	}
	h.kill()
	h.start()
	w.waitReady()
	w.waitBodyLimit(limit96, h.instances)
	for _, instance := range h.instances {
		w.killSidecar(h, instance)
		w.startedWith(instance, limit96)
	}
	w.waitReady()

	// The same holds for a sidecar that ends while its agent is down.
	pid := w.inspect(h, h.instances[0]).Instance.PID
	h.kill()
	if err := syscall.Kill(pid, syscall.SIGKILL); err != nil {
		t.Fatal(err)
	}
	h.start()
	w.waitReady()
	w.startedWith(h.instances[0], limit96)
	if settings := w.inspect(h, h.instances[0]).Settings; settings.Relay != "" || len(settings.Accepted) != 1 {
		t.Errorf("settings that the agent reports without a relay = %+v, want no relay and 1 accepted resource", settings)
	}

	// New changes arrive after the relays' restart.
	w.startRelays()
	w.waitInForce(w.publish("limits/all", memoryLimit(80)), 1)
	if limit := w.bodyLimit(h.instances[0]); limit == limit96 {
		t.Errorf("body limit after a new change = %v, want it to differ from the earlier one", limit)
	}
}

// startedWith checks that a sidecar has a body limit in force since its start, without a reload.
func (w *settingsWorld) startedWith(instance string, want float64) {
	w.t.Helper()
	w.waitBodyLimit(want, []string{instance})
	if applied, ok := w.metric(instance, "edge_balancer_config_applied"); !ok || applied != 0 {
		w.t.Errorf("%s applied %v configurations since its start (metric found: %v), want 0: it should start with the accepted settings", instance, applied, ok)
	}
}

// Hosts and relays that missed more changes than the writer retains receive a snapshot. They end in
// the state of the writer's log, without the resource that was removed meanwhile.
func TestCompactedHistoryGivesSnapshot(t *testing.T) {
	t.Parallel()
	w := configureSettings(t, settingsLayout{relays: 2, hosts: 2, sidecarsPerHost: 1, relay: "history = 5\n"})
	w.startRelays()
	w.startAll()
	limit80 := w.publishLimits(2, "limits/all", 96, 80)[1]
	removed := w.publish("limits/removed", memoryLimit(112))
	w.waitInForce(removed, 2)
	limit112 := w.bodyLimit(w.hosts[0].instances[0])
	if limit112 == limit80 {
		t.Fatalf("body limit = %v with and without limits/removed, want it to differ", limit80)
	}
	unavailable, relay := w.hosts[1], w.relays[1]
	unavailable.kill()
	relay.kill()
	if _, errs, code := w.command("change", "publish", "limits/removed", "--remove"); code != 0 {
		t.Fatalf("martendrum change publish limits/removed --remove: exit code %d, want 0\n%s", code, errs)
	}
	var last distribution.Revision
	for n := range 12 {
		// The limit alternates between 96 and 80 MB; the last change sets 80 MB.
		last = w.publish("limits/all", memoryLimit(80+16*((11-n)%2)))
	}
	w.waitInForce(last, 1)
	relay.start()
	w.waitCopied(last, relay)
	// The host can reach only the relay that was down, whose copy came from a snapshot and has to
	// be complete.
	w.link(unavailable, w.writer()).Set(faultnet.Fault{Drop: true})
	unavailable.start()
	w.waitInForce(last, 2)
	w.waitBodyLimit(limit80, instanceNames(w.hosts...))
	if accepted := w.acceptedRevisions(unavailable, unavailable.instances[0]); len(accepted) != 1 || accepted["limits/all"] != last {
		t.Errorf("accepted resources of the host that missed changes = %v, want only limits/all of revision %v", accepted, last)
	}
}
