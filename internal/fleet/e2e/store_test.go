package e2e

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/control/inventory"
	"martendrum/internal/fleet/store"
	"martendrum/internal/standin/pgserver"
)

// An agent whose store is full rejects the step of an operation without changing an instance, lists
// the reason, and accepts the step once there is space.
func TestFullStoreRejectsChange(t *testing.T) {
	s := simulate(t, 1, 1, time.Millisecond, time.Millisecond, nil)
	ctx, a := context.Background(), s.fleet.Agents[0]
	op := s.newOperation(api.ActRestart)
	var open api.OpenOut
	if err := a.Call(ctx, api.OpOpen, &api.OpenIn{Operation: op, LeaseHolder: "me", TTL: time.Minute}, &open); err != nil {
		t.Fatalf("opening operation %s: %v", op.ID, err)
	}
	entry := strings.Repeat("x", 1<<20)
	var err error
	for n := 0; err == nil && n < 200; n++ { // the store's limit is 64 MiB
		err = s.stores[0].Commit(ctx, &store.Change{Audit: []api.AuditEntry{{Target: entry}}})
	}
	for _, size := range []int{3000, 300, 30, 0} { // fill the free space of the last pages too
		err = nil
		for n := 0; err == nil && n < 2000; n++ {
			err = s.stores[0].Commit(ctx, &store.Change{Audit: []api.AuditEntry{{Target: entry[:size]}}})
		}
	}
	if err == nil {
		t.Fatal("the store never became full")
	}
	before := len(s.hosts[0].Launches())
	err = a.Call(ctx, api.StepStart, &api.StepIn{Op: op.ID, Token: open.Token, Instance: op.Targets[0].Instance, Kind: api.Change}, nil)
	if e, ok := errors.AsType[*api.Error](err); !ok || e.Code != api.Unwritable || !strings.Contains(e.Message, "full") {
		t.Errorf("step while the store is full: got error %v, want code %s and \"full\"", err, api.Unwritable)
	}
	list := s.fleet.List(ctx, &inventory.Select{})[0]
	if !strings.Contains(list.Unwritable, "full") || list.Instances[0].State != "ready" || list.Instances[0].Generation != 1 || len(s.hosts[0].Launches()) != before {
		t.Errorf("list after the rejected step = %+v, with %d launches; want unwritable because \"full\", a ready instance at generation 1 and %d launches", list, len(s.hosts[0].Launches()), before)
	}
	if err := s.stores[0].Commit(ctx, &store.Change{AuditLimit: 1}); err != nil {
		t.Fatalf("removing audit entries from the full store: %v", err)
	}
	eventually(t, "the store to be writable again", func() bool { return s.fleet.List(ctx, &inventory.Select{})[0].Unwritable == "" })
	if err := a.Call(ctx, api.StepStart, &api.StepIn{Op: op.ID, Token: open.Token, Instance: op.Targets[0].Instance, Kind: api.Change}, nil); err != nil {
		t.Errorf("step once the store has space: got error %v, want none", err)
	}
}

// An agent whose store was lost leaves its sidecars running and rebuilds the store from the running
// processes.
func TestLostStoreIsRebuilt(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 1, 2)
	w.startAll()
	if rep, err := w.fleet.Start(context.Background(), w.newOperation(api.ActRestart, nil), runOptions()); err != nil || !rep.OK() {
		t.Fatalf("restart: report %+v, error %v, want success", rep, err)
	}
	before := w.waitReady()[0].Instances
	h := w.hosts[0]
	h.kill()
	h.removeStore()
	h.start()
	states := w.waitReady()
	w.checkAgainstProcesses(states)
	for n, i := range states[0].Instances {
		if b := before[n]; i.PID != b.PID || i.Generation != b.Generation || i.Release != b.Release {
			t.Errorf("pid, generation or release of %s changed when the store was lost\nbefore %+v\nafter  %+v", i.Name, b, i)
		}
	}
}

// For an instance with an idempotency store, martendrum inspect shows the state of the store, and
// martendrum list marks the instance while the store is unavailable. The sidecar starts although
// its database rejects all connections.
func TestIdempotencyStoreStateIsShown(t *testing.T) {
	t.Parallel()
	pg, err := pgserver.Start(pgserver.Config{})
	if err != nil {
		t.Fatalf("starting the PostgreSQL stand-in: %v", err)
	}
	t.Cleanup(func() { pg.Close() })
	w := newWorld(t, 1, 1)
	h := w.hosts[0]
	sidecar := filepath.Join(w.dir, "sidecar-record")
	if out, err := exec.Command("go", "build", "-tags", "record", "-o", sidecar, "martendrum/cmd/sidecar").CombinedOutput(); err != nil {
		t.Fatalf("building the sidecar with the tag record: %v: %s", err, out)
	}
	file := filepath.Join(w.dir, "record.toml")
	os.WriteFile(file, fmt.Appendf(nil, "store = \"postgres\"\n[postgres]\nurl = %q\n[[class]]\nname = \"activate\"\nkey = \"header:Order\"\n", pg.URL()), 0o600)
	config, err := os.ReadFile(h.config)
	if err != nil {
		t.Fatal(err)
	}
	text := strings.Replace(string(config), filepath.Join(w.binaries, "sidecar"), sidecar, 1) + fmt.Sprintf("record = %q\n", file)
	os.WriteFile(h.config, []byte(text), 0o600)
	pg.SetRejecting(true)
	w.startAll()
	waitOutput := func(command, want string) {
		t.Helper()
		eventually(t, "martendrum "+command+" to print "+want, func() bool {
			out, _, _ := w.command(strings.Fields(command)...)
			return strings.Contains(out, want)
		})
	}
	waitOutput("inspect h0-i0", "postgres; breaker=")
	eventually(t, "martendrum list to show that the store is unavailable", func() bool {
		req, err := http.NewRequest("POST", "http://"+h.listenAddresses["h0-i0"]+"/activate/1", strings.NewReader("x"))
		if err != nil {
			t.Fatal(err)
		}
		req.Header["Req-Id"], req.Header["Order"] = []string{fmt.Sprint(rand.Uint64())}, []string{fmt.Sprint(rand.Uint64())}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatalf("sending a request of class activate: %v", err)
		}
		resp.Body.Close()
		if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
			t.Fatalf("request while the idempotency store is unavailable: got status %s, Retry-After %q, want 503 with Retry-After", resp.Status, resp.Header.Get("Retry-After"))
		}
		out, _, _ := w.command("list")
		return strings.Contains(out, "its idempotency store is unavailable")
	})
	pg.SetRejecting(false)
	waitOutput("inspect h0-i0", "postgres; breaker=closed")
}
