package e2e

import (
	"context"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/control/client"
	"martendrum/internal/fleet/control/rollout"
	"martendrum/internal/fleet/host/proc"
)

// Fifty sidecars of ten agents are upgraded under load while a seeded schedule kills sidecars and
// agents. Each instance is in the report once, the report agrees with the processes, and no request
// that a sidecar accepted is lost unless that sidecar was killed.
func TestUpgradeUnderKillsLosesNothing(t *testing.T) {
	w := newWorld(t, 10, 5)
	w.startAll()
	hash := w.uploadRelease(filepath.Join(w.binaries, "sidecar"), `{"limits":{"memory_mb":96}}`)
	requests := w.startTraffic(300 * time.Millisecond)

	kills := w.startKills(requests)
	op := w.newOperation(api.ActUpgrade, func(o *api.Operation) {
		o.Release, o.Soak = hash, 500*time.Millisecond
		o.Policy = api.Policy{Batch: 8, Canaries: 2, MaxUnavailable: 16, MaxFailures: 50, OnFailure: api.OnFailureStop}
	})
	began := time.Now()
	var events []string
	opt := runOptions()
	opt.Progress = func(e client.Event) {
		if e.Kind != "begin" {
			events = append(events, fmt.Sprint(e.Kind, " ", e.Host, " ", e.Instance, " ", e.Text))
		}
	}
	rep, err := w.fleet.Start(context.Background(), op, opt)
	took := time.Since(began)
	kills.stop()
	if err != nil {
		t.Fatalf("upgrading the fleet: %v", err)
	}
	w.waitReady()
	time.Sleep(300 * time.Millisecond) // let clients send requests to the instances that restarted last
	requests.stop()
	t.Logf("upgrade ended with result %s after %v: %d sidecars and %d agents were killed; %d requests, %d served, %d lost", rep.Result, took.Round(time.Millisecond), kills.sidecars, kills.agents, requests.sent, requests.served, len(requests.lost))
	if t.Failed() || testing.Verbose() {
		t.Log(strings.Join(events, "\n"))
	}
	if kills.sidecars == 0 || kills.agents == 0 {
		t.Errorf("%d sidecars and %d agents were killed, want at least one of each", kills.sidecars, kills.agents)
	}
	for _, lost := range requests.lost {
		t.Errorf("lost request %s, want no request lost", lost)
	}
	if requests.served < requests.sent/2 || requests.served == 0 {
		t.Errorf("%d of %d requests were served, want at least half", requests.served, requests.sent)
	}
	// Check the report that the operation returned, and then the one from the agents' stores.
	w.rowsByInstance(rep, op)
	if rep, err = w.fleet.Report(context.Background(), op.ID); err != nil {
		t.Fatal(err)
	}
	w.checkUpgradeReport(w.rowsByInstance(rep, op), hash)
}

// randomKills kills sidecars and agents by a seeded schedule until stop. The counts may be read
// only after that.
type randomKills struct {
	sidecars, agents int // numbers of processes killed
	end              chan struct{}
	wait             sync.WaitGroup
}

// startKills begins to kill sidecars and agents at random times and restarts the killed agents.
// Each kill of a sidecar is recorded in requests, so that requests to that sidecar do not count as
// lost.
func (w *world) startKills(requests *trafficClients) *randomKills {
	kills := &randomKills{end: make(chan struct{})}
	rng := rand.New(rand.NewPCG(5, 1))
	kills.wait.Go(func() {
		for {
			select {
			case <-kills.end:
				return
			case <-time.After(time.Duration(300+rng.IntN(500)) * time.Millisecond):
			}
			h := w.hosts[rng.IntN(len(w.hosts))]
			if rng.IntN(3) == 0 {
				h.kill()
				kills.agents++
				time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
				h.start()
				continue
			}
			name := h.instances[rng.IntN(len(h.instances))]
			for _, f := range proc.Find(h.name + "/" + name + "/") {
				requests.markKilled(name)
				syscall.Kill(f.PID, syscall.SIGKILL)
				kills.sidecars++
			}
		}
	})
	return kills
}

// stop ends the kills and waits until a killed agent has been restarted.
func (k *randomKills) stop() {
	close(k.end)
	k.wait.Wait()
}

// checkUpgradeReport compares the rows of an upgrade's report with the states that the agents list.
// Each instance has to be changed exactly once, and its outcome has to agree with the release that
// it runs.
func (w *world) checkUpgradeReport(rows map[string]client.InstanceResult, hash string) {
	w.t.Helper()
	t := w.t
	states := w.waitReady()
	w.checkAgainstProcesses(states)
	for _, hs := range states {
		for _, i := range hs.Instances {
			r := rows[i.Name]
			if r.State == nil || r.Unknown != "" || r.State.PID != i.PID || r.State.Running != i.Running || r.State.State != i.State {
				t.Errorf("report of %s has state %+v, unknown %q; want the state that the agent lists, %+v", i.Name, r.State, r.Unknown, i)
			}
			switch {
			case r.Outcome == rollout.Changed && i.Running != hash:
				t.Errorf("%s is reported %s but runs release %.12s, want %.12s", i.Name, r.Outcome, i.Running, hash)
			case r.Outcome == rollout.Failed && r.Reason == "":
				t.Errorf("%s is reported %s without a reason, want one", i.Name, r.Outcome)
			case r.Outcome != rollout.Changed && r.Outcome != rollout.Failed:
				t.Errorf("%s is reported %s after the upgrade, want %s or %s", i.Name, r.Outcome, rollout.Changed, rollout.Failed)
			}
			if i.Generation != 2 {
				t.Errorf("%s is at generation %d, want 2: it was changed %d times", i.Name, i.Generation, i.Generation-1)
			}
		}
	}
}

// A release that does not start, never becomes ready, or ends during its soak time stops the
// rollout at the maximum number of failures. Changed instances are rolled back and reported as
// such.
func TestFailingReleaseIsRolledBack(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 2, 2)
	w.startAll()
	current := w.waitReady()[0].Instances[0].Release
	for name, c := range map[string]struct{ script, wantWhy string }{
		"never gets ready":  {"#!/bin/sh\nexec sleep 1000\n", "not ready within"},
		"ends during soak":  {"#!/bin/sh\n" + filepath.Join(w.binaries, "sidecar") + " &\nsleep 1\nkill -9 $!\nwait\nexit 3\n", "ended by itself"},
		"can't start":       {"no program\n", "exec format error"},
		"ends at once":      {"#!/bin/sh\nexit 7\n", "exit status 7"},
		"works as expected": {"", ""}, // the sidecar itself, with another overlay
	} {
		path := w.writeScript("bad"+strings.ReplaceAll(name, " ", "-"), c.script)
		overlay := ""
		if c.script == "" {
			path, overlay = filepath.Join(w.binaries, "sidecar"), `{"limits":{"memory_mb":80}}`
		}
		hash := w.uploadRelease(path, overlay)
		op := w.newOperation(api.ActUpgrade, func(o *api.Operation) {
			o.Release, o.ReadyTimeout, o.Soak = hash, 1500*time.Millisecond, 2500*time.Millisecond
			o.Policy = api.Policy{Batch: 2, Canaries: 1, MaxUnavailable: 2, MaxFailures: 1, OnFailure: api.OnFailureRollback}
		})
		if c.script == "" {
			op.ReadyTimeout = 10 * time.Second
		}
		rep, err := w.fleet.Start(context.Background(), op, runOptions())
		if err != nil {
			t.Fatalf("release %q: starting the upgrade: %v", name, err)
		}
		if c.script == "" {
			if !rep.OK() {
				t.Errorf("release %q: result %s because %s, want success", name, rep.Result, rep.Why)
			}
			current = hash
			continue
		}
		rows := w.rowsByInstance(rep, op)
		if rep.Result != rollout.AllRolledBack || !strings.Contains(rep.Why, c.wantWhy) || rows["h0-i0"].Outcome != rollout.RolledBack {
			t.Errorf("release %q: result %s because %s, outcome of h0-i0 %s; want %s because of %q, outcome %s", name, rep.Result, rep.Why, rows["h0-i0"].Outcome, rollout.AllRolledBack, c.wantWhy, rollout.RolledBack)
		}
		states := w.waitReady()
		w.checkAgainstProcesses(states)
		for _, hs := range states {
			for _, i := range hs.Instances {
				if i.Running != current {
					t.Errorf("release %q: %s runs release %.12s, want the earlier %.12s", name, i.Name, i.Running, current)
				}
				if i.Name != "h0-i0" && rows[i.Name].Outcome != rollout.Pending {
					t.Errorf("release %q: outcome of %s is %s, want %s", name, i.Name, rows[i.Name].Outcome, rollout.Pending)
				}
			}
		}
	}
}

// During an upgrade the old and the new process run side by side. No connection is refused, and the
// old process ends only once the new one serves. If the new release fails, the old process remains.
func TestUpgradeRefusesNoConnection(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 1, 2)
	w.startAll()
	pids := make(map[string]int)
	for _, i := range w.waitReady()[0].Instances {
		pids[i.Name] = i.PID
	}
	requests := w.startTraffic(10 * time.Millisecond)
	stopHealthCalls := w.hosts[0].callHealth()
	upgrade := func(binary, overlay string) *client.Report {
		hash := w.uploadRelease(binary, overlay)
		rep, err := w.fleet.Start(context.Background(), w.newOperation(api.ActUpgrade, func(o *api.Operation) { o.Release = hash }), runOptions())
		if err != nil {
			t.Fatalf("starting the upgrade: %v", err)
		}
		return rep
	}
	for n := range 2 {
		if rep := upgrade(filepath.Join(w.binaries, "sidecar"), fmt.Sprintf(`{"limits":{"memory_mb":%d}}`, 90+n)); !rep.OK() {
			t.Errorf("upgrade %d: result %s because %s, want success", n, rep.Result, rep.Why)
		}
		for _, i := range w.waitReady()[0].Instances {
			if i.PID == pids[i.Name] {
				t.Errorf("upgrade %d: %s still has pid %d, want a new process", n, i.Name, i.PID)
			}
			pids[i.Name] = i.PID
		}
		w.checkAgainstProcesses(w.waitReady())
	}
	if rep := upgrade(w.writeScript("bad", "#!/bin/sh\nexit 7\n"), ""); rep.OK() || !strings.Contains(rep.Why, "continues to serve: exit status 7") {
		t.Errorf("upgrade to a program that exits: result %s because %s, want a failure because of \"continues to serve: exit status 7\"", rep.Result, rep.Why)
	}
	stopHealthCalls()
	requests.stop()
	if len(requests.lost) > 0 || requests.served != requests.sent {
		t.Errorf("%d of %d requests were served, lost %v; want all served and none lost", requests.served, requests.sent, requests.lost)
	}
	for _, i := range w.waitReady()[0].Instances {
		if i.PID != pids[i.Name] || i.State != "ready" {
			t.Errorf("%s after the failed upgrade is %s with pid %d, want ready with pid %d", i.Name, i.State, i.PID, pids[i.Name])
		}
	}
	// The old process counts as the desired one after the failed upgrade, so a restarted agent does
	// not replace it.
	w.hosts[0].kill()
	w.hosts[0].start()
	for _, i := range w.waitReady()[0].Instances {
		if i.PID != pids[i.Name] {
			t.Errorf("%s after its agent's restart has pid %d, want %d", i.Name, i.PID, pids[i.Name])
		}
	}
}

// callHealth makes health calls to each instance of a host, one at a time per instance, until the
// returned function is called. Each call must succeed.
func (h *host) callHealth() (stop func()) {
	t, end := h.world.t, make(chan struct{})
	var calls sync.WaitGroup
	for name, addr := range h.listenAddresses {
		calls.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-end:
					if n == 0 {
						t.Errorf("%s got no health call, want at least one", name)
					}
					return
				default:
				}
				if _, err := proc.Health(context.Background(), addr, eventuallyTimeout); err != nil {
					t.Errorf("health call %d to %s: got error %v, want none", n, name, err)
				}
			}
		})
	}
	return func() {
		close(end)
		calls.Wait()
	}
}

// An agent that is killed during a hand-over finds both processes after its restart. It completes
// the replacement, or keeps the old process if the new one fails.
func TestAgentKilledDuringHandover(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 1, 1)
	w.startAll()
	name := w.hosts[0].instances[0]
	for n, c := range []struct {
		script   string // program of the new release
		keepsOld bool   // whether the old process remains
	}{
		{"#!/bin/sh\nsleep 1\nexec " + filepath.Join(w.binaries, "sidecar") + "\n", false},
		{"#!/bin/sh\nsleep 1\nexit 7\n", true},
	} {
		old := w.waitReady()[0].Instances[0].PID
		hash := w.uploadRelease(w.writeScript(fmt.Sprint("slow", n), c.script), "")
		done := make(chan *client.Report, 1)
		op := w.newOperation(api.ActUpgrade, func(o *api.Operation) { o.Release = hash })
		go func() {
			rep, err := w.fleet.Start(context.Background(), op, runOptions())
			if err != nil {
				t.Errorf("case %d: starting the upgrade: %v", n, err)
			}
			done <- rep
		}()
		eventually(t, "both processes of "+name+" to run", func() bool { return len(proc.Find(w.hosts[0].name+"/"+name+"/")) == 2 })
		w.hosts[0].kill()
		w.hosts[0].start()
		var rep *client.Report
		select {
		case rep = <-done:
		case <-time.After(2 * eventuallyTimeout):
			t.Fatalf("case %d: the upgrade did not end within %v", n, 2*eventuallyTimeout)
		}
		if rep == nil || rep.OK() == c.keepsOld {
			t.Errorf("case %d: report %+v, want OK() = %v", n, rep, !c.keepsOld)
		}
		states := w.waitReady()
		if i := states[0].Instances[0]; (i.PID == old) != c.keepsOld {
			t.Errorf("case %d: pid %d after the upgrade, %d before it; want the old process to remain: %v", n, i.PID, old, c.keepsOld)
		}
		eventually(t, "only one process of "+name+" to run", func() bool { return len(proc.Find(w.hosts[0].name+"/"+name+"/")) == 1 })
	}
}
