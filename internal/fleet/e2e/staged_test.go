package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/control/client"
	"martendrum/internal/fleet/control/rollout"
	"martendrum/internal/standin/faultnet"
	"martendrum/internal/standin/shop"
)

// turns lets one such world at a time run: each has its clients, and the other tests are
// held to times. With -short, as in CI, only some do; long skips the others.
var turns = make(chan struct{}, 1)

func long(t *testing.T) {
	t.Helper()
	if testing.Short() {
		t.Skip("without -short")
	}
}

// stagedWorld is a fleet of which figures are taken each half second. discovery leads
// its sidecars to other servers than the world's own.
func stagedWorld(t testing.TB, hosts, each int, discovery ...string) *world {
	t.Helper()
	turns <- struct{}{}
	t.Cleanup(func() { <-turns })
	w := newWorldOn(t, hosts, each, "[figures]\nslot = \"500ms\"\nkeep = \"5m\"\n")
	for _, d := range discovery {
		files, err := filepath.Glob(filepath.Join(w.dir, "h*", "h*.json"))
		if err != nil || len(files) != hosts*each {
			t.Fatal(files, err)
		}
		for _, f := range files {
			text, err := os.ReadFile(f)
			if err == nil {
				err = os.WriteFile(f, []byte(strings.ReplaceAll(string(text), w.shop.Discovery, d)), 0o600)
			}
			if err != nil {
				t.Fatal(err)
			}
		}
	}
	w.startAll()
	return w
}

// servers are further ones, which a release's overlay leads its sidecars to.
func servers(t testing.TB, serve func(n int64, w http.ResponseWriter, r *http.Request) (done bool)) string {
	t.Helper()
	var n atomic.Int64
	s, err := shop.NewWith(4, func(s *shop.Shop, name string, w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		if serve(n.Add(1), w, r) {
			return
		}
		s.Ran(r.Header.Get("Req-Id"))
		time.Sleep(10 * time.Millisecond)
		fmt.Fprintf(w, "%s by %s", r.Header.Get("Req-Id"), name)
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s.Discovery
}

// change is a running `martendrum change`, of which the agents' records are watched.
type change struct {
	w    *world
	cmd  *exec.Cmd
	out  strings.Builder
	errs strings.Builder
	done chan struct{}
	id   string
}

// quick is what a change in a test needs beside what it is about: stages that last
// seconds, and margins for some hundred requests.
var quick = slices.Clip([]string{"--all", "--least", "2s", "--longest", "40s", "--past", "6", "--warm", "500ms", "--soak", "200ms", "--batch", "3", "--max-unavailable", "6",
	"--lease", "3s", "--seed", "1", "--max-shop", "", "--margin", "unserved=0.03:0.3", "--margin", "worth=0.03:0.3", "--margin", "failed=0.03:0.3",
	"--margin", "slow=0.3:0.9", "--margin", "attempts=0.1:0.6", "--margin", "declined=0.1:0.6", "--margin", "crashes=1:12", "--margin", "memory=off", "--margin", "files=off"})

func (w *world) change(args ...string) *change {
	w.t.Helper()
	c := &change{w: w, done: make(chan struct{})}
	c.cmd = exec.Command(filepath.Join(w.bin, "martendrum"), append([]string{"--fleet", w.inv, "--json", "change"}, args...)...)
	c.cmd.Stdout, c.cmd.Stderr = &c.out, &c.errs
	if err := c.cmd.Start(); err != nil {
		w.t.Fatal(err)
	}
	go func() {
		c.cmd.Wait()
		close(c.done)
	}()
	w.t.Cleanup(func() {
		c.cmd.Process.Kill()
		<-c.done
		if w.t.Failed() {
			w.t.Logf("martendrum change: %s\n%.100s", c.errs.String(), c.out.String())
		}
	})
	return c
}

// report waits for the command's end and reads what it printed.
func (c *change) report() *client.Report {
	c.w.t.Helper()
	select {
	case <-c.done:
	case <-time.After(90 * time.Second):
		c.w.t.Fatal("the change has not come to its end")
	}
	rep := &client.Report{}
	if err := json.Unmarshal([]byte(c.out.String()), rep); err != nil {
		c.w.t.Fatalf("report: %v: %s %s", err, c.out.String(), c.errs.String())
	}
	c.id = rep.Operation.ID
	return rep
}

// until watches the agents' records until a report of the change fits.
func (w *world) until(what string, fits func(*client.Report) bool) *client.Report {
	w.t.Helper()
	var rep *client.Report
	eventually(w.t, what, func() bool {
		for _, a := range w.fleet.Agents {
			var ops api.OpsOut
			if a.Call(context.Background(), api.OpList, api.Empty{}, &ops) != nil {
				continue
			}
			for _, o := range ops.Ops {
				if r, err := w.fleet.Report(context.Background(), o.Operation.ID); err == nil && fits(r) {
					rep = r
					return true
				}
			}
		}
		return false
	})
	return rep
}

// load sends each instance a request each 40 ms or so, an activate in two.
func (w *world) load() *clients { return w.traffic(40 * time.Millisecond) }

// touched is how many instances ever ran the operation's release.
func touched(rep *client.Report) (n int) {
	for _, r := range rep.Rows {
		for _, s := range r.Steps {
			if s.Kind == api.Change {
				n++
			}
		}
	}
	return n
}

// asBefore says that every instance is ready and runs what it ran at first.
func (w *world) asBefore(base string) {
	w.t.Helper()
	for _, h := range w.ready() {
		for _, i := range h.Instances {
			if i.Running != base || i.Release != base {
				w.t.Errorf("%s runs %.12s (wanted %.12s); it ran %.12s before", i.Name, i.Running, i.Release, base)
			}
		}
	}
}

func (w *world) running() string { return w.ready()[0].Instances[0].Running }

func (w *world) overlay(text string) string {
	w.t.Helper()
	path := filepath.Join(w.dir, fmt.Sprintf("overlay-%d.json", addresses.Add(1)))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		w.t.Fatal(err)
	}
	return path
}

// A release that does worse is found in its first stage and taken back; nobody
// beyond that stage is touched and no request is lost.
func TestStageStops(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		overlay func(t *testing.T) string // "": the program is at fault
		program string
		by      string
	}{
		"fails a third": {by: "judged worse: ", overlay: func(t *testing.T) string {
			return servers(t, func(n int64, w http.ResponseWriter, _ *http.Request) bool {
				if n%3 == 0 {
					http.Error(w, "no", http.StatusInternalServerError)
				}
				return n%3 == 0
			})
		}},
		"late for activate alone": {by: "judged worse: ", overlay: func(t *testing.T) string {
			return servers(t, func(n int64, w http.ResponseWriter, r *http.Request) bool {
				if r.Header.Get("Req-Kind") == "activate" && n%2 == 0 {
					time.Sleep(2600 * time.Millisecond)
				}
				return false
			})
		}},
		"bad in one zone alone": {by: "judged worse: ", overlay: func(t *testing.T) string {
			return servers(t, func(n int64, w http.ResponseWriter, r *http.Request) bool {
				// Ids begin with the instance, h0-i3: those with odd numbers are in zone-1.
				bad := strings.Contains("13579", r.Header.Get("Req-Id")[4:5]) && n%3 != 0
				if bad {
					http.Error(w, "no", http.StatusInternalServerError)
				}
				return bad
			})
		}},
		"crashes after a while": {by: "crash", program: "#!/bin/sh\n\"%s\" &\npid=$!\ntrap 'kill -TERM $pid; wait $pid; exit 0' TERM\n(sleep 3; kill -KILL $pid) &\nwait $pid\nexit 1\n"},
	} {
		t.Run(name, func(t *testing.T) {
			if name != "fails a third" {
				long(t)
			}
			t.Parallel()
			w := stagedWorld(t, 2, 5)
			base := w.running()
			args := append([]string{"start", "--stages", "3,100%"}, quick...)
			if c.overlay != nil {
				args = append(args, "--overlay", w.overlay(fmt.Sprintf(`{"discovery": %q}`, c.overlay(t))), "--binary", filepath.Join(w.bin, "sidecar"))
			} else {
				args = append(args, "--binary", w.script("bad", fmt.Sprintf(c.program, filepath.Join(w.bin, "sidecar"))))
			}
			requests := w.load()
			rep := w.change(args...).report()
			w.asBefore(base)
			requests.stop()
			if rep.Result != rollout.AllRolledBack || !strings.Contains(rep.Why, c.by) {
				t.Errorf("%s because %s; want it taken back by %q", rep.Result, rep.Why, c.by)
			}
			if n := touched(rep); n == 0 || n > 3 {
				t.Errorf("%d instances were touched; the stage has 3", n)
			}
			if c.program == "" {
				for _, l := range requests.lost {
					t.Error("lost:", l)
				}
			}
			t.Logf("%s; %d requests, %d served", rep.Why, requests.sent, requests.served)
		})
	}
}

// A sound change passes all stages. Its command is killed in mid-stage and another
// goes on: no instance is changed twice, and the time that nobody looked on does
// not count.
func TestCommandKilledMidStage(t *testing.T) {
	t.Parallel()
	w := stagedWorld(t, 2, 5)
	requests := w.load()
	first := w.change(append([]string{"start", "--stages", "3,7,100%", "--binary", filepath.Join(w.bin, "sidecar"), "--overlay", w.overlay(`{"limits":{"memory_mb":96}}`)}, quick...)...)
	rep := w.until("a first stage that runs", func(r *client.Report) bool { return r.Stages != nil && r.Stages.State.Stage == 1 && touched(r) == 3 })
	first.cmd.Process.Kill()
	<-first.done
	begun := rep.Stages.Number
	w.until("a lease that has run out", func(r *client.Report) bool { return r.LeaseHolder == "" })
	rep = w.change("resume", rep.Operation.ID, "--lease", "3s").report()
	requests.stop()
	if rep.Result != rollout.Succeeded || rep.Stages.Number <= begun || !rep.Stages.State.Done {
		t.Errorf("%s because %s, stages %+v", rep.Result, rep.Why, rep.Stages)
	}
	var seen []string
	for _, v := range rep.Stages.Log {
		seen = append(seen, v.Text)
	}
	for n := range 3 {
		if want := fmt.Sprintf("stage %d of 3 begins", n+1); strings.Count(strings.Join(seen, "\n"), want) != 1 {
			t.Errorf("%q is not once in %q", want, seen)
		}
	}
	for _, h := range w.ready() {
		for _, i := range h.Instances {
			if i.Generation != 2 || i.Running != rep.Operation.Release {
				t.Errorf("%s is at generation %d and runs %.12s", i.Name, i.Generation, i.Running)
			}
		}
	}
	for _, l := range requests.lost {
		t.Error("lost:", l)
	}
}

// While the servers are bad for all, a change waits: it is neither stopped nor goes
// on. When they are well again, it passes.
func TestBadMinuteHolds(t *testing.T) {
	long(t)
	t.Parallel()
	var bad atomic.Bool
	w := stagedWorld(t, 2, 5, servers(t, func(n int64, w http.ResponseWriter, _ *http.Request) bool {
		if bad.Load() && n%2 == 0 {
			http.Error(w, "no", http.StatusInternalServerError)
			return true
		}
		return false
	}))
	requests := w.load()
	c := w.change(append([]string{"start", "--stages", "3,100%", "--overlay", w.overlay(`{"limits":{"memory_mb":96}}`)}, quick...)...)
	w.until("a first stage", func(r *client.Report) bool {
		return r.Result == api.OpOpened && r.Stages != nil && r.Stages.State.Stage == 1
	})
	bad.Store(true)
	rep := w.until("a change that waits", func(r *client.Report) bool {
		return r.Result == api.OpOpened && r.Stages != nil && strings.Contains(r.Stages.State.PauseReason, "a bad day")
	})
	if n := touched(rep); n != 3 {
		t.Errorf("%d instances were touched while it waits; the stage has 3", n)
	}
	bad.Store(false)
	rep = c.report()
	requests.stop()
	if rep.Result != rollout.Succeeded {
		t.Errorf("%s because %s", rep.Result, rep.Why)
	}
}

// New ones that load the servers for all make the old ones as bad as themselves. That
// can't be told from a bad day, so the change waits: it never goes on, and whoever
// looks is told why.
func TestHarmToOthers(t *testing.T) {
	long(t)
	t.Parallel()
	// The servers bear so many requests in half a second, whoever sends them.
	const bears = 100
	var taken atomic.Int64
	stop := make(chan struct{})
	var clock sync.WaitGroup
	clock.Go(func() {
		for tick := time.NewTicker(500 * time.Millisecond); ; {
			select {
			case <-stop:
				tick.Stop()
				return
			case <-tick.C:
				taken.Store(0)
			}
		}
	})
	t.Cleanup(func() { close(stop); clock.Wait() })
	shared := func(load int64) func(int64, http.ResponseWriter, *http.Request) bool {
		return func(_ int64, w http.ResponseWriter, _ *http.Request) bool {
			if taken.Add(load) <= bears {
				return false
			}
			http.Error(w, "no", http.StatusInternalServerError)
			return true
		}
	}
	w := stagedWorld(t, 2, 4, servers(t, shared(1)))
	requests := w.load()
	defer requests.stop()
	c := w.change(append([]string{"start", "--stages", "3,100%", "--overlay", w.overlay(fmt.Sprintf(`{"discovery": %q}`, servers(t, shared(20))))}, quick...)...)
	rep := w.until("a change that waits", func(r *client.Report) bool {
		return r.Stages != nil && strings.Contains(r.Stages.State.PauseReason, "the change's doing or a bad day")
	})
	time.Sleep(3 * time.Second) // longer than a stage lasts at least
	rep, err := w.fleet.Report(context.Background(), rep.Operation.ID)
	if err != nil {
		t.Fatal(err)
	}
	if n := touched(rep); n != 3 || rep.Stages.State.Stage != 1 || rep.Result != api.OpOpened {
		t.Errorf("%s in stage %d, %d instances touched; want it to wait in stage 1 with 3", rep.Result, rep.Stages.State.Stage, n)
	}
	if _, errs, code := w.command("change", "abort", rep.Operation.ID); code != 0 {
		t.Errorf("abort: %d %s", code, errs)
	}
	if rep := c.report(); rep.Result != rollout.Aborted {
		t.Errorf("%s because %s", rep.Result, rep.Why)
	}
}

// Settings go by file and SIGHUP: the same processes run on. Settings that a sidecar
// turns down fail with its reason, and leave all as it was.
func TestSettingsInStages(t *testing.T) {
	t.Parallel()
	w := stagedWorld(t, 1, 8)
	base, pids := w.running(), make(map[string]int)
	for _, i := range w.ready()[0].Instances {
		pids[i.Name] = i.PID
	}
	requests := w.load()
	rep := w.change(append([]string{"start", "--stages", "3,100%", "--overlay", w.overlay(`{"settings":{"classes":"none"}}`)}, quick...)...).report()
	if rep.Result != rollout.AllRolledBack || !strings.Contains(rep.Why, "it kept its earlier configuration: ") {
		t.Errorf("turned down: %s because %s", rep.Result, rep.Why)
	}
	w.asBefore(base)
	rep = w.change(append([]string{"start", "--stages", "3,100%", "--overlay", w.overlay(`{"settings":{"caps":{"attemptsCap":4}}}`)}, quick...)...).report()
	requests.stop()
	if rep.Result != rollout.Succeeded {
		t.Errorf("%s because %s", rep.Result, rep.Why)
	}
	for _, i := range w.ready()[0].Instances {
		if i.PID != pids[i.Name] || i.Running != rep.Operation.Release {
			t.Errorf("%s: pid %d, was %d; runs %.12s", i.Name, i.PID, pids[i.Name], i.Running)
		}
	}
	for _, l := range requests.lost {
		t.Error("lost:", l)
	}
}

// links puts a relay between the fleet's commands and each agent.
func (w *world) links(n *faultnet.Net) (out []*faultnet.Link) {
	w.t.Helper()
	var inv strings.Builder
	inv.WriteString("timeout = \"1s\"\n")
	for _, h := range w.hosts {
		l, err := n.TCP(h.name, "unix:"+filepath.Join(filepath.Dir(h.config), "a"))
		if err != nil {
			w.t.Fatal(err)
		}
		fmt.Fprintf(&inv, "[[host]]\nname = %q\naddress = \"tcp:%s\"\n", h.name, l.Addr())
		out = append(out, l)
	}
	w.inv = filepath.Join(w.dir, "linked.toml")
	if err := os.WriteFile(w.inv, []byte(inv.String()), 0o600); err != nil {
		w.t.Fatal(err)
	}
	return out
}

// The command is cut off from one host in mid-stage, both ways, then one way only, and
// then the host's agent is stopped: it waits for the evidence, changes nothing new, and
// goes on once it is back.
func TestCommandCutOff(t *testing.T) {
	long(t)
	t.Parallel()
	w := stagedWorld(t, 2, 5)
	n := faultnet.New(1)
	t.Cleanup(n.Close)
	links := w.links(n)
	requests := w.load()
	c := w.change(append([]string{"start", "--stages", "4,100%", "--give-up", "60s", "--binary", filepath.Join(w.bin, "sidecar"), "--overlay", w.overlay(`{"limits":{"memory_mb":96}}`)}, quick...)...)
	w.until("a first stage that runs", func(r *client.Report) bool { return r.Stages != nil && r.Stages.State.Stage == 1 && touched(r) == 4 })
	stall := func(ways faultnet.Way) func(bool) {
		return func(bad bool) { links[1].Set(map[bool]faultnet.Fault{true: {Stall: ways}}[bad]) }
	}
	for n, set := range []func(bad bool){stall(faultnet.Both), stall(faultnet.Back), func(bad bool) {
		w.hosts[1].signal(map[bool]syscall.Signal{true: syscall.SIGSTOP, false: syscall.SIGCONT}[bad])
	}} {
		set(true)
		rep := w.until("a change that waits for evidence", func(r *client.Report) bool {
			return strings.Contains(r.Stages.State.PauseReason, "no evidence of host "+w.hosts[1].name)
		})
		if got := touched(rep); got > 4 { // those of a stopped agent can't be seen
			t.Errorf("fault %d: %d instances were touched; the stage has 4", n, got)
		}
		set(false)
		w.until("a change that waits no more", func(r *client.Report) bool { return r.Stages.State.PauseReason == "" })
	}
	rep := c.report()
	requests.stop()
	if rep.Result != rollout.Succeeded {
		t.Errorf("%s because %s", rep.Result, rep.Why)
	}
	for _, h := range w.ready() {
		for _, i := range h.Instances {
			if i.Generation != 2 {
				t.Errorf("%s is at generation %d: it was changed %d times", i.Name, i.Generation, i.Generation-1)
			}
		}
	}
}

// The command dies, and then the new version begins to crash: with nobody to direct
// them the agents take back what plainly fails, and say so.
func TestAgentsHoldAlone(t *testing.T) {
	t.Parallel()
	w := stagedWorld(t, 2, 4)
	base := w.running()
	mark := filepath.Join(w.dir, "crash")
	bad := w.script("bad", fmt.Sprintf("#!/bin/sh\ntest -e %[2]q && exit 1\n%[1]q &\npid=$!\ntrap 'kill -TERM $pid; wait $pid; exit 0' TERM\nwhile kill -0 $pid; do test -e %[2]q && kill -KILL $pid && exit 1; sleep 0.1; done\n", filepath.Join(w.bin, "sidecar"), mark))
	c := w.change(append([]string{"start", "--stages", "3,100%", "--alone", "2s", "--binary", bad}, quick...)...)
	w.until("a first stage that runs", func(r *client.Report) bool {
		n := 0
		for _, row := range r.Rows {
			if row.Outcome == rollout.Changed {
				n++
			}
		}
		return n == 3
	})
	c.cmd.Process.Signal(syscall.SIGKILL)
	<-c.done
	if err := os.WriteFile(mark, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	rep := w.until("three that their agents took back", func(r *client.Report) bool {
		n := 0
		for _, row := range r.Rows {
			if row.Outcome == rollout.RolledBack {
				n++
			}
		}
		return n == 3
	})
	w.asBefore(base)
	for _, row := range rep.Rows {
		for _, s := range row.Steps {
			if s.Kind == api.Rollback && !strings.Contains(s.Cause, "alone") {
				t.Errorf("%s was taken back because of %q", row.Instance, s.Cause)
			}
		}
	}
	if n := touched(rep); n != 3 {
		t.Errorf("%d instances were touched; the stage has 3", n)
	}
}

// Two operators: the second is told who holds the fleet, and nothing of its changes.
func TestStagedTwoOperators(t *testing.T) {
	t.Parallel()
	w := stagedWorld(t, 1, 4)
	overlay := w.overlay(`{"limits":{"memory_mb":96}}`)
	c := w.change(append([]string{"start", "--stages", "1,100%", "--overlay", overlay}, quick...)...)
	w.until("an open operation", func(r *client.Report) bool { return r.Result == api.OpOpened })
	_, errs, code := w.command(append([]string{"change", "start", "--stages", "1,100%", "--overlay", overlay}, quick...)...)
	if code != 1 || !strings.Contains(errs, "nothing was changed") || !strings.Contains(errs, "is held by") {
		t.Errorf("the second operator: code %d, %s", code, errs)
	}
	c.cmd.Process.Signal(syscall.SIGINT)
	<-c.done
	if out, _, _ := w.command("change", "list"); !strings.Contains(out, "settings") {
		t.Errorf("list: %s", out)
	}
}

// Programs that may not stand side by side are refused before anything is touched; two
// builds that may go through the stages beside each other.
func TestMixedVersions(t *testing.T) {
	long(t)
	t.Parallel()
	w := stagedWorld(t, 1, 8)
	base := w.running()
	other := w.script("other", fmt.Sprintf("#!/bin/sh\ntest \"$1\" = versions && echo '{\"program\":\"sidecar\",\"hand_over\":99,\"agent\":1}' && exit\nexec %q \"$@\"\n", filepath.Join(w.bin, "sidecar")))
	requests := w.load()
	_, errs, code := w.command(append([]string{"change", "start", "--stages", "2,100%", "--binary", other}, quick...)...)
	if code != 1 || !strings.Contains(errs, "nothing was changed") || !strings.Contains(errs, "versions 1 and 99 of the hand-over") {
		t.Errorf("code %d, %s", code, errs)
	}
	w.asBefore(base)
	for _, i := range w.ready()[0].Instances {
		if i.Generation != 1 || i.Operation != "" {
			t.Errorf("%s was touched: %+v", i.Name, i)
		}
	}
	second := filepath.Join(w.dir, "second") // of another build
	if b, err := exec.Command("go", "build", "-tags", "record", "-o", second, "martendrum/cmd/sidecar").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, b)
	}
	rep := w.change(append([]string{"start", "--stages", "3,100%", "--binary", second}, quick...)...).report()
	requests.stop()
	if rep.Result != rollout.Succeeded {
		t.Errorf("%s because %s", rep.Result, rep.Why)
	}
	for _, l := range requests.lost {
		t.Error("lost:", l)
	}
}
