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

// contents records the hash of the content with which each revision was seen, at any relay, in any
// log and in any response.
type contents struct {
	t      testing.TB
	hashes map[distribution.Revision]string
}

// add records a resource's revision and content. It fails the test if the revision was seen before
// with other content.
func (c *contents) add(resource distribution.Resource) {
	c.t.Helper()
	known, found := c.hashes[resource.Revision]
	if found && known != resource.Hash {
		c.t.Errorf("revision %v was seen with two contents, of hash %s and %s, want one", resource.Revision, known, resource.Hash)
	}
	c.hashes[resource.Revision] = resource.Hash
}

// readRelays records the resources of all relays that answer within a second.
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

// The writer's agent is killed before and after each of its first writes to its store while changes
// are published, and finally after it has logged a change and before it acknowledges it.
// Acknowledged changes survive, the unacknowledged one keeps its revision and content, and no
// revision ever has two contents at any relay or in any log.
func TestWriterKilledAtEveryWrite(t *testing.T) {
	t.Parallel()
	maxWrite := 5
	if !testing.Short() {
		maxWrite = 20
	}
	w := configureSettings(t, settingsLayout{relays: 2, hosts: 1, sidecarsPerHost: 1})
	w.startRelays()
	w.startAll()
	run := &writerRun{world: w, seen: &contents{t: t, hashes: make(map[distribution.Revision]string)}, latest: make(map[string]distribution.Resource)}
	for at := 1; at <= maxWrite; at++ {
		for _, after := range []string{"", "yes"} {
			run.crashAtWrite(at, after)
		}
	}
	unacknowledged := run.crashBeforeAcknowledgement()
	w.writer().kill()
	w.writer().start()
	w.waitCopied(distribution.Revision{}, w.relays...)
	run.checkAcknowledged()
	run.checkUnacknowledged(unacknowledged)
	last := w.publish("limits/all", memoryLimit(96))
	w.waitCopied(last, w.relays...)
	w.readRelays(run.seen, w.relays)
	w.waitInForce(last, 1)
	t.Logf("%d changes were published, %d were acknowledged, %d revisions were seen", run.published, run.acknowledged, len(run.seen.hashes))
}

// writerRun publishes changes to a writer that crashes, and records the acknowledged ones.
type writerRun struct {
	world                   *settingsWorld
	seen                    *contents
	latest                  map[string]distribution.Resource // latest acknowledged change of each resource name
	published, acknowledged int                              // numbers of changes
}

// crashAtWrite restarts the writer so that it crashes before the write with number at or, if after
// isn't "", after that write. It publishes changes until the writer crashes, and records what all
// relays and the writer's log hold. For a crash before a write, it also restarts the other relay
// first.
func (r *writerRun) crashAtWrite(at int, after string) {
	r.world.t.Helper()
	writer, follower := r.world.writer(), r.world.relays[1]
	writer.kill()
	if after == "" {
		follower.kill()
		follower.start()
	}
	writer.start("E2E_AGENT="+writer.config, fmt.Sprint("E2E_CRASH_AT=", at), "E2E_CRASH_AFTER="+after)
	r.publishUntilExit(fmt.Sprintf("crash at write %d", at), func() { r.publish(fmt.Sprint("notes/", (r.published+1)%3)) })
	r.world.readRelays(r.seen, r.world.relays)
	r.readLog()
}

// crashBeforeAcknowledgement crashes the writer after it has logged a change and before it
// acknowledges it. It returns the change from the writer's log.
func (r *writerRun) crashBeforeAcknowledgement() distribution.Resource {
	r.world.t.Helper()
	const name = "notes/unanswered"
	writer := r.world.writer()
	writer.kill()
	acknowledged := r.acknowledged
	writer.start("E2E_AGENT="+writer.config, "E2E_CRASH_AFTER_CHANGE="+name)
	r.publishUntilExit("crash after the write of "+name, func() { r.publish(name) })
	if r.acknowledged != acknowledged {
		r.world.t.Errorf("change of %s was acknowledged; want the writer to crash between the write and the acknowledgement", name)
	}
	for _, resource := range r.readLog() {
		if resource.Name == name {
			return resource
		}
	}
	r.world.t.Fatalf("change of %s is not in the writer's log; want the writer to crash after that write", name)
	return distribution.Resource{}
}

// publishUntilExit calls publish repeatedly until the writer's process has ended. crash describes
// the crash that ends it.
func (r *writerRun) publishUntilExit(crash string, publish func()) {
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
		publish()
	}
	r.world.t.Fatalf("the writer still runs after %v; want a %s", eventuallyTimeout, crash)
}

// publish publishes one change of a resource with new content and, if it is acknowledged, records
// it and what both relays hold.
func (r *writerRun) publish(name string) {
	r.published++
	put := &distribution.Put{Name: name, Scope: distribution.Scope{Labels: map[string]string{"service": "none"}},
		Content: fmt.Appendf(nil, `{"note":%d}`, r.published)}
	var out api.SettingsPutOut
	err := r.world.operator.Agent(r.world.writer().name).CallFor(context.Background(), 2*time.Second, api.SettingsPut, put, &out)
	if err != nil {
		time.Sleep(10 * time.Millisecond) // the writer is starting or has just crashed
		return
	}
	r.acknowledged++
	r.seen.add(out.Resource)
	r.latest[put.Name] = out.Resource
	r.world.readRelays(r.seen, r.world.relays)
}

// readLog returns the resources of the log that the crashed writer left on disk, and records them.
func (r *writerRun) readLog() []distribution.Resource {
	r.world.t.Helper()
	config, err := agent.LoadConfig(r.world.writer().config)
	if err != nil {
		r.world.t.Fatalf("loading the writer's configuration: %v", err)
	}
	writerStore, err := agentstore.Opener(config)(filepath.Join(config.StateDir, "record.db"))
	if err != nil {
		r.world.t.Fatalf("opening the writer's store: %v", err)
	}
	defer writerStore.Close()
	snapshot, err := writerStore.Load(context.Background())
	if err != nil {
		r.world.t.Fatalf("loading the writer's store: %v", err)
	}
	state, err := distribution.Restore(distribution.DefaultLimits(), snapshot.Settings)
	if err != nil {
		r.world.t.Fatalf("restoring the writer's log: %v", err)
	}
	resources := state.Resources()
	for _, resource := range resources {
		r.seen.add(resource)
	}
	return resources
}

// checkUnacknowledged checks that the writer and each other relay hold a change that was logged but
// not acknowledged, with the revision and the content from the log.
func (r *writerRun) checkUnacknowledged(want distribution.Resource) {
	r.world.t.Helper()
	r.world.waitCopied(want.Revision, r.world.relays...)
	for _, relay := range r.world.relays {
		var out api.SettingsGetOut
		if err := r.world.operator.Agent(relay.name).Call(context.Background(), api.SettingsGet, &api.SettingsGetIn{Prefix: want.Name}, &out); err != nil {
			r.world.t.Fatalf("reading the resources of relay %s: %v", relay.name, err)
		}
		if len(out.Resources) != 1 || out.Resources[0].Revision != want.Revision || out.Resources[0].Hash != want.Hash {
			r.world.t.Errorf("resources of relay %s = %+v, want revision %v with hash %s as in the writer's log", relay.name, out.Resources, want.Revision, want.Hash)
		}
	}
}

// checkAcknowledged checks that the writer holds each acknowledged change or a later one of the
// same resource, and that at least one change was logged without being acknowledged.
func (r *writerRun) checkAcknowledged() {
	r.world.t.Helper()
	if r.acknowledged == 0 || r.acknowledged >= len(r.seen.hashes) {
		r.world.t.Errorf("%d changes were acknowledged and %d revisions were seen; want at least 1 acknowledged and more revisions than that, from a crash between the write and the acknowledgement", r.acknowledged, len(r.seen.hashes))
	}
	_, resources, err := r.world.operator.Resources(context.Background(), "", "notes/")
	if err != nil {
		r.world.t.Fatalf("reading the resources of the writer: %v", err)
	}
	current := make(map[string]distribution.Resource)
	for _, resource := range resources {
		r.seen.add(resource)
		current[resource.Name] = resource
	}
	for name, want := range r.latest {
		got := current[name]
		if want.Revision.After(got.Revision) || want.Revision == got.Revision && want.Hash != got.Hash {
			r.world.t.Errorf("%s is at revision %v with hash %s, want the acknowledged revision %v with hash %s, or a later one", name, got.Revision, got.Hash, want.Revision, want.Hash)
		}
	}
}
