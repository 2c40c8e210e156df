package e2e

import (
	"context"
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/distribution"
	"martendrum/internal/fleet/host/agent"
	"martendrum/internal/fleet/host/agentstore"
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

// knowsWriter waits until relays tell that another one writes in an epoch.
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

// holds says whether a relay has a resource of a name.
func (w *settingsWorld) holds(relay *host, name string) bool {
	w.t.Helper()
	var out api.SettingsGetOut
	if err := w.operator.Agent(relay.name).Call(context.Background(), api.SettingsGet, &api.SettingsGetIn{Prefix: name}, &out); err != nil {
		w.t.Fatal(err)
	}
	return len(out.Resources) > 0
}

// A writer that is cut off from all but an operator goes on acknowledging after another one was
// promoted: none of that reaches anybody, it steps down when it is reached again, and all
// remember the epoch after a restart.
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
	limit := w.bodyLimit(w.hosts[0].insts[0])
	w.limits(limit, instances(w.hosts...))

	// The old writer acknowledges changes, many enough that its numbers pass the new one's.
	for n := range 4 {
		void := w.publish("limits/void", memoryLimit(64+16*n), "--relay", old.name)
		if void.Epoch != 1 {
			t.Errorf("the old writer acknowledges revision %v", void)
		}
	}
	// A host that knows of the new epoch and reaches the old writer alone keeps what it has.
	only := w.hosts[0]
	w.setLinks([]*host{only}, others, drop)
	link := w.link(only, old)
	made := link.Made()
	link.Set(faultnet.Fault{})
	eventually(t, "a host that the old writer can't serve", func() bool { return link.Made() > made && link.Open() == 0 })
	w.setLinks([]*host{only}, others, faultnet.Fault{})
	w.noneHoldsVoid(others, limit)

	w.setLinks(others, []*host{old}, faultnet.Fault{})
	w.setLinks([]*host{old}, others, faultnet.Fault{})
	w.setLinks(w.hosts, []*host{old}, faultnet.Fault{})
	w.knowsWriter(next, epoch, old)
	w.copied(change, old)
	if err := w.putAt(old, "limits/void"); code(err) != api.NotWriter || !strings.Contains(err.Error(), next.name) {
		t.Errorf("the old writer, asked for a change: %v", err)
	}
	w.noneHoldsVoid(w.relays, limit)

	all := slices.Concat(w.relays, w.hosts)
	for _, agent := range all {
		agent.kill()
	}
	for _, agent := range all {
		agent.start()
	}
	w.ready()
	w.knowsWriter(next, epoch, w.relays...)
	last := w.publish("limits/all", memoryLimit(80))
	if last.Epoch != epoch || !last.After(change) {
		t.Errorf("after a restart of all, revision %v follows %v", last, change)
	}
	w.inForceBy(next, last, 3)
	w.noneHoldsVoid(w.relays, w.bodyLimit(w.hosts[0].insts[0]))
}

// putAt asks one relay for a change, whoever writes.
func (w *settingsWorld) putAt(relay *host, name string) error {
	put := &distribution.Put{Name: name, Content: []byte(`{}`)}
	return w.operator.Agent(relay.name).Call(context.Background(), api.SettingsPut, put, nil)
}

// inForceBy waits until a revision is in force at so many hosts by the word of a writer.
func (w *settingsWorld) inForceBy(writer *host, revision distribution.Revision, hosts int) {
	w.t.Helper()
	eventually(w.t, fmt.Sprintf("revision %v in force at %d hosts", revision, hosts), func() bool {
		out, ok := w.status(writer, revision)
		return ok && out.Complete && out.Status.InForce == hosts
	})
}

// noneHoldsVoid says whether the changes of a writer that was replaced have reached relays or
// hosts.
func (w *settingsWorld) noneHoldsVoid(relays []*host, limit float64) {
	w.t.Helper()
	for _, relay := range relays {
		if w.holds(relay, "limits/void") {
			w.t.Errorf("%s holds what the old writer acknowledged", relay.name)
		}
	}
	for _, h := range w.hosts {
		if revision, there := w.accepted(h, h.insts[0])["limits/void"]; there {
			w.t.Errorf("%s accepted revision %v of the old writer", h.name, revision)
		}
	}
	w.limits(limit, instances(w.hosts...))
}

// Two relays are promoted that know nothing of each other: their epochs differ, the later one
// stands, and no revision has two contents.
func TestTwoRelaysPromotedApart(t *testing.T) {
	t.Parallel()
	w := layOutSettings(t, settingsLayout{relays: 3, hosts: 1, each: 1})
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

// contents collects which content each revision was seen with, at any relay and in any answer.
type contents struct {
	t      testing.TB
	hashes map[distribution.Revision]string
}

func (c *contents) saw(resource distribution.Resource) {
	c.t.Helper()
	have, there := c.hashes[resource.Revision]
	if there && have != resource.Hash {
		c.t.Errorf("revision %v has two contents, %s and %s", resource.Revision, have, resource.Hash)
	}
	c.hashes[resource.Revision] = resource.Hash
}

// look takes what relays that answer hold.
func (w *settingsWorld) look(seen *contents, relays []*host) {
	w.t.Helper()
	for _, relay := range relays {
		var out api.SettingsGetOut
		if w.operator.Agent(relay.name).CallFor(context.Background(), time.Second, api.SettingsGet, &api.SettingsGetIn{}, &out) != nil {
			continue
		}
		for _, resource := range out.Resources {
			seen.saw(resource)
		}
	}
}

// The writer's agent is killed before and after each of its writes, with changes asked for all
// the while, and at last between the write of a named change and its answer: what it acknowledged
// is there in the end, what it wrote without an answer keeps its revision and content, and no
// revision has two contents at any relay or in any log at any time.
func TestWriterKilledAtEveryWrite(t *testing.T) {
	t.Parallel()
	maxWrite := 5
	if !testing.Short() {
		maxWrite = 20
	}
	w := layOutSettings(t, settingsLayout{relays: 2, hosts: 1, each: 1})
	w.startRelays()
	w.startAll()
	run := &writerRun{w: w, seen: &contents{t: t, hashes: make(map[distribution.Revision]string)}, latest: make(map[string]distribution.Resource)}
	for at := 1; at <= maxWrite; at++ {
		for _, after := range []string{"", "yes"} {
			run.killedAt(at, after)
		}
	}
	unanswered := run.killedBeforeAnswer()
	w.writer().kill()
	w.writer().start()
	w.copied(distribution.Revision{}, w.relays...)
	run.check()
	run.checkUnanswered(unanswered)
	last := w.publish("limits/all", memoryLimit(96))
	w.copied(last, w.relays...)
	w.look(run.seen, w.relays)
	w.inForce(last, 1)
	t.Logf("%d changes asked for, %d acknowledged, %d revisions seen", run.asked, run.acknowledged, len(run.seen.hashes))
}

// writerRun asks a writer that dies for changes.
type writerRun struct {
	w                   *settingsWorld
	seen                *contents
	latest              map[string]distribution.Resource // that were acknowledged, by name
	asked, acknowledged int
}

// killedAt starts the writer so that it dies at a write, and asks for changes until it does.
func (r *writerRun) killedAt(at int, after string) {
	r.w.t.Helper()
	writer, follower := r.w.writer(), r.w.relays[1]
	writer.kill()
	if after == "" {
		follower.kill()
		follower.start()
	}
	writer.start("E2E_AGENT="+writer.config, fmt.Sprint("E2E_CRASH_AT=", at), "E2E_CRASH_AFTER="+after)
	r.askUntilDeath(fmt.Sprintf("at write %d", at), func() { r.ask(fmt.Sprint("notes/", (r.asked+1)%3)) })
	r.w.look(r.seen, r.w.relays)
	r.logged()
}

// killedBeforeAnswer has the writer die once a change of one name is in its log, before it is
// answered, and returns the change as it stands in that log.
func (r *writerRun) killedBeforeAnswer() distribution.Resource {
	r.w.t.Helper()
	const name = "notes/unanswered"
	writer := r.w.writer()
	writer.kill()
	acknowledged := r.acknowledged
	writer.start("E2E_AGENT="+writer.config, "E2E_CRASH_AFTER_CHANGE="+name)
	r.askUntilDeath("behind the write of "+name, func() { r.ask(name) })
	if r.acknowledged != acknowledged {
		r.w.t.Errorf("%s was acknowledged: the writer did not die between its write and its answer", name)
	}
	for _, resource := range r.logged() {
		if resource.Name == name {
			return resource
		}
	}
	r.w.t.Fatalf("%s is not in the writer's log: the writer died before its write", name)
	return distribution.Resource{}
}

// askUntilDeath asks again and again until the writer's process has ended.
func (r *writerRun) askUntilDeath(where string, ask func()) {
	r.w.t.Helper()
	writer := r.w.writer()
	writer.mu.Lock()
	end := writer.end
	writer.mu.Unlock()
	for until := time.Now().Add(patience); time.Now().Before(until); {
		select {
		case <-end:
			return
		default:
		}
		ask()
	}
	r.w.t.Fatalf("the writer does not die %s", where)
}

// ask asks for one change of a name, each with a content of its own, and looks at both relays.
func (r *writerRun) ask(name string) {
	r.asked++
	put := &distribution.Put{Name: name, Scope: distribution.Scope{Labels: map[string]string{"service": "none"}},
		Content: fmt.Appendf(nil, `{"note":%d}`, r.asked)}
	var out api.SettingsPutOut
	err := r.w.operator.Agent(r.w.writer().name).CallFor(context.Background(), 2*time.Second, api.SettingsPut, put, &out)
	if err != nil {
		time.Sleep(10 * time.Millisecond) // it begins, or has just died
		return
	}
	r.acknowledged++
	r.seen.saw(out.Resource)
	r.latest[put.Name] = out.Resource
	r.w.look(r.seen, r.w.relays)
}

// logged reads the log that a dead writer left on its disk.
func (r *writerRun) logged() []distribution.Resource {
	r.w.t.Helper()
	config, err := agent.LoadConfig(r.w.writer().config)
	if err != nil {
		r.w.t.Fatal(err)
	}
	record, err := agentstore.Record(config)(filepath.Join(config.StateDir, "record.db"))
	if err != nil {
		r.w.t.Fatal(err)
	}
	defer record.Close()
	snapshot, err := record.Load(context.Background())
	if err != nil {
		r.w.t.Fatal(err)
	}
	state, err := distribution.Restore(distribution.DefaultLimits(), snapshot.Settings)
	if err != nil {
		r.w.t.Fatal(err)
	}
	resources := state.Resources()
	for _, resource := range resources {
		r.seen.saw(resource)
	}
	return resources
}

// checkUnanswered says whether a change that was written and not answered is there as it was
// written, at the writer and at each relay.
func (r *writerRun) checkUnanswered(want distribution.Resource) {
	r.w.t.Helper()
	r.w.copied(want.Revision, r.w.relays...)
	for _, relay := range r.w.relays {
		var out api.SettingsGetOut
		if err := r.w.operator.Agent(relay.name).Call(context.Background(), api.SettingsGet, &api.SettingsGetIn{Prefix: want.Name}, &out); err != nil {
			r.w.t.Fatal(err)
		}
		if len(out.Resources) != 1 || out.Resources[0].Revision != want.Revision || out.Resources[0].Hash != want.Hash {
			r.w.t.Errorf("%s holds %+v; the writer's log had revision %v of hash %s", relay.name, out.Resources, want.Revision, want.Hash)
		}
	}
}

// check says whether all that was acknowledged is there, or what was asked for later.
func (r *writerRun) check() {
	r.w.t.Helper()
	if r.acknowledged == 0 || r.acknowledged >= len(r.seen.hashes) {
		r.w.t.Errorf("%d changes were acknowledged, %d revisions seen: the writer did not die between its write and its answer", r.acknowledged, len(r.seen.hashes))
	}
	_, resources, err := r.w.operator.Resources(context.Background(), "", "notes/")
	if err != nil {
		r.w.t.Fatal(err)
	}
	have := make(map[string]distribution.Resource)
	for _, resource := range resources {
		r.seen.saw(resource)
		have[resource.Name] = resource
	}
	for name, want := range r.latest {
		got := have[name]
		if want.Revision.After(got.Revision) || want.Revision == got.Revision && want.Hash != got.Hash {
			r.w.t.Errorf("%s is of revision %v; revision %v was acknowledged", name, got.Revision, want.Revision)
		}
	}
}
