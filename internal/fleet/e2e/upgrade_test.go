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

// Fifty sidecars under ten agents are upgraded under load while a seeded schedule kills sidecars
// and agents. Each instance is in the report once, the report agrees with the processes, and no
// request that a living sidecar accepted is lost.
func TestUpgradeUnderKillsLosesNothing(t *testing.T) {
	w := newWorld(t, 10, 5)
	w.startAll()
	hash := w.release(filepath.Join(w.binaries, "sidecar"), `{"limits":{"memory_mb":96}}`)
	requests := w.startTraffic(300 * time.Millisecond)

	kills := w.startKills(requests)
	op := w.op(api.ActUpgrade, func(o *api.Operation) {
		o.Release, o.Soak = hash, 500*time.Millisecond
		o.Policy = api.Policy{Batch: 8, Canaries: 2, MaxUnavailable: 16, MaxFailures: 50, OnFailure: api.OnFailureStop}
	})
	began := time.Now()
	var events []string
	opt := options()
	opt.Progress = func(e client.Event) {
		if e.Kind != "begin" {
			events = append(events, fmt.Sprint(e.Kind, " ", e.Host, " ", e.Instance, " ", e.Text))
		}
	}
	rep, err := w.fleet.Start(context.Background(), op, opt)
	took := time.Since(began)
	kills.stop()
	if err != nil {
		t.Fatal(err)
	}
	w.waitReady()
	time.Sleep(300 * time.Millisecond) // requests to what has just come back
	requests.stop()
	t.Logf("%s in %v: %d sidecars and %d agents were killed; %d requests, %d served, %d lost", rep.Result, took.Round(time.Millisecond), kills.sidecars, kills.agents, requests.sent, requests.served, len(requests.lost))
	if t.Failed() || testing.Verbose() {
		t.Log(strings.Join(events, "\n"))
	}
	if kills.sidecars == 0 || kills.agents == 0 {
		t.Error("nothing was killed: the test shows nothing")
	}
	for _, l := range requests.lost {
		t.Error("lost:", l)
	}
	if requests.served < requests.sent/2 || requests.served == 0 {
		t.Errorf("%d of %d requests were served", requests.served, requests.sent)
	}
	// The command's own report, and then the one from the agents' stores.
	w.rowsByInstance(rep, op)
	if rep, err = w.fleet.Report(context.Background(), op.ID); err != nil {
		t.Fatal(err)
	}
	w.checkUpgradeReport(w.rowsByInstance(rep, op), hash)
}

// randomKills kills sidecars and agents by a seeded schedule until stop.
type randomKills struct {
	sidecars, agents int
	end              chan struct{}
	wait             sync.WaitGroup
}

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
				requests.killed(name)
				syscall.Kill(f.PID, syscall.SIGKILL)
				kills.sidecars++
			}
		}
	})
	return kills
}

func (k *randomKills) stop() {
	close(k.end)
	k.wait.Wait()
}

// checkUpgradeReport compares the rows of an upgrade's report with what the agents list: each
// instance was changed once, and its outcome agrees with the release that it runs.
func (w *world) checkUpgradeReport(rows map[string]client.InstanceResult, hash string) {
	w.t.Helper()
	t := w.t
	states := w.waitReady()
	w.checkAgainstProcesses(states)
	for _, hs := range states {
		for _, i := range hs.Instances {
			r := rows[i.Name]
			if r.State == nil || r.Unknown != "" || r.State.PID != i.PID || r.State.Running != i.Running || r.State.State != i.State {
				t.Errorf("%s: the report says %+v %s, the agent %+v", i.Name, r.State, r.Unknown, i)
			}
			switch {
			case r.Outcome == rollout.Changed && i.Running != hash:
				t.Errorf("%s is reported changed and runs %.12s", i.Name, i.Running)
			case r.Outcome == rollout.Failed && r.Reason == "":
				t.Errorf("%s is reported failed without a reason", i.Name)
			case r.Outcome != rollout.Changed && r.Outcome != rollout.Failed:
				t.Errorf("%s is reported %s at the end", i.Name, r.Outcome)
			}
			if i.Generation != 2 {
				t.Errorf("%s is at generation %d: it was changed %d times", i.Name, i.Generation, i.Generation-1)
			}
		}
	}
}

// A release that does not start, never becomes ready, or dies during its soak time stops the
// rollout at its limit of failures; what was changed is rolled back and reported.
func TestFailingReleaseIsRolledBack(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 2, 2)
	w.startAll()
	first := w.waitReady()[0].Instances[0].Release
	for name, c := range map[string]struct{ script, why string }{
		"never ready":   {"#!/bin/sh\nexec sleep 1000\n", "not ready within"},
		"dies soaked":   {"#!/bin/sh\n" + filepath.Join(w.binaries, "sidecar") + " &\nsleep 1\nkill -9 $!\nwait\nexit 3\n", "ended by itself"},
		"can't start":   {"no program\n", "exec format error"},
		"ends at once":  {"#!/bin/sh\nexit 7\n", "exit status 7"},
		"good and well": {"", ""},
	} {
		path := w.script("bad"+strings.ReplaceAll(name, " ", "-"), c.script)
		overlay := ""
		if c.script == "" {
			path, overlay = filepath.Join(w.binaries, "sidecar"), `{"limits":{"memory_mb":80}}`
		}
		hash := w.release(path, overlay)
		op := w.op(api.ActUpgrade, func(o *api.Operation) {
			o.Release, o.Ready, o.Soak = hash, 1500*time.Millisecond, 2500*time.Millisecond
			o.Policy = api.Policy{Batch: 2, Canaries: 1, MaxUnavailable: 2, MaxFailures: 1, OnFailure: api.OnFailureRollback}
		})
		if c.script == "" {
			op.Ready = 10 * time.Second
		}
		rep, err := w.fleet.Start(context.Background(), op, options())
		if err != nil {
			t.Fatal(err)
		}
		if c.script == "" {
			if !rep.OK() {
				t.Errorf("%s: %s %s", name, rep.Result, rep.Why)
			}
			first = hash
			continue
		}
		rows := w.rowsByInstance(rep, op)
		if rep.Result != rollout.AllRolledBack || !strings.Contains(rep.Why, c.why) || rows["h0-i0"].Outcome != rollout.RolledBack {
			t.Errorf("%s: %s because %s, %+v", name, rep.Result, rep.Why, rows["h0-i0"].Outcome)
		}
		states := w.waitReady()
		w.checkAgainstProcesses(states)
		for _, hs := range states {
			for _, i := range hs.Instances {
				if i.Running != first {
					t.Errorf("%s: %s runs %.12s", name, i.Name, i.Running)
				}
				if i.Name != "h0-i0" && rows[i.Name].Outcome != rollout.Pending {
					t.Errorf("%s: %s was touched: %s", name, i.Name, rows[i.Name].Outcome)
				}
			}
		}
	}
}

// An upgrade runs the old and the new process side by side: no connection is refused, and the old
// process ends only once the new one serves. A release that fails leaves the old process running.
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
		hash := w.release(binary, overlay)
		rep, err := w.fleet.Start(context.Background(), w.op(api.ActUpgrade, func(o *api.Operation) { o.Release = hash }), options())
		if err != nil {
			t.Fatal(err)
		}
		return rep
	}
	for n := range 2 {
		if rep := upgrade(filepath.Join(w.binaries, "sidecar"), fmt.Sprintf(`{"limits":{"memory_mb":%d}}`, 90+n)); !rep.OK() {
			t.Errorf("%s %s", rep.Result, rep.Why)
		}
		for _, i := range w.waitReady()[0].Instances {
			if i.PID == pids[i.Name] {
				t.Errorf("%s was not replaced", i.Name)
			}
			pids[i.Name] = i.PID
		}
		w.checkAgainstProcesses(w.waitReady())
	}
	if rep := upgrade(w.script("bad", "#!/bin/sh\nexit 7\n"), ""); rep.OK() || !strings.Contains(rep.Why, "serves on: exit status 7") {
		t.Errorf("%s %s", rep.Result, rep.Why)
	}
	stopHealthCalls()
	requests.stop()
	if len(requests.lost) > 0 || requests.served != requests.sent {
		t.Errorf("%d of %d requests served, lost: %v", requests.served, requests.sent, requests.lost)
	}
	for _, i := range w.waitReady()[0].Instances {
		if i.PID != pids[i.Name] || i.State != "ready" {
			t.Errorf("after a bad release %s is %s, pid %d, was %d", i.Name, i.State, i.PID, pids[i.Name])
		}
	}
	// The process that stayed counts as the desired one: a restarted agent leaves it alone.
	w.hosts[0].kill()
	w.hosts[0].start()
	for _, i := range w.waitReady()[0].Instances {
		if i.PID != pids[i.Name] {
			t.Errorf("the agent's restart replaced %s", i.Name)
		}
	}
}

// callHealth makes health calls to each instance of a host, one after the other, each of which
// must succeed, until the returned function is called.
func (h *host) callHealth() (stop func()) {
	t, end := h.world.t, make(chan struct{})
	var calls sync.WaitGroup
	for name, addr := range h.listenAddresses {
		calls.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-end:
					if n == 0 {
						t.Errorf("%s got no health call", name)
					}
					return
				default:
				}
				if _, err := proc.Health(context.Background(), addr, eventuallyTimeout); err != nil {
					t.Errorf("%s, call %d: %v", name, n, err)
				}
			}
		})
	}
	return func() {
		close(end)
		calls.Wait()
	}
}

// An agent that is killed during a hand-over finds both processes after its restart and completes
// the replacement.
func TestAgentKilledDuringHandover(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 1, 1)
	w.startAll()
	name := w.hosts[0].instances[0]
	for n, c := range []struct {
		script string // what the new process is, before it serves
		keeps  bool   // the old one is left
	}{
		{"#!/bin/sh\nsleep 1\nexec " + filepath.Join(w.binaries, "sidecar") + "\n", false},
		{"#!/bin/sh\nsleep 1\nexit 7\n", true},
	} {
		old := w.waitReady()[0].Instances[0].PID
		hash := w.release(w.script(fmt.Sprint("slow", n), c.script), "")
		done := make(chan *client.Report, 1)
		op := w.op(api.ActUpgrade, func(o *api.Operation) { o.Release = hash })
		go func() {
			rep, err := w.fleet.Start(context.Background(), op, options())
			if err != nil {
				t.Error(err)
			}
			done <- rep
		}()
		eventually(t, "two processes", func() bool { return len(proc.Find(w.hosts[0].name+"/"+name+"/")) == 2 })
		w.hosts[0].kill()
		w.hosts[0].start()
		var rep *client.Report
		select {
		case rep = <-done:
		case <-time.After(2 * eventuallyTimeout):
			t.Fatal("the upgrade did not end")
		}
		if rep == nil || rep.OK() == c.keeps {
			t.Errorf("case %d: %+v", n, rep)
		}
		states := w.waitReady()
		if i := states[0].Instances[0]; (i.PID == old) != c.keeps {
			t.Errorf("case %d: pid %d, was %d", n, i.PID, old)
		}
		eventually(t, "one process", func() bool { return len(proc.Find(w.hosts[0].name+"/"+name+"/")) == 1 })
	}
}
