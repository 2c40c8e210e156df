package e2e

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/control/client"
	"martendrum/internal/fleet/control/inventory"
	"martendrum/internal/fleet/control/rollout"
	"martendrum/internal/fleet/host/proc"
	"martendrum/internal/fleet/release"
	"martendrum/internal/fleet/store"
	"martendrum/internal/standin/pgserver"
)

// script writes a program of a shell's.
func (w *world) script(name, text string) (path string) {
	w.t.Helper()
	path = filepath.Join(w.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o700); err != nil {
		w.t.Fatal(err)
	}
	return path
}

// release makes a release of the sidecar with an overlay and sends it to all agents.
func (w *world) release(binary, overlay string) string {
	w.t.Helper()
	path := ""
	if overlay != "" {
		path = filepath.Join(w.dir, fmt.Sprintf("overlay-%08x.json", rand.Uint32()))
		if err := os.WriteFile(path, []byte(overlay), 0o600); err != nil {
			w.t.Fatal(err)
		}
	}
	hash, err := release.Hash(binary, path)
	if err != nil {
		w.t.Fatal(err)
	}
	if err := w.fleet.Upload(context.Background(), w.fleet.Agents, hash, binary, path, nil); err != nil {
		w.t.Fatal(err)
	}
	return hash
}

// Fifty sidecars under ten agents are upgraded while sidecars and agents are
// killed by a seeded schedule and requests run. Every one is in the report once,
// what is reported is what is, and no request that a living sidecar took is lost.
func TestFiftyInstancesUpgrade(t *testing.T) {
	w := newWorld(t, 10, 5)
	w.startAll()
	hash := w.release(filepath.Join(w.bin, "sidecar"), `{"limits":{"memory_mb":96}}`)
	requests := w.traffic(300 * time.Millisecond)

	rng := rand.New(rand.NewPCG(5, 1))
	stop := make(chan struct{})
	var chaos sync.WaitGroup
	sidecars, agents := 0, 0
	chaos.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(300+rng.IntN(500)) * time.Millisecond):
			}
			h := w.hosts[rng.IntN(len(w.hosts))]
			if rng.IntN(3) == 0 {
				h.kill()
				agents++
				time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
				h.start()
				continue
			}
			name := h.insts[rng.IntN(len(h.insts))]
			for _, f := range proc.Find(h.name + "/" + name + "/") {
				requests.killed(name)
				syscall.Kill(f.PID, syscall.SIGKILL)
				sidecars++
			}
		}
	})
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
	close(stop)
	chaos.Wait()
	if err != nil {
		t.Fatal(err)
	}
	w.ready()
	time.Sleep(300 * time.Millisecond) // requests to what has just come back
	requests.stop()
	t.Logf("%s in %v: %d sidecars and %d agents were killed; %d requests, %d served, %d lost", rep.Result, took.Round(time.Millisecond), sidecars, agents, requests.sent, requests.served, len(requests.lost))
	if t.Failed() || testing.Verbose() {
		t.Log(strings.Join(events, "\n"))
	}
	if sidecars == 0 || agents == 0 {
		t.Error("nothing was killed: the test shows nothing")
	}
	for _, l := range requests.lost {
		t.Error("lost:", l)
	}
	if requests.served < requests.sent/2 || requests.served == 0 {
		t.Errorf("%d of %d requests were served", requests.served, requests.sent)
	}
	// The report at the end, and the one from the records afterwards.
	w.once(rep, op)
	if rep, err = w.fleet.Report(context.Background(), op.ID); err != nil {
		t.Fatal(err)
	}
	rows := w.once(rep, op)
	states := w.ready()
	w.observed(states)
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

// An agent is killed at each write of its record in turn, before and after it.
// Once it is back and the operation has gone on, desired, actual and reported
// state agree, and each instance was changed once.
func TestAgentKilledAtEveryWrite(t *testing.T) {
	t.Parallel()
	for _, c := range [][2]string{{"sqlite", ""}, {"sqlite", "1"}, {"postgres", ""}, {"postgres", "1"}} {
		after := c[1]
		t.Run(c[0]+" after="+after, func(t *testing.T) {
			t.Parallel()
			record := ""
			if c[0] == "postgres" {
				s, err := pgserver.Start(pgserver.Config{})
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { s.Close() })
				record = fmt.Sprintf("[record]\nstore = \"postgres\"\nurl = %q\n", s.URL())
			}
			w := newWorldOn(t, 1, 2, record)
			h := w.hosts[0]
			died := true
			for at := 1; died; at++ {
				if at > 60 {
					t.Fatal("the agent dies at write 60 and later: the operation needs no more than 20")
				}
				before := make(map[string]int64)
				for _, hs := range w.fleet.List(context.Background(), &inventory.Select{}) {
					for _, i := range hs.Instances {
						before[i.Name] = i.Generation
					}
				}
				h.kill()
				h.start("E2E_AGENT="+h.config, fmt.Sprint("E2E_CRASH_AT=", at), "E2E_CRASH_AFTER="+after)
				h.mu.Lock()
				end := h.end
				h.mu.Unlock()
				restarted := make(chan bool, 1)
				stop := make(chan struct{})
				go func() {
					select {
					case <-end:
						h.start()
						restarted <- true
					case <-stop:
						restarted <- false
					}
				}()
				op := w.op(api.ActRestart, func(o *api.Operation) { o.Soak = 50 * time.Millisecond })
				var rep *client.Report
				eventually(t, "an operation that begins", func() bool {
					var err error
					if rep, err = w.fleet.Start(context.Background(), op, options()); err != nil {
						// It may have been opened before the agent died: then it is ended, and
						// a new one begins.
						w.fleet.Abort(context.Background(), op.ID)
						op.ID += "x"
					}
					return err == nil
				})
				if rep.Result != rollout.Succeeded {
					// The agent may have died at the operation's very end.
					eventually(t, "a report", func() bool {
						r, err := w.fleet.Report(context.Background(), op.ID)
						if err == nil {
							rep = r
						}
						return err == nil
					})
				}
				states := w.ready()
				w.observed(states)
				for name, r := range w.once(rep, op) {
					if r.Outcome != rollout.Changed {
						t.Errorf("write %d: %s is reported %s: %s", at, name, r.Outcome, r.Reason)
					}
				}
				for _, i := range states[0].Instances {
					if g, known := before[i.Name]; known && i.Generation != g+1 {
						t.Errorf("write %d: %s went from generation %d to %d", at, i.Name, g, i.Generation)
					}
				}
				// What is open is ended, and nothing is in the way of the next.
				w.fleet.Abort(context.Background(), op.ID)
				eventually(t, "the end of the operation", func() bool {
					var out api.OpOut
					err := w.fleet.Agents[0].Call(context.Background(), api.OpStatus, &api.StatusIn{Op: op.ID}, &out)
					return err == nil && out.State == api.OpClosed
				})
				// It answers, and writes no more: it has died by now or will not.
				close(stop)
				died = <-restarted
				if t.Failed() {
					t.Fatalf("at write %d", at)
				}
				if !died {
					t.Logf("the agent was killed at each of %d writes", at-1)
					if at < 8 {
						t.Errorf("only %d writes: the test shows little", at-1)
					}
				}
			}
		})
	}
}

// The command is killed as it begins its first, second, ... instance. The operation
// is seen by others, goes on where it stood, and no instance is changed twice.
func TestResumeAfterCommandKilled(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 2, 2)
	w.startAll()
	for kill := 1; kill <= 4; kill++ {
		cmd := exec.Command(filepath.Join(w.bin, "martendrum"), "--fleet", w.inv, "restart", "--all", "--lease", "1s", "--soak", "100ms")
		pipe, err := cmd.StderrPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		id, begun := "", 0
		for sc := bufio.NewScanner(pipe); begun < kill && sc.Scan(); {
			if rest, ok := strings.CutPrefix(sc.Text(), "operation "); ok {
				id, _, _ = strings.Cut(rest, ":")
			}
			if strings.Contains(sc.Text(), " begin ") {
				begun++
			}
		}
		cmd.Process.Kill()
		cmd.Wait()
		if begun < kill {
			t.Fatalf("only %d were begun", begun)
		}
		if out, _, _ := w.command("operations"); !strings.Contains(out, id) {
			t.Errorf("another operator doesn't see %s:\n%s", id, out)
		}
		// Another's change of the same instances is told what is in the way, at each host
		// once its lease has ended: a command renews each host's by itself, so that one may
		// last longer than the other.
		for _, host := range w.hosts {
			eventually(t, "the end of the lease at "+host.name, func() bool {
				_, errs, _ := w.command("restart", "--host", host.name, "--soak", "0s")
				return strings.Contains(errs, "martendrum resume "+id)
			})
		}
		out, errs, code := w.command("resume", id, "--json")
		if code != 0 {
			t.Fatalf("resume: %d\n%s%s", code, out, errs)
		}
		if _, _, code := w.command("resume", id); code != 2 && code != 1 {
			t.Errorf("resume of what has ended: exit code %d", code)
		}
		for _, hs := range w.ready() {
			for _, i := range hs.Instances {
				if i.Generation != int64(kill)+1 {
					t.Errorf("killed at begin %d: %s is at generation %d", kill, i.Name, i.Generation)
				}
			}
		}
	}
	// And abort: what was not begun stays as it is.
	ctx, cancel := context.WithCancel(context.Background())
	op := w.op(api.ActRestart, nil)
	opt := options()
	opt.TTL = time.Second
	opt.Progress = func(e client.Event) {
		if e.Kind == "ok" {
			cancel()
		}
	}
	rep, err := w.fleet.Start(ctx, op, opt)
	if err != nil || rep.Result != "interrupted" {
		t.Fatal(rep, err)
	}
	if out, errs, code := w.command("abort", op.ID); code != 0 {
		t.Fatal(out, errs)
	}
	eventually(t, "the operation's end", func() bool {
		rep, err = w.fleet.Report(context.Background(), op.ID)
		return err == nil && rep.Result == "aborted"
	})
	n := make(map[rollout.State]int)
	for _, r := range rep.Rows {
		n[r.Outcome]++
	}
	if n[rollout.Changed] == 0 || n[rollout.Pending] == 0 || n[rollout.Changed]+n[rollout.Pending] != 4 {
		t.Errorf("after the abort: %v", n)
	}
	if out, errs, code := w.command("restart", "--all", "--soak", "0s", "--batch", "100%"); code != 0 {
		t.Errorf("the next operation: %d\n%s%s", code, out, errs)
	}
}

// An agent stops answering in the midst of a change: it hangs with its connections
// open, or it dies. The change ends, and does not count what it can't see as done;
// once the agent is back, its record puts the report right.
func TestSilentAgent(t *testing.T) {
	t.Parallel()
	for _, how := range []string{"hangs", "dies"} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, 3, 1)
			w.startAll()
			h := w.hosts[1]
			op := w.op(api.ActRestart, func(o *api.Operation) { o.Policy.MaxFailures = 3; o.Policy.MaxUnavailable = 2 })
			opt := options()
			opt.GiveUp = 3 * time.Second
			opt.Progress = func(e client.Event) {
				if e.Kind == "begin" && e.Host == h.name {
					for { // until the step is on record there
						var out api.OpOut
						if w.fleet.Agent(h.name).Call(context.Background(), api.OpStatus, &api.StatusIn{Op: op.ID}, &out); len(out.Steps) > 0 {
							break
						}
						time.Sleep(5 * time.Millisecond)
						if e.At.Before(time.Now().Add(-200 * time.Millisecond)) {
							break // it is begun from where this is told: it may come later
						}
					}
					if how == "hangs" {
						h.signal(syscall.SIGSTOP)
					} else {
						h.kill()
					}
				}
			}
			rep, err := w.fleet.Start(context.Background(), op, opt)
			if err != nil {
				t.Fatal(err)
			}
			rows := w.once(rep, op)
			if rep.OK() || rep.Result == rollout.Succeeded {
				t.Errorf("the result is %s", rep.Result)
			}
			r := rows["h1-i0"]
			if r.Outcome == rollout.Changed || !strings.Contains(r.Unknown, "unknown since") || !strings.Contains(r.Unknown, "last seen") {
				t.Errorf("what can't be seen is reported %s, %q", r.Outcome, r.Unknown)
			}
			for _, name := range []string{"h0-i0", "h2-i0"} {
				if rows[name].Outcome != rollout.Changed {
					t.Errorf("%s is reported %s: %s", name, rows[name].Outcome, rows[name].Reason)
				}
			}
			out, _, code := w.command("report", op.ID)
			if code != 1 || !strings.Contains(out, "unknown since") {
				t.Errorf("report: %d\n%s", code, out)
			}
			if how == "hangs" {
				h.signal(syscall.SIGCONT)
			} else {
				h.start()
			}
			w.ready()
			eventually(t, "a resume, once the lease of before has ended", func() bool {
				_, err := w.fleet.Resume(context.Background(), op.ID, options())
				return err == nil
			})
			rep, err = w.fleet.Report(context.Background(), op.ID)
			if err != nil {
				t.Fatal(err)
			}
			states := w.ready()
			w.observed(states)
			for _, hs := range states {
				i := hs.Instances[0]
				r := w.once(rep, op)[i.Name]
				if r.Unknown != "" || r.State == nil || r.State.PID != i.PID {
					t.Errorf("%s: %+v", i.Name, r)
				}
				if (r.Outcome == rollout.Changed) != (i.Generation == 2) {
					t.Errorf("%s is reported %s at generation %d", i.Name, r.Outcome, i.Generation)
				}
			}
			if out, errs, code := w.command("restart", "--all", "--soak", "0s"); code != 0 {
				t.Errorf("the next operation: %d\n%s%s", code, out, errs)
			}
		})
	}
}

// An agent that dies in the midst of a change and is back soon: the change waits
// for it and succeeds.
func TestAgentComesBack(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 2, 2)
	w.startAll()
	var back sync.WaitGroup
	killed := false
	opt := options()
	opt.Progress = func(e client.Event) {
		if e.Kind == "begin" && !killed {
			killed = true
			for _, h := range w.hosts {
				if h.name == e.Host {
					h.kill()
					back.Go(func() { time.Sleep(500 * time.Millisecond); h.start() })
				}
			}
		}
	}
	op := w.op(api.ActRestart, nil)
	rep, err := w.fleet.Start(context.Background(), op, opt)
	back.Wait()
	if err != nil || !rep.OK() {
		t.Fatalf("%+v %v", rep, err)
	}
	states := w.ready()
	w.observed(states)
	for _, hs := range states {
		for _, i := range hs.Instances {
			if i.Generation != 2 {
				t.Errorf("%s is at generation %d", i.Name, i.Generation)
			}
		}
	}
}

// A release that never becomes ready, and one that becomes ready and dies while it
// is soaked: the rollout stops at its limit, takes back what it changed, and says so.
func TestBadReleases(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 2, 2)
	w.startAll()
	first := w.ready()[0].Instances[0].Release
	for name, c := range map[string]struct{ script, why string }{
		"never ready":   {"#!/bin/sh\nexec sleep 1000\n", "not ready within"},
		"dies soaked":   {"#!/bin/sh\n" + filepath.Join(w.bin, "sidecar") + " &\nsleep 1\nkill -9 $!\nwait\nexit 3\n", "ended by itself"},
		"can't start":   {"no program\n", "exec format error"},
		"ends at once":  {"#!/bin/sh\nexit 7\n", "exit status 7"},
		"good and well": {"", ""},
	} {
		path := w.script("bad"+strings.ReplaceAll(name, " ", "-"), c.script)
		overlay := ""
		if c.script == "" {
			path, overlay = filepath.Join(w.bin, "sidecar"), `{"limits":{"memory_mb":80}}`
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
		rows := w.once(rep, op)
		if rep.Result != rollout.AllRolledBack || !strings.Contains(rep.Why, c.why) || rows["h0-i0"].Outcome != rollout.RolledBack {
			t.Errorf("%s: %s because %s, %+v", name, rep.Result, rep.Why, rows["h0-i0"].Outcome)
		}
		states := w.ready()
		w.observed(states)
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

// An upgrade starts each new process beside the old one: nobody who connects is kept
// out for a moment, and the old process ends only when the new one serves. A release
// that fails leaves the old process as it was.
func TestUpgradeHandsOver(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 1, 2)
	w.startAll()
	pids := make(map[string]int)
	for _, i := range w.ready()[0].Instances {
		pids[i.Name] = i.PID
	}
	requests := w.traffic(10 * time.Millisecond)
	stop := make(chan struct{})
	var dials sync.WaitGroup
	for name, addr := range w.hosts[0].listen {
		dials.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					if n == 0 {
						t.Errorf("%s was not asked at all", name)
					}
					return
				default:
				}
				if _, err := proc.Health(context.Background(), addr, patience); err != nil {
					t.Errorf("%s, call %d: %v", name, n, err)
				}
			}
		})
	}
	upgrade := func(binary, overlay string) *client.Report {
		hash := w.release(binary, overlay)
		rep, err := w.fleet.Start(context.Background(), w.op(api.ActUpgrade, func(o *api.Operation) { o.Release = hash }), options())
		if err != nil {
			t.Fatal(err)
		}
		return rep
	}
	for n := range 2 {
		if rep := upgrade(filepath.Join(w.bin, "sidecar"), fmt.Sprintf(`{"limits":{"memory_mb":%d}}`, 90+n)); !rep.OK() {
			t.Errorf("%s %s", rep.Result, rep.Why)
		}
		for _, i := range w.ready()[0].Instances {
			if i.PID == pids[i.Name] {
				t.Errorf("%s was not replaced", i.Name)
			}
			pids[i.Name] = i.PID
		}
		w.observed(w.ready())
	}
	if rep := upgrade(w.script("bad", "#!/bin/sh\nexit 7\n"), ""); rep.OK() || !strings.Contains(rep.Why, "serves on: exit status 7") {
		t.Errorf("%s %s", rep.Result, rep.Why)
	}
	close(stop)
	dials.Wait()
	requests.stop()
	if len(requests.lost) > 0 || requests.served != requests.sent {
		t.Errorf("%d of %d requests served, lost: %v", requests.served, requests.sent, requests.lost)
	}
	for _, i := range w.ready()[0].Instances {
		if i.PID != pids[i.Name] || i.State != "ready" {
			t.Errorf("after a bad release %s is %s, pid %d, was %d", i.Name, i.State, i.PID, pids[i.Name])
		}
	}
	// What serves on is what is wanted: an agent that comes back leaves it alone.
	w.hosts[0].kill()
	w.hosts[0].start()
	for _, i := range w.ready()[0].Instances {
		if i.PID != pids[i.Name] {
			t.Errorf("the agent's restart replaced %s", i.Name)
		}
	}
}

// An agent that is killed while two processes serve finds both when it comes back, and
// brings the replacement to its end.
func TestAgentKilledInOverlap(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 1, 1)
	w.startAll()
	name := w.hosts[0].insts[0]
	for n, c := range []struct {
		script string // what the new process is, before it serves
		keeps  bool   // the old one is left
	}{
		{"#!/bin/sh\nsleep 1\nexec " + filepath.Join(w.bin, "sidecar") + "\n", false},
		{"#!/bin/sh\nsleep 1\nexit 7\n", true},
	} {
		old := w.ready()[0].Instances[0].PID
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
		case <-time.After(2 * patience):
			t.Fatal("the upgrade did not end")
		}
		if rep == nil || rep.OK() == c.keeps {
			t.Errorf("case %d: %+v", n, rep)
		}
		states := w.ready()
		if i := states[0].Instances[0]; (i.PID == old) != c.keeps {
			t.Errorf("case %d: pid %d, was %d", n, i.PID, old)
		}
		eventually(t, "one process", func() bool { return len(proc.Find(w.hosts[0].name+"/"+name+"/")) == 1 })
	}
}

// Two operators want the same instances at once: one gets them, the other is told
// who has them, and each instance is changed by one of them only.
func TestTwoOperators(t *testing.T) {
	s := simulate(t, 3, 2, 5*time.Millisecond, 5*time.Millisecond, nil)
	ctx := context.Background()
	for round := range 10 {
		ops := []api.Operation{s.op(api.ActRestart), s.op(api.ActRestart)}
		ops[1].Targets = ops[1].Targets[:4]
		errs := make([]error, 2)
		reps := make([]*client.Report, 2)
		var wg sync.WaitGroup
		for n := range ops {
			wg.Go(func() {
				o := options()
				o.LeaseHolder = fmt.Sprintf("operator-%d", n)
				reps[n], errs[n] = s.fleet.Start(ctx, ops[n], o)
			})
		}
		wg.Wait()
		won := 0
		for n := range ops {
			if errs[n] == nil {
				won++
				if !reps[n].OK() {
					t.Fatalf("round %d: %s %s", round, reps[n].Result, reps[n].Why)
				}
				continue
			}
			e, ok := errors.AsType[*api.Error](errs[n])
			if !ok || e.Code != api.LeaseHeld || !strings.Contains(e.Message, ops[1-n].ID) || !strings.Contains(e.Message, "operator-") && !strings.Contains(e.Message, "tester") {
				t.Fatalf("round %d: operator %d was told: %v", round, n, errs[n])
			}
		}
		if won == 0 {
			t.Fatalf("round %d: neither got them: %v", round, errs)
		}
	}
	for _, h := range s.hosts {
		for launch, n := range launches(h) {
			if n != 1 {
				t.Errorf("%s was launched %d times", launch, n)
			}
		}
	}
}

// A holder stalls past its lease at each step of its way; another takes over. What
// the first one does when it wakes up changes nothing.
func TestStalledHolder(t *testing.T) {
	s := simulate(t, 1, 2, time.Millisecond, time.Millisecond, nil)
	ctx, a := context.Background(), s.fleet.Agents[0]
	wait := func(op string, ok func(out *api.OpOut) bool) {
		eventually(t, "the operation's state", func() bool {
			var out api.OpOut
			err := a.Call(ctx, api.OpStatus, &api.StatusIn{Op: op}, &out)
			return err == nil && ok(&out)
		})
	}
	for stalls := range 4 { // before its first step, after it, after its second, before its end
		op := s.op(api.ActRestart)
		open := func(o api.Operation, who string, ttl time.Duration) (out api.OpenOut) {
			if err := a.Call(ctx, api.OpOpen, &api.OpenIn{Operation: o, LeaseHolder: who, TTL: ttl}, &out); err != nil {
				t.Fatal(err)
			}
			return out
		}
		old := open(op, "stalled", 300*time.Millisecond)
		for n := range min(stalls, 2) {
			if err := a.Call(ctx, api.StepStart, &api.StepIn{Op: op.ID, Token: old.Token, Instance: op.Targets[n].Instance, Kind: api.Change}, nil); err != nil {
				t.Fatal(err)
			}
			wait(op.ID, func(out *api.OpOut) bool {
				return out.Steps[len(out.Steps)-1].Status == api.StepOK && len(out.Steps) == n+1
			})
		}
		wait(op.ID, func(out *api.OpOut) bool { return out.LeaseHolder == "" }) // its lease has ended
		var fresh api.OpenOut
		if stalls%2 == 0 { // another resumes it, or ends it and begins one of its own
			fresh = open(op, "other", time.Minute)
		} else {
			if err := a.Call(ctx, api.OpAbort, &api.AbortIn{Op: op.ID}, nil); err != nil {
				t.Fatal(err)
			}
			wait(op.ID, func(out *api.OpOut) bool { return out.State == api.OpClosed })
			other := s.op(api.ActDrain)
			fresh = open(other, "other", time.Minute)
			op.ID, other.ID = other.ID, op.ID // below, op is the one that is open
			for _, id := range []string{other.ID, op.ID} {
				for _, target := range op.Targets {
					err := a.Call(ctx, api.StepStart, &api.StepIn{Op: id, Token: old.Token, Instance: target.Instance, Kind: api.Change}, nil)
					if e, ok := errors.AsType[*api.Error](err); !ok || e.Code != api.Fenced && e.Code != api.Closed {
						t.Errorf("stalled at %d: a step of %s: %v", stalls, id, err)
					}
				}
			}
		}
		before := len(s.hosts[0].Launches())
		for _, target := range op.Targets {
			for _, kind := range []string{api.Change, api.Rollback} {
				err := a.Call(ctx, api.StepStart, &api.StepIn{Op: op.ID, Token: old.Token, Instance: target.Instance, Kind: kind}, nil)
				if e, ok := errors.AsType[*api.Error](err); !ok || e.Code != api.Fenced {
					t.Errorf("stalled at %d: a %s of %s: %v", stalls, kind, target.Instance, err)
				}
			}
		}
		for method, in := range map[string]any{
			api.OpClose:  &api.CloseIn{Op: op.ID, Token: old.Token, Result: "mine"},
			api.OpStatus: &api.StatusIn{Op: op.ID, Token: old.Token, TTL: time.Minute},
		} {
			if e, ok := errors.AsType[*api.Error](a.Call(ctx, method, in, nil)); !ok || e.Code != api.Fenced {
				t.Errorf("stalled at %d: %s: %v", stalls, method, e)
			}
		}
		if n := len(s.hosts[0].Launches()); n != before {
			t.Errorf("stalled at %d: %d launches were caused", stalls, n-before)
		}
		if err := a.Call(ctx, api.OpClose, &api.CloseIn{Op: op.ID, Token: fresh.Token, Result: "done"}, nil); err != nil {
			t.Fatal(err)
		}
	}
}

// The record can't be written: a change is refused before anything is touched, the
// list says why, and it goes on once there is room.
func TestRecordFull(t *testing.T) {
	s := simulate(t, 1, 1, time.Millisecond, time.Millisecond, nil)
	ctx, a := context.Background(), s.fleet.Agents[0]
	op := s.op(api.ActRestart)
	var open api.OpenOut
	if err := a.Call(ctx, api.OpOpen, &api.OpenIn{Operation: op, LeaseHolder: "me", TTL: time.Minute}, &open); err != nil {
		t.Fatal(err)
	}
	fill := strings.Repeat("x", 1<<20)
	var err error
	for n := 0; err == nil && n < 200; n++ { // 64 MiB is its bound
		err = s.stores[0].Commit(ctx, &store.Change{Audit: []api.AuditEntry{{Target: fill}}})
	}
	for _, size := range []int{3000, 300, 30, 0} { // and what is left of the last pages
		err = nil
		for n := 0; err == nil && n < 2000; n++ {
			err = s.stores[0].Commit(ctx, &store.Change{Audit: []api.AuditEntry{{Target: fill[:size]}}})
		}
	}
	if err == nil {
		t.Fatal("the record was never full")
	}
	before := len(s.hosts[0].Launches())
	err = a.Call(ctx, api.StepStart, &api.StepIn{Op: op.ID, Token: open.Token, Instance: op.Targets[0].Instance, Kind: api.Change}, nil)
	if e, ok := errors.AsType[*api.Error](err); !ok || e.Code != api.Unwritable || !strings.Contains(e.Message, "full") {
		t.Errorf("a step with a full record: %v", err)
	}
	list := s.fleet.List(ctx, &inventory.Select{})[0]
	if !strings.Contains(list.Unwritable, "full") || list.Instances[0].State != "ready" || list.Instances[0].Generation != 1 || len(s.hosts[0].Launches()) != before {
		t.Errorf("after it: %+v", list)
	}
	if err := s.stores[0].Commit(ctx, &store.Change{AuditLimit: 1}); err != nil {
		t.Fatal(err)
	}
	eventually(t, "a record that can be written", func() bool { return s.fleet.List(ctx, &inventory.Select{})[0].Unwritable == "" })
	if err := a.Call(ctx, api.StepStart, &api.StepIn{Op: op.ID, Token: open.Token, Instance: op.Targets[0].Instance, Kind: api.Change}, nil); err != nil {
		t.Error(err)
	}
}

// The record is lost: sidecars go on, and the new record names what runs.
func TestRecordLost(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 1, 2)
	w.startAll()
	if rep, err := w.fleet.Start(context.Background(), w.op(api.ActRestart, nil), options()); err != nil || !rep.OK() {
		t.Fatal(rep, err)
	}
	before := w.ready()[0].Instances
	h := w.hosts[0]
	h.kill()
	files, _ := filepath.Glob(filepath.Join(filepath.Dir(h.config), "s", "record.db*"))
	if len(files) == 0 {
		t.Fatal("there is no record")
	}
	for _, f := range files {
		if err := os.Remove(f); err != nil {
			t.Fatal(err)
		}
	}
	h.start()
	states := w.ready()
	w.observed(states)
	for n, i := range states[0].Instances {
		if b := before[n]; i.PID != b.PID || i.Generation != b.Generation || i.Release != b.Release {
			t.Errorf("before %+v\nafter  %+v", b, i)
		}
	}
}

// What commands print and how they exit.
func TestCommands(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 2, 1)
	w.startAll()
	for _, c := range []struct {
		args string
		code int
		says string
	}{
		{"list", 0, "h1-i0"},
		{"list --instance h1*", 0, "h1-i0"},
		{"list --json --state ready --label half=0", 0, `"name": "h0-i0"`},
		{"list --label half", 2, "KEY=VALUE"},
		{"restart", 2, "say which instances"},
		{"restart --all --instance x", 2, "say which instances"},
		{"restart nobody", 1, "no instance fits"},
		{"restart --all --batch 0", 2, "--batch"},
		{"restart --all --batch 200%", 2, "percentage"},
		{"restart --all --on-failure explode", 2, "on-failure"},
		{"restart --all --on-failure rollback", 2, "goes with upgrade"},
		{"restart --all --dry-run --batch 50%", 0, "nothing was changed"},
		{"upgrade --all", 2, "binary"},
		{"upgrade --all --binary /none", 2, "/none"},
		{"upgrade --all --binary " + w.inv, 2, "no program"},
		{"inspect h0-i0", 0, "generation"},
		{"inspect nobody", 2, "no host has"},
		{"logs h0-i0", 0, "ready"},
		{"report nothing", 2, "known at no host"},
		{"resume nothing", 1, "known at no host"},
		{"rollback h0-i0 --json", 1, "no earlier release"},
		{"drain h0-i0", 0, "succeeded"},
		{"start h0-i0", 1, "undrain"},
		{"restart h0-i0", 0, "left drained"},
		{"undrain h0-i0", 0, "succeeded"},
		{"stop h0-i0", 0, "succeeded"},
		{"start h0-i0", 0, "succeeded"},
		{"reload --all", 0, "succeeded"},
		{"operations", 0, "undrain"},
		{"audit " + w.hosts[0].name, 0, "op.close"},
		{"completion bash", 0, "martendrum"},
		{"explode", 2, "unknown command"},
		{"--fleet /none list", 2, "MARTENDRUM_FLEET"},
	} {
		out, errs, code := w.command(strings.Fields(c.args)...)
		if code != c.code || !strings.Contains(out+errs, c.says) {
			t.Errorf("%s: exit code %d, want %d and %q:\n%s%s", c.args, code, c.code, c.says, out, errs)
		}
	}
	for _, hs := range w.ready() {
		w.observed([]client.HostState{hs})
	}
	w.hosts[0].kill()
	if _, errs, code := w.command("restart", "--all"); code != 3 || !strings.Contains(errs, "--skip-unreachable") {
		t.Errorf("a change with a host away: %d %s", code, errs)
	}
	if out, _, code := w.command("restart", "--all", "--skip-unreachable"); code != 0 || !strings.Contains(out, "h1-i0") {
		t.Errorf("without it: %d %s", code, out)
	}
	if _, errs, code := w.command("list"); code != 1 || !strings.Contains(errs, "1 of 2 hosts") {
		t.Errorf("list with a host away: %d %s", code, errs)
	}
	w.hosts[1].kill()
	if _, _, code := w.command("list"); code != 3 {
		t.Errorf("list with all hosts away: %d", code)
	}
}

// An instance with a store of record: inspect shows how it does, list marks one that is
// away. The sidecar starts without its database.
func TestRecordIsShown(t *testing.T) {
	t.Parallel()
	pg, err := pgserver.Start(pgserver.Config{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { pg.Close() })
	w := newWorld(t, 1, 1)
	h := w.hosts[0]
	sidecar := filepath.Join(w.dir, "sidecar-record")
	if out, err := exec.Command("go", "build", "-tags", "record", "-o", sidecar, "martendrum/cmd/sidecar").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	file := filepath.Join(w.dir, "record.toml")
	os.WriteFile(file, fmt.Appendf(nil, "store = \"postgres\"\n[postgres]\nurl = %q\n[[class]]\nname = \"activate\"\nkey = \"header:Order\"\n", pg.URL()), 0o600)
	b, err := os.ReadFile(h.config)
	if err != nil {
		t.Fatal(err)
	}
	text := strings.Replace(string(b), filepath.Join(w.bin, "sidecar"), sidecar, 1) + fmt.Sprintf("record = %q\n", file)
	os.WriteFile(h.config, []byte(text), 0o600)
	pg.SetRejecting(true)
	w.startAll()
	says := func(command, want string) {
		t.Helper()
		eventually(t, command+" that says "+want, func() bool {
			out, _, _ := w.command(strings.Fields(command)...)
			return strings.Contains(out, want)
		})
	}
	says("inspect h0-i0", "postgres; breaker=")
	eventually(t, "an open breaker", func() bool {
		req, err := http.NewRequest("POST", "http://"+h.listen["h0-i0"]+"/activate/1", strings.NewReader("x"))
		if err != nil {
			t.Fatal(err)
		}
		req.Header["Req-Id"], req.Header["Order"] = []string{fmt.Sprint(rand.Uint64())}, []string{fmt.Sprint(rand.Uint64())}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
			t.Fatalf("answered %s without its record", resp.Status)
		}
		out, _, _ := w.command("list")
		return strings.Contains(out, "its store of record is away")
	})
	pg.SetRejecting(false)
	says("inspect h0-i0", "postgres; breaker=closed")
}

// dev runs as the first command on a checkout, and ends cleanly.
func TestDev(t *testing.T) {
	t.Parallel()
	cmd := exec.Command(filepath.Join(programs(t), "martendrum"), "dev")
	before := proc.Find("dev/shop-") // of a developer's own
	cmd.Env = append(os.Environ(), "TMPDIR="+t.TempDir())
	pipe, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	watchdog := time.AfterFunc(patience, func() { cmd.Process.Kill() })
	defer watchdog.Stop()
	inv, sc := "", bufio.NewScanner(pipe)
	for inv == "" && sc.Scan() {
		_, inv, _ = strings.Cut(sc.Text(), "MARTENDRUM_FLEET=")
	}
	w := &world{t: t, bin: programs(t), inv: inv}
	eventually(t, "three ready sidecars", func() bool {
		out, _, _ := w.command("list", "--state", "ready")
		return strings.Count(out, "shop-") == 3
	})
	if out, errs, code := w.command("restart", "--all", "--soak", "0s", "--batch", "3"); code != 0 {
		t.Errorf("restart: %d\n%s%s", code, out, errs)
	}
	cmd.Process.Signal(os.Interrupt)
	for sc.Scan() {
	}
	if err := cmd.Wait(); err != nil {
		t.Error(err)
	}
	for launch, f := range proc.Find("dev/shop-") {
		if _, own := before[launch]; !own {
			t.Errorf("a sidecar is left running: %s %v", launch, f)
		}
	}
	if _, err := os.Stat(filepath.Dir(inv)); !os.IsNotExist(err) {
		t.Errorf("its folder stays: %v", err)
	}
}
