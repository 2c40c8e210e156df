package e2e

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/control/client"
	"martendrum/internal/fleet/control/rollout"
	"martendrum/internal/standin/faultnet"
)

// The command of a harmless change is killed during the first stage and another command resumes the
// change. It passes all stages, no instance is changed twice, and the time without a command does
// not count as observed.
func TestStagedChangeResumesAfterCommandKilled(t *testing.T) {
	t.Parallel()
	w := newStagedWorld(t, 2, 5)
	requests := w.startLoad()
	first := w.startChange(append([]string{"start", "--stages", "3,7,100%", "--binary", filepath.Join(w.binaries, "sidecar"), "--overlay", w.writeOverlay(`{"limits":{"memory_mb":96}}`)}, quickChange...)...)
	rep := w.waitForReport("all instances of the first stage to be changed", func(r *client.Report) bool {
		return r.Stages != nil && r.Stages.State.Stage == 1 && countChanged(r) == 3
	})
	first.cmd.Process.Kill()
	<-first.done
	noteBefore := rep.Stages.Number
	w.waitForReport("the lease to expire", func(r *client.Report) bool { return r.LeaseHolder == "" })
	rep = w.startChange("resume", rep.Operation.ID, "--lease", "3s").report()
	requests.stop()
	if rep.Result != rollout.Succeeded || rep.Stages.Number <= noteBefore || !rep.Stages.State.Done {
		t.Errorf("resumed change: result %s because %s, stages %+v; want result %s, all stages done and a stored note with a number above %d", rep.Result, rep.Why, rep.Stages, rollout.Succeeded, noteBefore)
	}
	var log []string
	for _, entry := range rep.Stages.Log {
		log = append(log, entry.Text)
	}
	for n := range 3 {
		if want := fmt.Sprintf("stage %d of 3 begins", n+1); strings.Count(strings.Join(log, "\n"), want) != 1 {
			t.Errorf("log of the change = %q, want %q in it exactly once", log, want)
		}
	}
	for _, h := range w.waitReady() {
		for _, i := range h.Instances {
			if i.Generation != 2 || i.Running != rep.Operation.Release {
				t.Errorf("%s is at generation %d and runs release %.12s, want generation 2 and release %.12s", i.Name, i.Generation, i.Running, rep.Operation.Release)
			}
		}
	}
	for _, lost := range requests.lost {
		t.Errorf("lost request %s, want no request lost", lost)
	}
}

// During a stage the command is partitioned from one host in both directions, then only the host's
// answers are stalled, and then the host's agent is stopped by SIGSTOP. Each time the change pauses
// because the metrics of that host are missing, changes no further instance, and continues once the
// host answers.
func TestPartitionedCommandPausesChange(t *testing.T) {
	skipShort(t)
	t.Parallel()
	w := newStagedWorld(t, 2, 5)
	network := faultnet.New(1)
	t.Cleanup(network.Close)
	links := w.addLinks(network)
	requests := w.startLoad()
	c := w.startChange(append([]string{"start", "--stages", "4,100%", "--give-up", "60s", "--binary", filepath.Join(w.binaries, "sidecar"), "--overlay", w.writeOverlay(`{"limits":{"memory_mb":96}}`)}, quickChange...)...)
	w.waitForReport("all instances of the first stage to be changed", func(r *client.Report) bool {
		return r.Stages != nil && r.Stages.State.Stage == 1 && countChanged(r) == 4
	})
	stall := func(direction faultnet.Direction) func(bool) {
		return func(bad bool) { links[1].Set(map[bool]faultnet.Fault{true: {Stall: direction}}[bad]) }
	}
	for fault, set := range []func(bad bool){stall(faultnet.Both), stall(faultnet.Back), func(bad bool) {
		w.hosts[1].signal(map[bool]syscall.Signal{true: syscall.SIGSTOP, false: syscall.SIGCONT}[bad])
	}} {
		set(true)
		rep := w.waitForReport("the change to pause for lack of evidence", func(r *client.Report) bool {
			return strings.Contains(r.Stages.State.PauseReason, "no evidence of host "+w.hosts[1].name)
		})
		if got := countChanged(rep); got > 4 { // steps on the host of a stopped agent are not in the report
			t.Errorf("fault %d: %d instances were changed, want at most 4, the size of the stage", fault, got)
		}
		set(false)
		w.waitForReport("the change to continue", func(r *client.Report) bool { return r.Stages.State.PauseReason == "" })
	}
	rep := c.report()
	requests.stop()
	if rep.Result != rollout.Succeeded {
		t.Errorf("change after the faults: result %s because %s, want %s", rep.Result, rep.Why, rollout.Succeeded)
	}
	for _, h := range w.waitReady() {
		for _, i := range h.Instances {
			if i.Generation != 2 {
				t.Errorf("%s is at generation %d, want 2: it was changed %d times", i.Name, i.Generation, i.Generation-1)
			}
		}
	}
}

// The command is killed, and after that the new release begins to crash. Without a command the
// agents roll back the failing instances and report the cause.
func TestAgentsRollBackWithoutCommand(t *testing.T) {
	t.Parallel()
	w := newStagedWorld(t, 2, 4)
	base := w.runningRelease()
	crashFile := filepath.Join(w.dir, "crash") // the new release crashes once this file exists
	crashing := w.writeScript("bad", fmt.Sprintf("#!/bin/sh\ntest -e %[2]q && exit 1\n%[1]q &\npid=$!\ntrap 'kill -TERM $pid; wait $pid; exit 0' TERM\nwhile kill -0 $pid; do test -e %[2]q && kill -KILL $pid && exit 1; sleep 0.1; done\n", filepath.Join(w.binaries, "sidecar"), crashFile))
	c := w.startChange(append([]string{"start", "--stages", "3,100%", "--alone", "2s", "--binary", crashing}, quickChange...)...)
	w.waitForReport("all instances of the first stage to be changed", func(r *client.Report) bool {
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
	if err := os.WriteFile(crashFile, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	rep := w.waitForReport("three instances to be rolled back by their agents", func(r *client.Report) bool {
		n := 0
		for _, row := range r.Rows {
			if row.Outcome == rollout.RolledBack {
				n++
			}
		}
		return n == 3
	})
	w.checkRelease(base)
	for _, row := range rep.Rows {
		for _, s := range row.Steps {
			if s.Kind == api.Rollback && !strings.Contains(s.Cause, "without a command") {
				t.Errorf("cause of the rollback of %s = %q, want a text that contains \"without a command\"", row.Instance, s.Cause)
			}
		}
	}
	if n := countChanged(rep); n != 3 {
		t.Errorf("%d instances were changed, want 3, the size of the stage", n)
	}
}
