package e2e

import (
	"slices"
	"sync"
	"testing"
	"time"

	"martendrum/internal/standin/faultnet"
)

// subscribed waits until each host polls the relay of its own region.
func (w *settingsWorld) subscribed() {
	w.t.Helper()
	for n, h := range w.hosts {
		want := w.relays[n%len(w.relays)].name
		eventually(w.t, h.name+" asks "+want, func() bool {
			return w.inspect(h, h.instances[0]).Settings.Relay == want
		})
	}
}

// When a relay is killed after it copied a change and before its hosts received it, they get it
// from other relays. A relay that is killed before it copied the change does so after its restart.
func TestRelayKilledMidChange(t *testing.T) {
	t.Parallel()
	w := newRegionalWorld(t, 3, 6)
	w.subscribed()
	before := w.reference(6, "limits/all", 80)[0]

	// The first relay has copied the change; its answers to hosts are in flight.
	answering := w.relays[1]
	w.setLinks(w.hosts, []*host{answering}, faultnet.Fault{Stall: faultnet.Back})
	change := w.publish("limits/all", memoryLimit(96))
	w.copied(change, w.relays...)
	answering.kill()
	w.setLinks(w.hosts, []*host{answering}, faultnet.Fault{})
	w.inForce(change, 6)
	after := w.bodyLimit(w.hosts[0].instances[0])
	if after == before {
		t.Fatal("the figure does not tell the settings apart")
	}
	w.limits(after, instances(w.hosts...))

	// The second relay is killed before it copied the next change.
	copying := w.relays[2]
	w.setLinks([]*host{copying}, w.relays, faultnet.Fault{Stall: faultnet.Both})
	change = w.publish("limits/all", memoryLimit(80))
	if out, ok := w.status(copying, change); !ok || !change.After(out.Status.Latest) {
		t.Errorf("relay %s has the change that its link keeps back: %+v", copying.name, out)
	}
	copying.kill()
	w.setLinks([]*host{copying}, w.relays, faultnet.Fault{})
	w.inForce(change, 6)
	w.limits(before, instances(w.hosts...))

	answering.start()
	copying.start()
	w.copied(change, answering, copying)
}

// Half of the relays are killed and their hosts poll the others: changes reach all hosts, and the
// killed relays catch up after their restart.
func TestHalfTheRelaysUnavailable(t *testing.T) {
	t.Parallel()
	w := newRegionalWorld(t, 4, 8)
	w.subscribed()
	limits := w.reference(8, "limits/all", 80, 96)
	gone := w.relays[2:]
	for _, relay := range gone {
		relay.kill()
	}
	for n, megabytes := range []int{80, 96, 80} {
		change := w.publish("limits/all", memoryLimit(megabytes))
		status := w.inForce(change, 8)
		if status.Hosts != 8 {
			t.Errorf("change %d: %d hosts are known, want 8", n, status.Hosts)
		}
		w.limits(limits[n%2], instances(w.hosts...))
	}
	for _, relay := range gone {
		relay.start()
	}
	change := w.publish("limits/all", memoryLimit(96))
	w.copied(change, w.relays...)
	w.inForce(change, 8)
	w.limits(limits[1], instances(w.hosts...))
}

// between returns the links from each asker to each relay.
func (w *settingsWorld) between(askers, relays []*host) (links []*faultnet.Link) {
	for _, asker := range askers {
		for _, relay := range relays {
			if asker != relay {
				links = append(links, w.link(asker, relay))
			}
		}
	}
	return links
}

// connections returns how many connections were made over links.
func connections(links []*faultnet.Link) (made int) {
	for _, link := range links {
		made += link.Made()
	}
	return made
}

// cutOff stalls links until heal is called. With reset all connections are reset as well, new ones
// within a few milliseconds, so that a caller fails at once.
func cutOff(links []*faultnet.Link, reset bool) (heal func()) {
	for _, link := range links {
		link.Set(faultnet.Fault{Stall: faultnet.Both})
	}
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		each := time.NewTicker(5 * time.Millisecond)
		defer each.Stop()
		for {
			select {
			case <-stop:
				return
			case <-each.C:
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

// A partitioned region, and hosts without any relay, continue with the last accepted settings,
// retry at a bounded rate, and catch up once the partition heals.
func TestRegionCutOffAndBack(t *testing.T) {
	for name, reset := range map[string]bool{"stalled": false, "reset": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			regionCutOff(t, reset, 6*time.Second)
		})
	}
}

// The same for a minute, which would expose a missing backoff.
func TestRegionCutOffForLong(t *testing.T) {
	skipShort(t)
	t.Parallel()
	regionCutOff(t, true, time.Minute)
}

// Bounds on the connections of one agent while all its calls fail: a few at first, then a rate per
// second. A relay follows the writer, queries another relay for the writer, and reports.
const (
	retriesFirst       = 6
	relayRetriesSecond = 3.5
	hostRetriesSecond  = 0.7
)

// regionCutOff partitions the second of two regions, and the hosts of a third from all relays.
func regionCutOff(t *testing.T, reset bool, lasts time.Duration) {
	w := layOutSettings(t, settingsLayout{relays: 2, hosts: 6, sidecarsPerHost: 1, regions: 3})
	w.startRelays()
	w.startAll()
	joined := []*host{w.hosts[0], w.hosts[3]}
	apart := []*host{w.hosts[1], w.hosts[4]}
	alone := []*host{w.hosts[2], w.hosts[5]}
	writer, regional := w.relays[:1], w.relays[1:]
	before := w.reference(6, "limits/all", 96)[0]
	for _, h := range apart {
		eventually(t, h.name+" asks the relay of its region", func() bool {
			return w.inspect(h, h.instances[0]).Settings.Relay == regional[0].name
		})
	}

	toWriter, toAny := w.between(regional, writer), w.between(alone, w.relays)
	across := slices.Concat(w.between(writer, regional), w.between(apart, writer), w.between(joined, regional))
	heal := cutOff(slices.Concat(toWriter, toAny, across), reset)
	defer heal()
	relayMade, hostsMade, acrossMade := connections(toWriter), connections(toAny), connections(across)
	began := time.Now()
	change := w.publish("limits/all", memoryLimit(80))
	w.inForce(change, len(joined))
	after := w.bodyLimit(joined[0].instances[0])
	if after == before {
		t.Fatal("the figure does not tell the settings apart")
	}
	for time.Since(began) < lasts {
		for _, name := range instances(slices.Concat(apart, alone)...) {
			if limit := w.bodyLimit(name); limit != before {
				t.Fatalf("%s has a limit of %v while it is cut off; it had %v", name, limit, before)
			}
		}
		time.Sleep(lasts / 20)
	}
	for _, h := range apart {
		if relay := w.inspect(h, h.instances[0]).Settings.Relay; relay != regional[0].name {
			t.Errorf("%s asks %q; the relay of its region serves on", h.name, relay)
		}
	}
	took := time.Since(began)
	maxAt(t, "the region's relay", connections(toWriter)-relayMade, retriesFirst+relayRetriesSecond*took.Seconds())
	maxAt(t, "hosts without a relay", connections(toAny)-hostsMade, float64(len(alone))*(retriesFirst+hostRetriesSecond*took.Seconds()))
	maxAt(t, "agents that have a relay of their region", connections(across)-acrossMade, 0)

	heal()
	w.inForce(change, 6)
	w.limits(after, instances(w.hosts...))
	w.copied(change, w.relays...)
}

// maxAt checks that a number of connections is within a bound.
func maxAt(t *testing.T, whose string, made int, limit float64) {
	t.Helper()
	t.Logf("%s made %d connections", whose, made)
	if float64(made) > limit {
		t.Errorf("%s made %d connections while cut off; %.1f at most", whose, made, limit)
	}
}
