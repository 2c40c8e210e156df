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

// promote makes a relay the writer by martendrum change promote, and returns its epoch.
func (w *settingsWorld) promote(relay *host) int64 {
	w.t.Helper()
	out, errs, code := w.command("change", "promote", relay.name)
	var epoch int64
	if _, err := fmt.Sscanf(out, relay.name+" writes since epoch %d", &epoch); code != 0 || err != nil {
		w.t.Fatalf("martendrum change promote %s: exit code %d, parsing the epoch: %v, want 0 and the new epoch\n%s%s", relay.name, code, err, out, errs)
	}
	return epoch
}

// waitWriterKnown waits until the relays report the given writer and its epoch.
func (w *settingsWorld) waitWriterKnown(writer *host, epoch int64, relays ...*host) {
	w.t.Helper()
	want := api.SettingsWriter{Writer: writer.name, Epoch: epoch}
	for _, relay := range relays {
		eventually(w.t, fmt.Sprintf("relay %s to report the writer %+v", relay.name, want), func() bool {
			out, ok := w.status(relay, distribution.Revision{})
			return ok && out.Writer == want
		})
	}
}

// holdsResource reports whether a relay holds a resource whose name begins with the given one.
func (w *settingsWorld) holdsResource(relay *host, name string) bool {
	w.t.Helper()
	var out api.SettingsGetOut
	if err := w.operator.Agent(relay.name).Call(context.Background(), api.SettingsGet, &api.SettingsGetIn{Prefix: name}, &out); err != nil {
		w.t.Fatalf("reading the resources of relay %s: %v", relay.name, err)
	}
	return len(out.Resources) > 0
}

// A writer that only an operator can reach continues to acknowledge changes after another relay was
// promoted. None of these changes reaches a host or another relay, the old writer steps down once
// the partition heals, and all agents keep the new epoch across a restart.
func TestOldWriterIsFenced(t *testing.T) {
	t.Parallel()
	w := newRegionalWorld(t, 3, 3)
	w.waitSubscribed()
	oldWriter, newWriter := w.relays[0], w.relays[1]
	w.publishLimits(3, "limits/all", 112)
	others := w.relays[1:]
	w.waitCopied(w.publish("limits/before", memoryLimit(112)), others...)

	drop := faultnet.Fault{Drop: true}
	w.setLinks(others, []*host{oldWriter}, drop)
	w.setLinks([]*host{oldWriter}, others, drop)
	w.setLinks(w.hosts, []*host{oldWriter}, drop)
	epoch := w.promote(newWriter)
	if epoch < 2 {
		t.Errorf("epoch of the promoted writer = %d, want at least 2", epoch)
	}
	w.waitWriterKnown(newWriter, epoch, others...)
	change := w.publish("limits/all", memoryLimit(96))
	if change.Epoch != epoch {
		t.Errorf("new writer acknowledged revision %v, want one of epoch %d", change, epoch)
	}
	w.waitInForceBy(newWriter, change, 3)
	limit := w.bodyLimit(w.hosts[0].instances[0])
	w.waitBodyLimit(limit, instanceNames(w.hosts...))

	// The old writer acknowledges enough changes that the numbers of its revisions exceed those of
	// the new writer.
	for n := range 4 {
		fenced := w.publish("limits/void", memoryLimit(64+16*n), "--relay", oldWriter.name)
		if fenced.Epoch != 1 {
			t.Errorf("old writer acknowledged revision %v, want one of epoch 1", fenced)
		}
	}
	// A host that knows the new epoch and can reach only the old writer keeps its settings.
	w.reachOnly(w.hosts[0], oldWriter, others)
	w.checkNoFencedChange(others, limit)

	w.setLinks(others, []*host{oldWriter}, faultnet.Fault{})
	w.setLinks([]*host{oldWriter}, others, faultnet.Fault{})
	w.setLinks(w.hosts, []*host{oldWriter}, faultnet.Fault{})
	w.waitWriterKnown(newWriter, epoch, oldWriter)
	w.waitCopied(change, oldWriter)
	if err := w.putAt(oldWriter, "limits/void"); errorCode(err) != api.NotWriter || !strings.Contains(err.Error(), newWriter.name) {
		t.Errorf("change sent to the old writer: got error %v, want code %s and the name %s of the new writer", err, api.NotWriter, newWriter.name)
	}
	w.checkNoFencedChange(w.relays, limit)

	w.restartAll()
	w.waitWriterKnown(newWriter, epoch, w.relays...)
	last := w.publish("limits/all", memoryLimit(80))
	if last.Epoch != epoch || !last.After(change) {
		t.Errorf("revision after a restart of all agents = %v, want one of epoch %d after %v", last, epoch, change)
	}
	w.waitInForceBy(newWriter, last, 3)
	w.checkNoFencedChange(w.relays, w.bodyLimit(w.hosts[0].instances[0]))
}

// reachOnly lets a host reach only the old writer, waits until the host has connected to it and no
// connection to it is left, and then lets the host reach the other relays too.
func (w *settingsWorld) reachOnly(h, oldWriter *host, others []*host) {
	w.t.Helper()
	w.setLinks([]*host{h}, others, faultnet.Fault{Drop: true})
	link := w.link(h, oldWriter)
	made := link.AcceptedConns()
	link.Set(faultnet.Fault{})
	eventually(w.t, "the connection of "+h.name+" to the old writer to be closed", func() bool { return link.AcceptedConns() > made && link.Open() == 0 })
	w.setLinks([]*host{h}, others, faultnet.Fault{})
}

// restartAll kills the agents of all relays and hosts and starts them again.
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

// putAt sends a change to a relay, whether it is the writer or not, and returns the error.
func (w *settingsWorld) putAt(relay *host, name string) error {
	put := &distribution.Put{Name: name, Content: []byte(`{}`)}
	return w.operator.Agent(relay.name).Call(context.Background(), api.SettingsPut, put, nil)
}

// waitInForceBy waits until the given writer reports a revision in force at exactly the given
// number of hosts.
func (w *settingsWorld) waitInForceBy(writer *host, revision distribution.Revision, hosts int) {
	w.t.Helper()
	eventually(w.t, fmt.Sprintf("revision %v to be in force at %d hosts", revision, hosts), func() bool {
		out, ok := w.status(writer, revision)
		return ok && out.Complete && out.Status.InForce == hosts
	})
}

// checkNoFencedChange checks that no change of the fenced writer, all of limits/void, has reached
// one of the relays or a host, and waits until all sidecars have the given body limit.
func (w *settingsWorld) checkNoFencedChange(relays []*host, limit float64) {
	w.t.Helper()
	for _, relay := range relays {
		if w.holdsResource(relay, "limits/void") {
			w.t.Errorf("relay %s holds limits/void, a change that only the fenced writer acknowledged; want no relay to hold it", relay.name)
		}
	}
	for _, h := range w.hosts {
		if revision, found := w.acceptedRevisions(h, h.instances[0])["limits/void"]; found {
			w.t.Errorf("%s accepted revision %v of limits/void from the fenced writer, want none", h.name, revision)
		}
	}
	w.waitBodyLimit(limit, instanceNames(w.hosts...))
}

// Two relays are promoted while they are partitioned from each other. Their epochs differ, and so
// do the revisions that they acknowledge, so no revision has two contents. The writer with the
// later epoch prevails once the partition heals.
func TestTwoRelaysPromotedApart(t *testing.T) {
	t.Parallel()
	w := configureSettings(t, settingsLayout{relays: 3, hosts: 1, sidecarsPerHost: 1})
	w.startRelays()
	w.startAll()
	w.publishLimits(1, "limits/all", 112)
	first, second := w.relays[1], w.relays[2]
	w.waitCopied(w.publish("limits/before", memoryLimit(112)), w.relays...)
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
			t.Fatalf("publishing a change to relay %s: %v", relay.name, err)
		}
		revisions = append(revisions, out.Resource.Revision)
	}
	if epochs[0] == epochs[1] || revisions[0] == revisions[1] {
		t.Errorf("two writers have epochs %v and acknowledged revisions %v, want them to differ", epochs, revisions)
	}
	for _, relay := range w.relays {
		w.setLinks([]*host{relay}, w.relays, faultnet.Fault{})
	}
	prevailing, epoch := first, epochs[0]
	if epochs[1] > epoch {
		prevailing, epoch = second, epochs[1]
	}
	w.waitWriterKnown(prevailing, epoch, w.relays...)
	last := w.publish("limits/all", memoryLimit(80))
	w.waitCopied(last, w.relays...)
	w.waitInForceBy(prevailing, last, 1)
}
