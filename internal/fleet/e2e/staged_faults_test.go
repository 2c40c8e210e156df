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

// A harmless change passes all stages although its command is killed during one and another
// command resumes it: no instance is changed twice, and the unobserved time does not count.
func TestStagedChangeResumesAfterCommandKilled(t *testing.T) {
	t.Parallel()
	w := stagedWorld(t, 2, 5)
	requests := w.startLoad()
	first := w.change(append([]string{"start", "--stages", "3,7,100%", "--binary", filepath.Join(w.binaries, "sidecar"), "--overlay", w.overlay(`{"limits":{"memory_mb":96}}`)}, quickChange...)...)
	rep := w.waitForReport("a first stage that runs", func(r *client.Report) bool {
		return r.Stages != nil && r.Stages.State.Stage == 1 && countChanged(r) == 3
	})
	first.cmd.Process.Kill()
	<-first.done
	begun := rep.Stages.Number
	w.waitForReport("a lease that has run out", func(r *client.Report) bool { return r.LeaseHolder == "" })
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
	for _, h := range w.waitReady() {
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

// During a stage the command is partitioned from one host in both directions, then in one, and
// then the host's agent is stopped. Each time the change pauses for lack of evidence, changes no
// further instance, and continues once the host answers.
func TestPartitionedCommandPausesChange(t *testing.T) {
	skipShort(t)
	t.Parallel()
	w := stagedWorld(t, 2, 5)
	n := faultnet.New(1)
	t.Cleanup(n.Close)
	links := w.links(n)
	requests := w.startLoad()
	c := w.change(append([]string{"start", "--stages", "4,100%", "--give-up", "60s", "--binary", filepath.Join(w.binaries, "sidecar"), "--overlay", w.overlay(`{"limits":{"memory_mb":96}}`)}, quickChange...)...)
	w.waitForReport("a first stage that runs", func(r *client.Report) bool {
		return r.Stages != nil && r.Stages.State.Stage == 1 && countChanged(r) == 4
	})
	stall := func(ways faultnet.Way) func(bool) {
		return func(bad bool) { links[1].Set(map[bool]faultnet.Fault{true: {Stall: ways}}[bad]) }
	}
	for n, set := range []func(bad bool){stall(faultnet.Both), stall(faultnet.Back), func(bad bool) {
		w.hosts[1].signal(map[bool]syscall.Signal{true: syscall.SIGSTOP, false: syscall.SIGCONT}[bad])
	}} {
		set(true)
		rep := w.waitForReport("a change that waits for evidence", func(r *client.Report) bool {
			return strings.Contains(r.Stages.State.PauseReason, "no evidence of host "+w.hosts[1].name)
		})
		if got := countChanged(rep); got > 4 { // those of a stopped agent can't be seen
			t.Errorf("fault %d: %d instances were touched; the stage has 4", n, got)
		}
		set(false)
		w.waitForReport("a change that waits no more", func(r *client.Report) bool { return r.Stages.State.PauseReason == "" })
	}
	rep := c.report()
	requests.stop()
	if rep.Result != rollout.Succeeded {
		t.Errorf("%s because %s", rep.Result, rep.Why)
	}
	for _, h := range w.waitReady() {
		for _, i := range h.Instances {
			if i.Generation != 2 {
				t.Errorf("%s is at generation %d: it was changed %d times", i.Name, i.Generation, i.Generation-1)
			}
		}
	}
}

// The command is killed and then the new version begins to crash: without a command the agents
// roll back the failing instances and report the cause.
func TestAgentsRollBackWithoutCommand(t *testing.T) {
	t.Parallel()
	w := stagedWorld(t, 2, 4)
	base := w.running()
	mark := filepath.Join(w.dir, "crash")
	bad := w.script("bad", fmt.Sprintf("#!/bin/sh\ntest -e %[2]q && exit 1\n%[1]q &\npid=$!\ntrap 'kill -TERM $pid; wait $pid; exit 0' TERM\nwhile kill -0 $pid; do test -e %[2]q && kill -KILL $pid && exit 1; sleep 0.1; done\n", filepath.Join(w.binaries, "sidecar"), mark))
	c := w.change(append([]string{"start", "--stages", "3,100%", "--alone", "2s", "--binary", bad}, quickChange...)...)
	w.waitForReport("a first stage that runs", func(r *client.Report) bool {
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
	rep := w.waitForReport("three that their agents took back", func(r *client.Report) bool {
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
			if s.Kind == api.Rollback && !strings.Contains(s.Cause, "alone") {
				t.Errorf("%s was taken back because of %q", row.Instance, s.Cause)
			}
		}
	}
	if n := countChanged(rep); n != 3 {
		t.Errorf("%d instances were touched; the stage has 3", n)
	}
}
