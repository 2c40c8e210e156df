package e2e

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/control/client"
	"martendrum/internal/fleet/control/inventory"
	"martendrum/internal/fleet/control/rollout"
	"martendrum/internal/standin/pgserver"
)

// An agent is killed before and after each write to its store in turn. After its restart and the
// resumed operation, desired, actual and reported state agree, and each instance was changed
// exactly once.
func TestAgentKilledAtEveryWrite(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ store, after string }{{"sqlite", ""}, {"sqlite", "1"}, {"postgres", ""}, {"postgres", "1"}} {
		t.Run(c.store+" after="+c.after, func(t *testing.T) {
			t.Parallel()
			record := ""
			if c.store == "postgres" {
				s, err := pgserver.Start(pgserver.Config{})
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { s.Close() })
				record = fmt.Sprintf("[record]\nstore = \"postgres\"\nurl = %q\n", s.URL())
			}
			w := newWorldWithStore(t, 1, 2, record)
			died := true
			for at := 1; died; at++ {
				if at > 60 {
					t.Fatal("the agent dies at write 60 and later: the operation needs no more than 20")
				}
				died = w.restartWithCrash(at, c.after)
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

// restartWithCrash restarts all instances of the one host while its agent kills itself at a
// write, checks that each was restarted once, and reports whether there was such a write.
func (w *world) restartWithCrash(at int, after string) (died bool) {
	w.t.Helper()
	t, h := w.t, w.hosts[0]
	before := make(map[string]int64)
	for _, hs := range w.fleet.List(context.Background(), &inventory.Select{}) {
		for _, i := range hs.Instances {
			before[i.Name] = i.Generation
		}
	}
	h.kill()
	h.start("E2E_AGENT="+h.config, fmt.Sprint("E2E_CRASH_AT=", at), "E2E_CRASH_AFTER="+after)
	stopWatching := h.startAgainAfterExit()
	op, rep := w.startUntilAccepted()
	states := w.waitReady()
	w.checkAgainstProcesses(states)
	for name, r := range w.rowsByInstance(rep, op) {
		if r.Outcome != rollout.Changed {
			t.Errorf("write %d: %s is reported %s: %s", at, name, r.Outcome, r.Reason)
		}
	}
	for _, i := range states[0].Instances {
		if g, known := before[i.Name]; known && i.Generation != g+1 {
			t.Errorf("write %d: %s went from generation %d to %d", at, i.Name, g, i.Generation)
		}
	}
	// An operation that is still open would stand in the way of the next one.
	w.fleet.Abort(context.Background(), op.ID)
	eventually(t, "the end of the operation", func() bool {
		var out api.OpOut
		err := w.fleet.Agents[0].Call(context.Background(), api.OpStatus, &api.StatusIn{Op: op.ID}, &out)
		return err == nil && out.State == api.OpClosed
	})
	// The agent answers and has nothing left to write: it has died by now or will not.
	return stopWatching()
}

// startAgainAfterExit starts the agent anew as soon as its process has ended. The returned
// function ends the wait and reports whether that happened.
func (h *host) startAgainAfterExit() (stop func() bool) {
	h.mu.Lock()
	exit := h.end
	h.mu.Unlock()
	restarted := make(chan bool, 1)
	end := make(chan struct{})
	go func() {
		select {
		case <-exit:
			h.start()
			restarted <- true
		case <-end:
			restarted <- false
		}
	}()
	return func() bool {
		close(end)
		return <-restarted
	}
}

// startUntilAccepted restarts all instances by an operation that an agent which dies may reject
// at first, and returns it with its report.
func (w *world) startUntilAccepted() (api.Operation, *client.Report) {
	w.t.Helper()
	op := w.op(api.ActRestart, func(o *api.Operation) { o.Soak = 50 * time.Millisecond })
	var rep *client.Report
	eventually(w.t, "an operation that begins", func() bool {
		var err error
		if rep, err = w.fleet.Start(context.Background(), op, options()); err != nil {
			// It may have been opened before the agent died: then it is aborted, and
			// a new one begins.
			w.fleet.Abort(context.Background(), op.ID)
			op.ID += "x"
		}
		return err == nil
	})
	if rep.Result != rollout.Succeeded {
		// The agent may have died at the operation's very end.
		eventually(w.t, "a report", func() bool {
			r, err := w.fleet.Report(context.Background(), op.ID)
			if err == nil {
				rep = r
			}
			return err == nil
		})
	}
	return op, rep
}

// An agent stops answering during a change: it hangs with open connections, or it dies. The change
// ends and reports the unreachable instance as unknown, not as changed. Once the agent answers
// again, its store completes the report.
func TestUnreachableAgentIsReportedUnknown(t *testing.T) {
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
			opt.Progress = w.afterStepBegins(h, op.ID, func() {
				if how == "hangs" {
					h.signal(syscall.SIGSTOP)
				} else {
					h.kill()
				}
			})
			rep, err := w.fleet.Start(context.Background(), op, opt)
			if err != nil {
				t.Fatal(err)
			}
			rows := w.rowsByInstance(rep, op)
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
			w.waitReady()
			eventually(t, "a resume, once the lease of before has ended", func() bool {
				_, err := w.fleet.Resume(context.Background(), op.ID, options())
				return err == nil
			})
			w.checkReportAfterReturn(op)
			if out, errs, code := w.command("restart", "--all", "--soak", "0s"); code != 0 {
				t.Errorf("the next operation: %d\n%s%s", code, out, errs)
			}
		})
	}
}

// afterStepBegins returns a progress function that calls act once the step of an operation on a
// host's instance has begun.
func (w *world) afterStepBegins(h *host, operation string, act func()) func(client.Event) {
	return func(e client.Event) {
		if e.Kind != "begin" || e.Host != h.name {
			return
		}
		for { // until the agent has stored the step
			var out api.OpOut
			if w.fleet.Agent(h.name).Call(context.Background(), api.OpStatus, &api.StatusIn{Op: operation}, &out); len(out.Steps) > 0 {
				break
			}
			time.Sleep(5 * time.Millisecond)
			if e.At.Before(time.Now().Add(-200 * time.Millisecond)) {
				break // the event precedes the call that begins the step
			}
		}
		act()
	}
}

// checkReportAfterReturn compares the report of an operation, once all agents answer again, with
// what they list.
func (w *world) checkReportAfterReturn(op api.Operation) {
	w.t.Helper()
	rep, err := w.fleet.Report(context.Background(), op.ID)
	if err != nil {
		w.t.Fatal(err)
	}
	states := w.waitReady()
	w.checkAgainstProcesses(states)
	for _, hs := range states {
		i := hs.Instances[0]
		r := w.rowsByInstance(rep, op)[i.Name]
		if r.Unknown != "" || r.State == nil || r.State.PID != i.PID {
			w.t.Errorf("%s: %+v", i.Name, r)
		}
		if (r.Outcome == rollout.Changed) != (i.Generation == 2) {
			w.t.Errorf("%s is reported %s at generation %d", i.Name, r.Outcome, i.Generation)
		}
	}
}

// A change waits for an agent that dies and restarts soon, and succeeds.
func TestChangeWaitsForRestartedAgent(t *testing.T) {
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
	states := w.waitReady()
	w.checkAgainstProcesses(states)
	for _, hs := range states {
		for _, i := range hs.Instances {
			if i.Generation != 2 {
				t.Errorf("%s is at generation %d", i.Name, i.Generation)
			}
		}
	}
}
