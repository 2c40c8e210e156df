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

// worseReleases are releases that perform worse than the running one, by their fault. The canary
// analysis or the count of crashes has to stop their rollout.
var worseReleases = map[string]struct {
	servers func(t *testing.T) string // starts the faulty servers and returns the address of their discovery service; nil if the program is faulty
	program string                    // shell script that runs the sidecar, whose path it takes by %s
	wantWhy string                    // part of the reason for the rollback
}{
	"fails a third of the requests": {wantWhy: "judged worse: ", servers: func(t *testing.T) string {
		return startServers(t, func(n int64, w http.ResponseWriter, _ *http.Request) bool {
			if n%3 == 0 {
				http.Error(w, "no", http.StatusInternalServerError)
			}
			return n%3 == 0
		})
	}},
	"late for activate requests only": {wantWhy: "judged worse: ", servers: func(t *testing.T) string {
		return startServers(t, func(n int64, w http.ResponseWriter, r *http.Request) bool {
			if r.Header.Get("Req-Kind") == "activate" && n%2 == 0 {
				time.Sleep(2600 * time.Millisecond)
			}
			return false
		})
	}},
	"fails in one zone only": {wantWhy: "judged worse: ", servers: func(t *testing.T) string {
		return startServers(t, func(n int64, w http.ResponseWriter, r *http.Request) bool {
			// Request ids begin with the instance, such as h0-i3; instances with odd numbers are in
			// zone-1.
			fails := strings.Contains("13579", r.Header.Get("Req-Id")[4:5]) && n%3 != 0
			if fails {
				http.Error(w, "no", http.StatusInternalServerError)
			}
			return fails
		})
	}},
	"crashes after 3 s": {wantWhy: "crash", program: "#!/bin/sh\n\"%s\" &\npid=$!\ntrap 'kill -TERM $pid; wait $pid; exit 0' TERM\n(sleep 3; kill -KILL $pid) &\nwait $pid\nexit 1\n"},
}

// A release that performs worse is detected in the first stage and rolled back. No instance beyond
// that stage is changed, and no request is lost unless the release crashes.
func TestWorseReleaseStopsInFirstStage(t *testing.T) {
	t.Parallel()
	for name, c := range worseReleases {
		t.Run(name, func(t *testing.T) {
			if name != "fails a third of the requests" {
				skipShort(t)
			}
			t.Parallel()
			w := newStagedWorld(t, 2, 5)
			base := w.runningRelease()
			args := append([]string{"start", "--stages", "3,100%"}, quickChange...)
			if c.servers != nil {
				args = append(args, "--overlay", w.writeOverlay(fmt.Sprintf(`{"discovery": %q}`, c.servers(t))), "--binary", filepath.Join(w.binaries, "sidecar"))
			} else {
				args = append(args, "--binary", w.writeScript("bad", fmt.Sprintf(c.program, filepath.Join(w.binaries, "sidecar"))))
			}
			requests := w.startLoad()
			rep := w.startChange(args...).report()
			w.checkRelease(base)
			requests.stop()
			if rep.Result != rollout.AllRolledBack || !strings.Contains(rep.Why, c.wantWhy) {
				t.Errorf("rollout of a worse release: result %s because %s, want %s because of %q", rep.Result, rep.Why, rollout.AllRolledBack, c.wantWhy)
			}
			if n := countChanged(rep); n == 0 || n > 3 {
				t.Errorf("%d instances were changed, want 1 to 3, the size of the stage", n)
			}
			if c.program == "" {
				for _, lost := range requests.lost {
					t.Errorf("lost request %s, want no request lost", lost)
				}
			}
			t.Logf("rolled back because %s; %d requests, %d served", rep.Why, requests.sent, requests.served)
		})
	}
}

// While the servers fail requests of changed and unchanged instances alike, a change pauses: it is
// neither rolled back nor continued. Once the servers recover, it succeeds.
func TestFaultyServersPauseChange(t *testing.T) {
	skipShort(t)
	t.Parallel()
	var serversFail atomic.Bool
	w := newStagedWorld(t, 2, 5, startServers(t, func(n int64, w http.ResponseWriter, _ *http.Request) bool {
		if serversFail.Load() && n%2 == 0 {
			http.Error(w, "no", http.StatusInternalServerError)
			return true
		}
		return false
	}))
	requests := w.startLoad()
	c := w.startChange(append([]string{"start", "--stages", "3,100%", "--overlay", w.writeOverlay(`{"limits":{"memory_mb":96}}`)}, quickChange...)...)
	w.waitForReport("the first stage to begin", func(r *client.Report) bool {
		return r.Result == api.OpOpened && r.Stages != nil && r.Stages.State.Stage == 1
	})
	serversFail.Store(true)
	rep := w.waitForReport("the change to pause", func(r *client.Report) bool {
		return r.Result == api.OpOpened && r.Stages != nil && strings.Contains(r.Stages.State.PauseReason, "the cause may be the change or something else")
	})
	if n := countChanged(rep); n != 3 {
		t.Errorf("%d instances were changed before the pause, want 3, the size of the stage", n)
	}
	serversFail.Store(false)
	rep = c.report()
	requests.stop()
	if rep.Result != rollout.Succeeded {
		t.Errorf("change after the servers' recovery: result %s because %s, want %s", rep.Result, rep.Why, rollout.Succeeded)
	}
}

// Changed instances overload the servers that they share with the baseline, the unchanged
// instances, so both fail alike. That can't be distinguished from an outage, so the change pauses,
// does not continue, and reports why.
func TestHarmToBaselinePausesChange(t *testing.T) {
	skipShort(t)
	t.Parallel()
	// Capacity of the shared servers in requests per half second.
	const capacity = 100
	var load atomic.Int64 // in the current half second
	stop := make(chan struct{})
	var reset sync.WaitGroup
	reset.Go(func() {
		for tick := time.NewTicker(500 * time.Millisecond); ; {
			select {
			case <-stop:
				tick.Stop()
				return
			case <-tick.C:
				load.Store(0)
			}
		}
	})
	t.Cleanup(func() { close(stop); reset.Wait() })
	// serve returns a function for startServers with which each request counts as cost requests.
	serve := func(cost int64) func(int64, http.ResponseWriter, *http.Request) bool {
		return func(_ int64, w http.ResponseWriter, _ *http.Request) bool {
			if load.Add(cost) <= capacity {
				return false
			}
			http.Error(w, "no", http.StatusInternalServerError)
			return true
		}
	}
	w := newStagedWorld(t, 2, 4, startServers(t, serve(1)))
	requests := w.startLoad()
	defer requests.stop()
	c := w.startChange(append([]string{"start", "--stages", "3,100%", "--overlay", w.writeOverlay(fmt.Sprintf(`{"discovery": %q}`, startServers(t, serve(20))))}, quickChange...)...)
	rep := w.waitForReport("the change to pause", func(r *client.Report) bool {
		return r.Stages != nil && strings.Contains(r.Stages.State.PauseReason, "the cause may be the change or something else")
	})
	time.Sleep(3 * time.Second) // longer than the minimum duration of a stage
	rep, err := w.fleet.Report(context.Background(), rep.Operation.ID)
	if err != nil {
		t.Fatal(err)
	}
	if n := countChanged(rep); n != 3 || rep.Stages.State.Stage != 1 || rep.Result != api.OpOpened {
		t.Errorf("paused change: state %s in stage %d with %d instances changed, want %s in stage 1 with 3", rep.Result, rep.Stages.State.Stage, n, api.OpOpened)
	}
	if _, errs, code := w.command("change", "abort", rep.Operation.ID); code != 0 {
		t.Errorf("martendrum change abort: exit code %d, want 0\n%s", code, errs)
	}
	if rep := c.report(); rep.Result != rollout.Aborted {
		t.Errorf("aborted change: result %s because %s, want %s", rep.Result, rep.Why, rollout.Aborted)
	}
}

// A change of settings only is applied by the configuration file and SIGHUP, without new processes.
// If a sidecar rejects the settings, the change fails with the sidecar's reason and is rolled back.
func TestStagedSettingsReload(t *testing.T) {
	t.Parallel()
	w := newStagedWorld(t, 1, 8)
	base, pids := w.runningRelease(), make(map[string]int)
	for _, i := range w.waitReady()[0].Instances {
		pids[i.Name] = i.PID
	}
	requests := w.startLoad()
	rep := w.startChange(append([]string{"start", "--stages", "3,100%", "--overlay", w.writeOverlay(`{"settings":{"classes":"none"}}`)}, quickChange...)...).report()
	if rep.Result != rollout.AllRolledBack || !strings.Contains(rep.Why, "it kept its earlier configuration: ") {
		t.Errorf("change to settings that sidecars reject: result %s because %s, want %s because a sidecar kept its earlier configuration", rep.Result, rep.Why, rollout.AllRolledBack)
	}
	w.checkRelease(base)
	rep = w.startChange(append([]string{"start", "--stages", "3,100%", "--overlay", w.writeOverlay(`{"settings":{"caps":{"attemptsCap":4}}}`)}, quickChange...)...).report()
	requests.stop()
	if rep.Result != rollout.Succeeded {
		t.Errorf("change of settings: result %s because %s, want %s", rep.Result, rep.Why, rollout.Succeeded)
	}
	for _, i := range w.waitReady()[0].Instances {
		if i.PID != pids[i.Name] || i.Running != rep.Operation.Release {
			t.Errorf("%s has pid %d and runs release %.12s, want the earlier pid %d and release %.12s", i.Name, i.PID, i.Running, pids[i.Name], rep.Operation.Release)
		}
	}
	for _, lost := range requests.lost {
		t.Errorf("lost request %s, want no request lost", lost)
	}
}

// A second operator who starts a change during the first one's gets an error that names the lease
// holder, and changes nothing.
func TestSecondOperatorIsRejected(t *testing.T) {
	t.Parallel()
	w := newStagedWorld(t, 1, 4)
	overlay := w.writeOverlay(`{"limits":{"memory_mb":96}}`)
	c := w.startChange(append([]string{"start", "--stages", "1,100%", "--overlay", overlay}, quickChange...)...)
	w.waitForReport("the first change to begin", func(r *client.Report) bool { return r.Result == api.OpOpened })
	_, errs, code := w.command(append([]string{"change", "start", "--stages", "1,100%", "--overlay", overlay}, quickChange...)...)
	if code != 1 || !strings.Contains(errs, "nothing was changed") || !strings.Contains(errs, "is held by") {
		t.Errorf("martendrum change start by the second operator: exit code %d, want 1, \"nothing was changed\" and \"is held by\"\n%s", code, errs)
	}
	c.cmd.Process.Signal(syscall.SIGINT)
	<-c.done
	if out, _, _ := w.command("change", "list"); !strings.Contains(out, "settings") {
		t.Errorf("martendrum change list printed the following, want a change of \"settings\" in it:\n%s", out)
	}
}

// A program whose version of the hand-over is incompatible with the running one is rejected before
// any instance is changed. Another build that is compatible passes all stages.
func TestIncompatibleVersionsAreRejected(t *testing.T) {
	skipShort(t)
	t.Parallel()
	w := newStagedWorld(t, 1, 8)
	base := w.runningRelease()
	incompatible := w.writeScript("other", fmt.Sprintf("#!/bin/sh\ntest \"$1\" = versions && echo '{\"program\":\"sidecar\",\"hand_over\":99,\"agent\":1}' && exit\nexec %q \"$@\"\n", filepath.Join(w.binaries, "sidecar")))
	requests := w.startLoad()
	_, errs, code := w.command(append([]string{"change", "start", "--stages", "2,100%", "--binary", incompatible}, quickChange...)...)
	if code != 1 || !strings.Contains(errs, "nothing was changed") || !strings.Contains(errs, "versions 1 and 99 of the hand-over") {
		t.Errorf("martendrum change start with an incompatible program: exit code %d, want 1, \"nothing was changed\" and both versions\n%s", code, errs)
	}
	w.checkRelease(base)
	for _, i := range w.waitReady()[0].Instances {
		if i.Generation != 1 || i.Operation != "" {
			t.Errorf("%s after the rejected change: %+v, want generation 1 and no operation", i.Name, i)
		}
	}
	compatible := filepath.Join(w.dir, "second") // a sidecar built with other tags
	if b, err := exec.Command("go", "build", "-tags", "record", "-o", compatible, "martendrum/cmd/sidecar").CombinedOutput(); err != nil {
		t.Fatalf("building the sidecar with the tag record: %v: %s", err, b)
	}
	rep := w.startChange(append([]string{"start", "--stages", "3,100%", "--binary", compatible}, quickChange...)...).report()
	requests.stop()
	if rep.Result != rollout.Succeeded {
		t.Errorf("change to a compatible build: result %s because %s, want %s", rep.Result, rep.Why, rollout.Succeeded)
	}
	for _, lost := range requests.lost {
		t.Errorf("lost request %s, want no request lost", lost)
	}
}
