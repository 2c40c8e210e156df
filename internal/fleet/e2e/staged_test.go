package e2e

import (
	"context"
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/control/client"
	"martendrum/internal/fleet/control/rollout"
)

// worseReleases are releases that a canary analysis or a count of crashes has to stop, by what is
// wrong with them.
var worseReleases = map[string]struct {
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
}

// A release that performs worse is detected in its first stage and rolled back; no instance beyond
// that stage is changed and no request is lost.
func TestWorseReleaseStopsInFirstStage(t *testing.T) {
	t.Parallel()
	for name, c := range worseReleases {
		t.Run(name, func(t *testing.T) {
			if name != "fails a third" {
				skipShort(t)
			}
			t.Parallel()
			w := stagedWorld(t, 2, 5)
			base := w.running()
			args := append([]string{"start", "--stages", "3,100%"}, quickChange...)
			if c.overlay != nil {
				args = append(args, "--overlay", w.overlay(fmt.Sprintf(`{"discovery": %q}`, c.overlay(t))), "--binary", filepath.Join(w.binaries, "sidecar"))
			} else {
				args = append(args, "--binary", w.script("bad", fmt.Sprintf(c.program, filepath.Join(w.binaries, "sidecar"))))
			}
			requests := w.startLoad()
			rep := w.change(args...).report()
			w.checkRelease(base)
			requests.stop()
			if rep.Result != rollout.AllRolledBack || !strings.Contains(rep.Why, c.by) {
				t.Errorf("%s because %s; want it taken back by %q", rep.Result, rep.Why, c.by)
			}
			if n := countChanged(rep); n == 0 || n > 3 {
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

// While the servers fail for changed and unchanged instances alike, a change pauses: it is neither
// rolled back nor continued. Once they recover, it succeeds.
func TestFaultyServersPauseChange(t *testing.T) {
	skipShort(t)
	t.Parallel()
	var bad atomic.Bool
	w := stagedWorld(t, 2, 5, servers(t, func(n int64, w http.ResponseWriter, _ *http.Request) bool {
		if bad.Load() && n%2 == 0 {
			http.Error(w, "no", http.StatusInternalServerError)
			return true
		}
		return false
	}))
	requests := w.startLoad()
	c := w.change(append([]string{"start", "--stages", "3,100%", "--overlay", w.overlay(`{"limits":{"memory_mb":96}}`)}, quickChange...)...)
	w.waitForReport("a first stage", func(r *client.Report) bool {
		return r.Result == api.OpOpened && r.Stages != nil && r.Stages.State.Stage == 1
	})
	bad.Store(true)
	rep := w.waitForReport("a change that waits", func(r *client.Report) bool {
		return r.Result == api.OpOpened && r.Stages != nil && strings.Contains(r.Stages.State.PauseReason, "a bad day")
	})
	if n := countChanged(rep); n != 3 {
		t.Errorf("%d instances were touched while it waits; the stage has 3", n)
	}
	bad.Store(false)
	rep = c.report()
	requests.stop()
	if rep.Result != rollout.Succeeded {
		t.Errorf("%s because %s", rep.Result, rep.Why)
	}
}

// Changed instances that overload the shared servers make the baseline fail like themselves. That
// can't be told from an outage, so the change pauses, never continues, and reports why.
func TestHarmToBaselinePausesChange(t *testing.T) {
	skipShort(t)
	t.Parallel()
	// Capacity of the shared servers in requests per half second.
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
	requests := w.startLoad()
	defer requests.stop()
	c := w.change(append([]string{"start", "--stages", "3,100%", "--overlay", w.overlay(fmt.Sprintf(`{"discovery": %q}`, servers(t, shared(20))))}, quickChange...)...)
	rep := w.waitForReport("a change that waits", func(r *client.Report) bool {
		return r.Stages != nil && strings.Contains(r.Stages.State.PauseReason, "the change's doing or a bad day")
	})
	time.Sleep(3 * time.Second) // longer than a stage lasts at least
	rep, err := w.fleet.Report(context.Background(), rep.Operation.ID)
	if err != nil {
		t.Fatal(err)
	}
	if n := countChanged(rep); n != 3 || rep.Stages.State.Stage != 1 || rep.Result != api.OpOpened {
		t.Errorf("%s in stage %d, %d instances touched; want it to wait in stage 1 with 3", rep.Result, rep.Stages.State.Stage, n)
	}
	if _, errs, code := w.command("change", "abort", rep.Operation.ID); code != 0 {
		t.Errorf("abort: %d %s", code, errs)
	}
	if rep := c.report(); rep.Result != rollout.Aborted {
		t.Errorf("%s because %s", rep.Result, rep.Why)
	}
}

// Settings are applied by file and SIGHUP, in the same processes. Settings that a sidecar rejects
// fail with its reason and are rolled back.
func TestStagedSettingsReload(t *testing.T) {
	t.Parallel()
	w := stagedWorld(t, 1, 8)
	base, pids := w.running(), make(map[string]int)
	for _, i := range w.waitReady()[0].Instances {
		pids[i.Name] = i.PID
	}
	requests := w.startLoad()
	rep := w.change(append([]string{"start", "--stages", "3,100%", "--overlay", w.overlay(`{"settings":{"classes":"none"}}`)}, quickChange...)...).report()
	if rep.Result != rollout.AllRolledBack || !strings.Contains(rep.Why, "it kept its earlier configuration: ") {
		t.Errorf("turned down: %s because %s", rep.Result, rep.Why)
	}
	w.checkRelease(base)
	rep = w.change(append([]string{"start", "--stages", "3,100%", "--overlay", w.overlay(`{"settings":{"caps":{"attemptsCap":4}}}`)}, quickChange...)...).report()
	requests.stop()
	if rep.Result != rollout.Succeeded {
		t.Errorf("%s because %s", rep.Result, rep.Why)
	}
	for _, i := range w.waitReady()[0].Instances {
		if i.PID != pids[i.Name] || i.Running != rep.Operation.Release {
			t.Errorf("%s: pid %d, was %d; runs %.12s", i.Name, i.PID, pids[i.Name], i.Running)
		}
	}
	for _, l := range requests.lost {
		t.Error("lost:", l)
	}
}

// A second operator gets an error that names the lease holder, and changes nothing.
func TestSecondOperatorIsRejected(t *testing.T) {
	t.Parallel()
	w := stagedWorld(t, 1, 4)
	overlay := w.overlay(`{"limits":{"memory_mb":96}}`)
	c := w.change(append([]string{"start", "--stages", "1,100%", "--overlay", overlay}, quickChange...)...)
	w.waitForReport("an open operation", func(r *client.Report) bool { return r.Result == api.OpOpened })
	_, errs, code := w.command(append([]string{"change", "start", "--stages", "1,100%", "--overlay", overlay}, quickChange...)...)
	if code != 1 || !strings.Contains(errs, "nothing was changed") || !strings.Contains(errs, "is held by") {
		t.Errorf("the second operator: code %d, %s", code, errs)
	}
	c.cmd.Process.Signal(syscall.SIGINT)
	<-c.done
	if out, _, _ := w.command("change", "list"); !strings.Contains(out, "settings") {
		t.Errorf("list: %s", out)
	}
}

// A program that is incompatible with the running one is rejected before any instance is changed;
// a compatible build passes the stages.
func TestIncompatibleVersionsAreRejected(t *testing.T) {
	skipShort(t)
	t.Parallel()
	w := stagedWorld(t, 1, 8)
	base := w.running()
	other := w.script("other", fmt.Sprintf("#!/bin/sh\ntest \"$1\" = versions && echo '{\"program\":\"sidecar\",\"hand_over\":99,\"agent\":1}' && exit\nexec %q \"$@\"\n", filepath.Join(w.binaries, "sidecar")))
	requests := w.startLoad()
	_, errs, code := w.command(append([]string{"change", "start", "--stages", "2,100%", "--binary", other}, quickChange...)...)
	if code != 1 || !strings.Contains(errs, "nothing was changed") || !strings.Contains(errs, "versions 1 and 99 of the hand-over") {
		t.Errorf("code %d, %s", code, errs)
	}
	w.checkRelease(base)
	for _, i := range w.waitReady()[0].Instances {
		if i.Generation != 1 || i.Operation != "" {
			t.Errorf("%s was touched: %+v", i.Name, i)
		}
	}
	second := filepath.Join(w.dir, "second") // of another build
	if b, err := exec.Command("go", "build", "-tags", "record", "-o", second, "martendrum/cmd/sidecar").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, b)
	}
	rep := w.change(append([]string{"start", "--stages", "3,100%", "--binary", second}, quickChange...)...).report()
	requests.stop()
	if rep.Result != rollout.Succeeded {
		t.Errorf("%s because %s", rep.Result, rep.Why)
	}
	for _, l := range requests.lost {
		t.Error("lost:", l)
	}
}
