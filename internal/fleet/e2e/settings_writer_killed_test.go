package e2e

import (
	"context"
	"fmt"
	"path/filepath"
	"testing"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/distribution"
	"martendrum/internal/fleet/host/agent"
	"martendrum/internal/fleet/host/agentstore"
)

// contents collects which content each revision was seen with, at any relay and in any answer.
type contents struct {
	t      testing.TB
	hashes map[distribution.Revision]string
}

func (c *contents) add(resource distribution.Resource) {
	c.t.Helper()
	have, there := c.hashes[resource.Revision]
	if there && have != resource.Hash {
		c.t.Errorf("revision %v has two contents, %s and %s", resource.Revision, have, resource.Hash)
	}
	c.hashes[resource.Revision] = resource.Hash
}

// readRelays records the resources of the relays that answer.
func (w *settingsWorld) readRelays(seen *contents, relays []*host) {
	w.t.Helper()
	for _, relay := range relays {
		var out api.SettingsGetOut
		if w.operator.Agent(relay.name).CallFor(context.Background(), time.Second, api.SettingsGet, &api.SettingsGetIn{}, &out) != nil {
			continue
		}
		for _, resource := range out.Resources {
			seen.add(resource)
		}
	}
}

// The writer's agent is killed before and after each of its writes while changes are published,
// and at last between logging a change and acknowledging it. Acknowledged changes survive, the
// logged one keeps its revision and content, and no revision ever has two contents at any relay or
// in any log.
func TestWriterKilledAtEveryWrite(t *testing.T) {
	t.Parallel()
	maxWrite := 5
	if !testing.Short() {
		maxWrite = 20
	}
	w := layOutSettings(t, settingsLayout{relays: 2, hosts: 1, sidecarsPerHost: 1})
	w.startRelays()
	w.startAll()
	run := &writerRun{world: w, seen: &contents{t: t, hashes: make(map[distribution.Revision]string)}, latest: make(map[string]distribution.Resource)}
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
	w.readRelays(run.seen, w.relays)
	w.inForce(last, 1)
	t.Logf("%d changes published, %d acknowledged, %d revisions seen", run.published, run.acknowledged, len(run.seen.hashes))
}

// writerRun publishes changes at a writer that crashes, and keeps what was acknowledged.
type writerRun struct {
	world                   *settingsWorld
	seen                    *contents
	latest                  map[string]distribution.Resource // that were acknowledged, by name
	published, acknowledged int
}

// killedAt starts the writer with a crash at a write, and publishes changes until it crashes.
func (r *writerRun) killedAt(at int, after string) {
	r.world.t.Helper()
	writer, follower := r.world.writer(), r.world.relays[1]
	writer.kill()
	if after == "" {
		follower.kill()
		follower.start()
	}
	writer.start("E2E_AGENT="+writer.config, fmt.Sprint("E2E_CRASH_AT=", at), "E2E_CRASH_AFTER="+after)
	r.publishUntilExit(fmt.Sprintf("at write %d", at), func() { r.publish(fmt.Sprint("notes/", (r.published+1)%3)) })
	r.world.readRelays(r.seen, r.world.relays)
	r.logged()
}

// killedBeforeAnswer crashes the writer after it has logged a change and before it acknowledges
// it, and returns the change from that log.
func (r *writerRun) killedBeforeAnswer() distribution.Resource {
	r.world.t.Helper()
	const name = "notes/unanswered"
	writer := r.world.writer()
	writer.kill()
	acknowledged := r.acknowledged
	writer.start("E2E_AGENT="+writer.config, "E2E_CRASH_AFTER_CHANGE="+name)
	r.publishUntilExit("behind the write of "+name, func() { r.publish(name) })
	if r.acknowledged != acknowledged {
		r.world.t.Errorf("%s was acknowledged: the writer did not die between its write and its answer", name)
	}
	for _, resource := range r.logged() {
		if resource.Name == name {
			return resource
		}
	}
	r.world.t.Fatalf("%s is not in the writer's log: the writer died before its write", name)
	return distribution.Resource{}
}

// publishUntilExit publishes repeatedly until the writer's process has ended.
func (r *writerRun) publishUntilExit(where string, ask func()) {
	r.world.t.Helper()
	writer := r.world.writer()
	writer.mu.Lock()
	end := writer.end
	writer.mu.Unlock()
	for until := time.Now().Add(eventuallyTimeout); time.Now().Before(until); {
		select {
		case <-end:
			return
		default:
		}
		ask()
	}
	r.world.t.Fatalf("the writer does not die %s", where)
}

// publish publishes one change of a name with new content, and reads what both relays hold.
func (r *writerRun) publish(name string) {
	r.published++
	put := &distribution.Put{Name: name, Scope: distribution.Scope{Labels: map[string]string{"service": "none"}},
		Content: fmt.Appendf(nil, `{"note":%d}`, r.published)}
	var out api.SettingsPutOut
	err := r.world.operator.Agent(r.world.writer().name).CallFor(context.Background(), 2*time.Second, api.SettingsPut, put, &out)
	if err != nil {
		time.Sleep(10 * time.Millisecond) // it begins, or has just died
		return
	}
	r.acknowledged++
	r.seen.add(out.Resource)
	r.latest[put.Name] = out.Resource
	r.world.readRelays(r.seen, r.world.relays)
}

// logged reads the log that a crashed writer left on its disk.
func (r *writerRun) logged() []distribution.Resource {
	r.world.t.Helper()
	config, err := agent.LoadConfig(r.world.writer().config)
	if err != nil {
		r.world.t.Fatal(err)
	}
	record, err := agentstore.Record(config)(filepath.Join(config.StateDir, "record.db"))
	if err != nil {
		r.world.t.Fatal(err)
	}
	defer record.Close()
	snapshot, err := record.Load(context.Background())
	if err != nil {
		r.world.t.Fatal(err)
	}
	state, err := distribution.Restore(distribution.DefaultLimits(), snapshot.Settings)
	if err != nil {
		r.world.t.Fatal(err)
	}
	resources := state.Resources()
	for _, resource := range resources {
		r.seen.add(resource)
	}
	return resources
}

// checkUnanswered checks that a logged change which was not acknowledged is at the writer and at
// each relay as it was logged.
func (r *writerRun) checkUnanswered(want distribution.Resource) {
	r.world.t.Helper()
	r.world.copied(want.Revision, r.world.relays...)
	for _, relay := range r.world.relays {
		var out api.SettingsGetOut
		if err := r.world.operator.Agent(relay.name).Call(context.Background(), api.SettingsGet, &api.SettingsGetIn{Prefix: want.Name}, &out); err != nil {
			r.world.t.Fatal(err)
		}
		if len(out.Resources) != 1 || out.Resources[0].Revision != want.Revision || out.Resources[0].Hash != want.Hash {
			r.world.t.Errorf("%s holds %+v; the writer's log had revision %v of hash %s", relay.name, out.Resources, want.Revision, want.Hash)
		}
	}
}

// check checks that each acknowledged change, or a later one of its name, is there.
func (r *writerRun) check() {
	r.world.t.Helper()
	if r.acknowledged == 0 || r.acknowledged >= len(r.seen.hashes) {
		r.world.t.Errorf("%d changes were acknowledged, %d revisions seen: the writer did not die between its write and its answer", r.acknowledged, len(r.seen.hashes))
	}
	_, resources, err := r.world.operator.Resources(context.Background(), "", "notes/")
	if err != nil {
		r.world.t.Fatal(err)
	}
	have := make(map[string]distribution.Resource)
	for _, resource := range resources {
		r.seen.add(resource)
		have[resource.Name] = resource
	}
	for name, want := range r.latest {
		got := have[name]
		if want.Revision.After(got.Revision) || want.Revision == got.Revision && want.Hash != got.Hash {
			r.world.t.Errorf("%s is of revision %v; revision %v was acknowledged", name, got.Revision, want.Revision)
		}
	}
}
