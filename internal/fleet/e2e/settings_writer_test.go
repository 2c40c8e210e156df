package e2e

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/distribution"
	"martendrum/internal/standin/faultnet"
)

// promote makes a relay the writer by the command, and returns its epoch.
func (w *settingsWorld) promote(relay *host) int64 {
	w.t.Helper()
	out, errs, code := w.command("change", "promote", relay.name)
	var epoch int64
	if _, err := fmt.Sscanf(out, relay.name+" writes since epoch %d", &epoch); code != 0 || err != nil {
		w.t.Fatalf("promote %s: exit %d, %v: %s%s", relay.name, code, err, out, errs)
	}
	return epoch
}

// knowsWriter waits until relays report a writer and its epoch.
func (w *settingsWorld) knowsWriter(writer *host, epoch int64, relays ...*host) {
	w.t.Helper()
	want := api.SettingsWriter{Writer: writer.name, Epoch: epoch}
	for _, relay := range relays {
		eventually(w.t, fmt.Sprintf("%s knows of %+v", relay.name, want), func() bool {
			out, ok := w.status(relay, distribution.Revision{})
			return ok && out.Writer == want
		})
	}
}

// holds reports whether a relay has a resource of a name.
func (w *settingsWorld) holds(relay *host, name string) bool {
	w.t.Helper()
	var out api.SettingsGetOut
	if err := w.operator.Agent(relay.name).Call(context.Background(), api.SettingsGet, &api.SettingsGetIn{Prefix: name}, &out); err != nil {
		w.t.Fatal(err)
	}
	return len(out.Resources) > 0
}

// A writer that is partitioned from everyone but an operator continues to acknowledge changes
// after another relay was promoted. None of them reaches a host or relay, the old writer steps
// down once the partition heals, and all agents keep the epoch over a restart.
func TestOldWriterIsFenced(t *testing.T) {
	t.Parallel()
	w := newRegionalWorld(t, 3, 3)
	w.subscribed()
	old, next := w.relays[0], w.relays[1]
	w.reference(3, "limits/all", 112)
	others := w.relays[1:]
	w.copied(w.publish("limits/before", memoryLimit(112)), others...)

	drop := faultnet.Fault{Drop: true}
	w.setLinks(others, []*host{old}, drop)
	w.setLinks([]*host{old}, others, drop)
	w.setLinks(w.hosts, []*host{old}, drop)
	epoch := w.promote(next)
	if epoch < 2 {
		t.Errorf("promoted in epoch %d", epoch)
	}
	w.knowsWriter(next, epoch, others...)
	change := w.publish("limits/all", memoryLimit(96))
	if change.Epoch != epoch {
		t.Errorf("the new writer acknowledges revision %v in epoch %d", change, epoch)
	}
	w.inForceBy(next, change, 3)
	limit := w.bodyLimit(w.hosts[0].instances[0])
	w.limits(limit, instances(w.hosts...))

	// The old writer acknowledges changes, many enough that its numbers pass the new one's.
	for n := range 4 {
		void := w.publish("limits/void", memoryLimit(64+16*n), "--relay", old.name)
		if void.Epoch != 1 {
			t.Errorf("the old writer acknowledges revision %v", void)
		}
	}
	// A host that knows the new epoch and can reach only the old writer keeps its settings.
	w.reachOnly(w.hosts[0], old, others)
	w.noneHoldsVoid(others, limit)

	w.setLinks(others, []*host{old}, faultnet.Fault{})
	w.setLinks([]*host{old}, others, faultnet.Fault{})
	w.setLinks(w.hosts, []*host{old}, faultnet.Fault{})
	w.knowsWriter(next, epoch, old)
	w.copied(change, old)
	if err := w.putAt(old, "limits/void"); errorCode(err) != api.NotWriter || !strings.Contains(err.Error(), next.name) {
		t.Errorf("the old writer, sent a change: %v", err)
	}
	w.noneHoldsVoid(w.relays, limit)

	w.restartAll()
	w.knowsWriter(next, epoch, w.relays...)
	last := w.publish("limits/all", memoryLimit(80))
	if last.Epoch != epoch || !last.After(change) {
		t.Errorf("after a restart of all, revision %v follows %v", last, change)
	}
	w.inForceBy(next, last, 3)
	w.noneHoldsVoid(w.relays, w.bodyLimit(w.hosts[0].instances[0]))
}

// reachOnly lets a host reach the old writer alone until that one could not serve it, and then
// the others again.
func (w *settingsWorld) reachOnly(h, old *host, others []*host) {
	w.t.Helper()
	w.setLinks([]*host{h}, others, faultnet.Fault{Drop: true})
	link := w.link(h, old)
	made := link.Made()
	link.Set(faultnet.Fault{})
	eventually(w.t, "a host that the old writer can't serve", func() bool { return link.Made() > made && link.Open() == 0 })
	w.setLinks([]*host{h}, others, faultnet.Fault{})
}

// restartAll kills all relays and agents and starts them again.
func (w *settingsWorld) restartAll() {
	w.t.Helper()
	all := slices.Concat(w.relays, w.hosts)
	for _, agent := range all {
		agent.kill()
	}
	for _, agent := range all {
		agent.start()
	}
	w.waitReady()
}

// putAt sends a change to one relay, whether it is the writer or not.
func (w *settingsWorld) putAt(relay *host, name string) error {
	put := &distribution.Put{Name: name, Content: []byte(`{}`)}
	return w.operator.Agent(relay.name).Call(context.Background(), api.SettingsPut, put, nil)
}

// inForceBy waits until a given writer reports a revision in force at a number of hosts.
func (w *settingsWorld) inForceBy(writer *host, revision distribution.Revision, hosts int) {
	w.t.Helper()
	eventually(w.t, fmt.Sprintf("revision %v in force at %d hosts", revision, hosts), func() bool {
		out, ok := w.status(writer, revision)
		return ok && out.Complete && out.Status.InForce == hosts
	})
}

// noneHoldsVoid checks that no change of the fenced writer has reached a relay or host.
func (w *settingsWorld) noneHoldsVoid(relays []*host, limit float64) {
	w.t.Helper()
	for _, relay := range relays {
		if w.holds(relay, "limits/void") {
			w.t.Errorf("%s holds what the old writer acknowledged", relay.name)
		}
	}
	for _, h := range w.hosts {
		if revision, there := w.accepted(h, h.instances[0])["limits/void"]; there {
			w.t.Errorf("%s accepted revision %v of the old writer", h.name, revision)
		}
	}
	w.limits(limit, instances(w.hosts...))
}

// Two relays are promoted while partitioned from each other: their epochs differ, the later one
// prevails, and no revision has two contents.
func TestTwoRelaysPromotedApart(t *testing.T) {
	t.Parallel()
	w := layOutSettings(t, settingsLayout{relays: 3, hosts: 1, sidecarsPerHost: 1})
	w.startRelays()
	w.startAll()
	w.reference(1, "limits/all", 112)
	first, second := w.relays[1], w.relays[2]
	w.copied(w.publish("limits/before", memoryLimit(112)), w.relays...)
	drop := faultnet.Fault{Drop: true}
	for _, relay := range w.relays {
		w.setLinks([]*host{relay}, w.relays, drop)
	}
	epochs := []int64{w.promote(first), w.promote(second)}
	var revisions []distribution.Revision
	for n, relay := range []*host{first, second} {
		var out api.SettingsPutOut
		put := &distribution.Put{Name: fmt.Sprint("limits/", n), Content: []byte(memoryLimit(80 + 16*n))}
		if err := w.operator.Agent(relay.name).Call(context.Background(), api.SettingsPut, put, &out); err != nil {
			t.Fatal(err)
		}
		revisions = append(revisions, out.Resource.Revision)
	}
	if epochs[0] == epochs[1] || revisions[0] == revisions[1] {
		t.Errorf("two writers of epochs %v acknowledge revisions %v", epochs, revisions)
	}
	for _, relay := range w.relays {
		w.setLinks([]*host{relay}, w.relays, faultnet.Fault{})
	}
	stands, epoch := first, epochs[0]
	if epochs[1] > epoch {
		stands, epoch = second, epochs[1]
	}
	w.knowsWriter(stands, epoch, w.relays...)
	last := w.publish("limits/all", memoryLimit(80))
	w.copied(last, w.relays...)
	w.inForceBy(stands, last, 1)
}
