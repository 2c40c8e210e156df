package e2e

import (
	"slices"
	"sync"
	"testing"
	"time"

	"martendrum/internal/standin/faultnet"
)

// waitSubscribed waits until each host's agent polls the relay of its own region.
func (w *settingsWorld) waitSubscribed() {
	w.t.Helper()
	for n, h := range w.hosts {
		want := w.relays[n%len(w.relays)].name
		eventually(w.t, h.name+" to poll "+want, func() bool {
			return w.inspect(h, h.instances[0]).Settings.Relay == want
		})
	}
}

// When a relay is killed after it has copied a change and before its hosts have received the
// change, they receive it from other relays. A relay that is killed before it has copied a change
// copies it after its restart.
func TestRelayKilledMidChange(t *testing.T) {
	t.Parallel()
	w := newRegionalWorld(t, 3, 6)
	w.waitSubscribed()
	before := w.publishLimits(6, "limits/all", 80)[0]

	// One relay has copied the change, but its answers to hosts are stalled on the links.
	copiedRelay := w.relays[1]
	w.setLinks(w.hosts, []*host{copiedRelay}, faultnet.Fault{Stall: faultnet.Back})
	change := w.publish("limits/all", memoryLimit(96))
	w.waitCopied(change, w.relays...)
	copiedRelay.kill()
	w.setLinks(w.hosts, []*host{copiedRelay}, faultnet.Fault{})
	w.waitInForce(change, 6)
	after := w.bodyLimit(w.hosts[0].instances[0])
	if after == before {
		t.Fatalf("body limit = %v under both settings, want it to differ", after)
	}
	w.waitBodyLimit(after, instanceNames(w.hosts...))

	// Another relay is killed before it has copied the next change.
	laggingRelay := w.relays[2]
	w.setLinks([]*host{laggingRelay}, w.relays, faultnet.Fault{Stall: faultnet.Both})
	change = w.publish("limits/all", memoryLimit(80))
	if out, ok := w.status(laggingRelay, change); !ok || !change.After(out.Status.Latest) {
		t.Errorf("status of relay %s behind a stalled link = %+v, want an answer with a revision before %v", laggingRelay.name, out, change)
	}
	laggingRelay.kill()
	w.setLinks([]*host{laggingRelay}, w.relays, faultnet.Fault{})
	w.waitInForce(change, 6)
	w.waitBodyLimit(before, instanceNames(w.hosts...))

	copiedRelay.start()
	laggingRelay.start()
	w.waitCopied(change, copiedRelay, laggingRelay)
}

// Half of the relays are killed, so their hosts poll the other relays. Changes reach all hosts, and
// the killed relays catch up after their restart.
func TestHalfTheRelaysUnavailable(t *testing.T) {
	t.Parallel()
	w := newRegionalWorld(t, 4, 8)
	w.waitSubscribed()
	limits := w.publishLimits(8, "limits/all", 80, 96)
	killed := w.relays[2:]
	for _, relay := range killed {
		relay.kill()
	}
	for n, megabytes := range []int{80, 96, 80} {
		change := w.publish("limits/all", memoryLimit(megabytes))
		status := w.waitInForce(change, 8)
		if status.Hosts != 8 {
			t.Errorf("change %d: the writer knows %d hosts, want 8", n, status.Hosts)
		}
		w.waitBodyLimit(limits[n%2], instanceNames(w.hosts...))
	}
	for _, relay := range killed {
		relay.start()
	}
	change := w.publish("limits/all", memoryLimit(96))
	w.waitCopied(change, w.relays...)
	w.waitInForce(change, 8)
	w.waitBodyLimit(limits[1], instanceNames(w.hosts...))
}

// linksBetween returns the links from each of the agents to each other relay.
func (w *settingsWorld) linksBetween(agents, relays []*host) (links []*faultnet.Link) {
	for _, from := range agents {
		for _, relay := range relays {
			if from != relay {
				links = append(links, w.link(from, relay))
			}
		}
	}
	return links
}

// connections returns how many connections have been made over the links.
func connections(links []*faultnet.Link) (made int) {
	for _, link := range links {
		made += link.AcceptedConns()
	}
	return made
}

// partitionLinks stalls the links until heal is called. With reset it also resets all their
// connections every 5 ms, so that calls fail at once instead of hanging.
func partitionLinks(links []*faultnet.Link, reset bool) (heal func()) {
	for _, link := range links {
		link.Set(faultnet.Fault{Stall: faultnet.Both})
	}
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		ticker := time.NewTicker(5 * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			for _, link := range links {
				if reset {
					link.Reset()
				}
			}
		}
	}()
	return sync.OnceFunc(func() {
		close(stop)
		<-stopped
		for _, link := range links {
			link.Set(faultnet.Fault{})
		}
	})
}

// The hosts of a partitioned region, and hosts that can reach no relay, continue with the last
// accepted settings. Their agents retry at a bounded rate, and catch up once the partition heals.
func TestRegionCutOffAndBack(t *testing.T) {
	for name, reset := range map[string]bool{"stalled": false, "reset": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			testRegionPartition(t, reset, 6*time.Second)
		})
	}
}

// The same partition for a minute, long enough to expose a missing backoff.
func TestRegionCutOffForLong(t *testing.T) {
	skipShort(t)
	t.Parallel()
	testRegionPartition(t, true, time.Minute)
}

// Bounds on the connections that one agent makes while all its calls fail: a number of initial
// connections, and a rate per second after them. The rate of a relay is higher since it makes three
// calls: it follows the writer, asks another relay who the writer is, and reports.
const (
	initialConnections        = 6
	relayConnectionsPerSecond = 3.5
	hostConnectionsPerSecond  = 0.7
)

// testRegionPartition starts three regions, of which the first two have a relay each. For the given
// duration it partitions the second region from the first, and the hosts of the third region from
// all relays.
func testRegionPartition(t *testing.T, reset bool, duration time.Duration) {
	w := configureSettings(t, settingsLayout{relays: 2, hosts: 6, sidecarsPerHost: 1, regions: 3})
	w.startRelays()
	w.startAll()
	inWriterRegion := []*host{w.hosts[0], w.hosts[3]}
	inCutOffRegion := []*host{w.hosts[1], w.hosts[4]}
	withoutRelay := []*host{w.hosts[2], w.hosts[5]}
	writer, regionRelay := w.relays[:1], w.relays[1:]
	before := w.publishLimits(6, "limits/all", 96)[0]
	for _, h := range inCutOffRegion {
		eventually(t, h.name+" to poll the relay of its region", func() bool {
			return w.inspect(h, h.instances[0]).Settings.Relay == regionRelay[0].name
		})
	}

	toWriter, toAny := w.linksBetween(regionRelay, writer), w.linksBetween(withoutRelay, w.relays)
	across := slices.Concat(w.linksBetween(writer, regionRelay), w.linksBetween(inCutOffRegion, writer), w.linksBetween(inWriterRegion, regionRelay))
	heal := partitionLinks(slices.Concat(toWriter, toAny, across), reset)
	defer heal()
	relayBefore, hostsBefore, acrossBefore := connections(toWriter), connections(toAny), connections(across)
	began := time.Now()
	change := w.publish("limits/all", memoryLimit(80))
	w.waitInForce(change, len(inWriterRegion))
	after := w.bodyLimit(inWriterRegion[0].instances[0])
	if after == before {
		t.Fatalf("body limit = %v under both settings, want it to differ", after)
	}
	for time.Since(began) < duration {
		for _, name := range instanceNames(slices.Concat(inCutOffRegion, withoutRelay)...) {
			if limit := w.bodyLimit(name); limit != before {
				t.Fatalf("body limit of %s during the partition = %v, want %v as before", name, limit, before)
			}
		}
		time.Sleep(duration / 20)
	}
	for _, h := range inCutOffRegion {
		if relay := w.inspect(h, h.instances[0]).Settings.Relay; relay != regionRelay[0].name {
			t.Errorf("%s polls relay %q, want %q: the relay of its region still answers", h.name, relay, regionRelay[0].name)
		}
	}
	took := time.Since(began)
	checkConnections(t, "the relay of the partitioned region", connections(toWriter)-relayBefore, initialConnections+relayConnectionsPerSecond*took.Seconds())
	checkConnections(t, "the hosts that can reach no relay", connections(toAny)-hostsBefore, float64(len(withoutRelay))*(initialConnections+hostConnectionsPerSecond*took.Seconds()))
	checkConnections(t, "the agents that can reach the relay of their region", connections(across)-acrossBefore, 0)

	heal()
	w.waitInForce(change, 6)
	w.waitBodyLimit(after, instanceNames(w.hosts...))
	w.waitCopied(change, w.relays...)
}

// checkConnections checks that the number of connections made by agents during a partition is
// within a bound.
func checkConnections(t *testing.T, agents string, made int, limit float64) {
	t.Helper()
	t.Logf("%s made %d connections during the partition", agents, made)
	if float64(made) > limit {
		t.Errorf("%s made %d connections during the partition, want at most %.1f", agents, made, limit)
	}
}
