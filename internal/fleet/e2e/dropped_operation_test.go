package e2e

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/control/client"
	"martendrum/internal/fleet/control/rollout"
	"martendrum/internal/fleet/host/agent"
	"martendrum/internal/standin/pgserver"
)

// droppedCase is a way in which the agent of a host loses an operation that it has carried out.
type droppedCase struct {
	name     string
	action   string // of the operation
	postgres bool   // the agents' stores are in PostgreSQL instead of SQLite
	host     int    // index of the host that loses the operation; the other one stays silent meanwhile
	limit    int    // closed operations that the agents retain
	// lose makes the host's agent lose the operation. It may call endOperation.
	lose func(h *host, endOperation func())
}

// Guards against a resume that changes an instance a second time: the agent of the instance no longer
// had the operation, and opened it anew.
func TestResumeAfterOperationWasDropped(t *testing.T) {
	t.Parallel()
	endMore := func(_ *host, endOperation func()) {
		for range 3 {
			endOperation()
		}
	}
	lowerLimit := func(h *host, endOperation func()) {
		h.kill()
		h.setLimit("operations = 50", "operations = 1")
		h.start()
		h.world.waitAnswering(h)
		endOperation()
	}
	loseStore := func(h *host, _ func()) {
		h.kill()
		h.removeStore()
		h.start()
		h.world.waitAnswering(h)
	}
	restartAfterDrop := func(h *host, endOperation func()) {
		endMore(h, endOperation)
		h.kill()
		h.start()
		h.world.waitAnswering(h)
	}
	for _, c := range []droppedCase{
		{name: "upgrade", action: api.ActUpgrade, limit: 2, lose: endMore},
		{name: "restart", action: api.ActRestart, limit: 2, lose: endMore},
		{name: "at the last host", action: api.ActRestart, host: 1, limit: 2, lose: endMore},
		{name: "agent restarted after the drop", action: api.ActRestart, host: 1, limit: 2, lose: restartAfterDrop},
		{name: "agent restarted after the drop, postgres", action: api.ActRestart, postgres: true, limit: 2, lose: restartAfterDrop},
		{name: "limit lowered", action: api.ActRestart, limit: 50, lose: lowerLimit},
		{name: "store lost", action: api.ActRestart, limit: 50, lose: loseStore},
		{name: "store lost at the last host", action: api.ActRestart, host: 1, limit: 50, lose: loseStore},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			checkResumeAfterDrop(t, c)
		})
	}
}

// checkResumeAfterDrop has one host carry an operation out and lose it, while the agent of the other
// host is down, and resumes the operation once both agents answer. It checks that the resume changes
// nothing and ends the operation.
func checkResumeAfterDrop(t *testing.T, c droppedCase) {
	w := newWorldWithSections(t, 2, 1, c.storeSection(t))
	for _, h := range w.hosts {
		h.setLimit("[limits]\n", fmt.Sprintf("[limits]\noperations = %d\n", c.limit))
	}
	w.startAll()
	ctx, h, silent := context.Background(), w.hosts[c.host], w.hosts[1-c.host]
	newer := w.uploadRelease(filepath.Join(w.binaries, "sidecar"), `{"limits": {"memory_mb": 96}}`)
	op := w.startWithSilentHost(c.action, h, silent)
	if c.action == api.ActUpgrade {
		w.runOn(h, api.ActUpgrade, newer)
	}
	c.lose(h, func() { w.runOn(h, api.ActStart, "") })
	var status api.OpOut
	if err := w.fleet.Agent(h.name).Call(ctx, api.OpStatus, &api.StatusIn{Op: op.ID}, &status); errorCode(err) != api.NoOperation {
		t.Fatalf("status of operation %s at %s: got error %v, want code %s, since it should have been dropped", op.ID, h.name, err, api.NoOperation)
	}
	silent.start()
	before := w.instanceOf(h)
	w.checkRowWithoutRecord(w.reportOf(op.ID), h, op)

	var report *client.Report
	eventually(t, "the lease of the first run to expire", func() bool {
		var err error
		report, err = w.fleet.Resume(ctx, op.ID, runOptions())
		if err != nil && errorCode(err) != api.LeaseHeld {
			t.Fatalf("Resume of operation %s: %v", op.ID, err)
		}
		return err == nil
	})
	after := w.instanceOf(h)
	if after.Generation != before.Generation || after.PID != before.PID || after.Release != before.Release {
		t.Errorf("Resume changed %s a second time: generation %d, pid %d, release %.12s; want %d, %d, %.12s as before",
			after.Name, after.Generation, after.PID, after.Release, before.Generation, before.PID, before.Release)
	}
	w.checkRowWithoutRecord(report, h, op)
	if report.OK() || !strings.Contains(report.Why, op.ID) || !strings.Contains(report.Why, h.name) {
		t.Errorf("report of the resume: result %s because %q, want it not to succeed because of operation %s at host %s", report.Result, report.Why, op.ID, h.name)
	}
	if err := w.fleet.Agent(silent.name).Call(ctx, api.OpStatus, &api.StatusIn{Op: op.ID}, &status); err != nil || status.State != api.OpClosed {
		t.Errorf("operation %s at %s after the resume: state %q, error %v; want %q", op.ID, silent.name, status.State, err, api.OpClosed)
	}
	if out, errs, code := w.command("restart", "--all", "--soak", "0s"); code != 0 {
		t.Errorf("next operation on all instances: exit code %d, want 0\n%s%s", code, out, errs)
	}
}

// storeSection returns the lines of the agents' configurations that say where their stores are.
func (c *droppedCase) storeSection(t *testing.T) string {
	t.Helper()
	if !c.postgres {
		return ""
	}
	server, err := pgserver.Start(pgserver.Config{})
	if err != nil {
		t.Fatalf("starting the PostgreSQL stand-in: %v", err)
	}
	t.Cleanup(func() { server.Close() })
	return fmt.Sprintf("[record]\nstore = \"postgres\"\nurl = %q\n", server.URL())
}

// startWithSilentHost runs an operation on the instance of host h and then on that of silent, whose agent
// is killed when its step begins. The operation ends at h and stays open at silent.
func (w *world) startWithSilentHost(action string, h, silent *host) api.Operation {
	w.t.Helper()
	op := w.newOperation(action, func(o *api.Operation) {
		o.Soak, o.Policy.MaxFailures = 0, 1
		o.Targets = []api.Target{{Host: h.name, Instance: h.instances[0]}, {Host: silent.name, Instance: silent.instances[0]}}
	})
	if action == api.ActUpgrade {
		op.Release = w.uploadRelease(filepath.Join(w.binaries, "sidecar"), `{"limits": {"memory_mb": 80}}`)
	}
	options := runOptions()
	options.TTL, options.GiveUp = time.Second, time.Second
	options.Progress = func(e client.Event) {
		if e.Kind == client.EventBegin && e.Host == silent.name {
			silent.kill()
		}
	}
	report, err := w.fleet.Start(context.Background(), op, options)
	if err != nil {
		w.t.Fatalf("starting operation %s: %v", op.ID, err)
	}
	rows := w.rowsByInstance(report, op)
	if changed := rows[h.instances[0]]; changed.Outcome != rollout.Changed {
		w.t.Fatalf("%s: outcome %s, reason %q, want outcome %s", h.instances[0], changed.Outcome, changed.Reason, rollout.Changed)
	}
	if rows[silent.instances[0]].Unknown == "" {
		w.t.Fatalf("%s is reported with outcome %s, want it unknown: its agent was killed", silent.instances[0], rows[silent.instances[0]].Outcome)
	}
	return op
}

// runOn runs an operation on the instance of one host to its end.
func (w *world) runOn(h *host, action, release string) {
	w.t.Helper()
	op := w.newOperation(action, func(o *api.Operation) {
		o.Soak, o.Release = 0, release
		o.Targets = []api.Target{{Host: h.name, Instance: h.instances[0]}}
	})
	if report, err := w.fleet.Start(context.Background(), op, runOptions()); err != nil || !report.OK() {
		w.t.Fatalf("%s on %s: report %+v, error %v, want success", action, h.name, report, err)
	}
}

// checkRowWithoutRecord checks that a report does not claim to know what became of the instance of a host
// that has no record of the operation.
func (w *world) checkRowWithoutRecord(report *client.Report, h *host, op api.Operation) {
	w.t.Helper()
	row := w.rowsByInstance(report, op)[h.instances[0]]
	if row.Outcome != rollout.Unknown || !strings.Contains(row.Unknown, op.ID) {
		w.t.Errorf("report of %s: outcome %s, unknown because %q; want outcome %s because of operation %s", row.Instance, row.Outcome, row.Unknown, rollout.Unknown, op.ID)
	}
}

// reportOf returns the report of an operation once every host answers.
func (w *world) reportOf(id string) (report *client.Report) {
	w.t.Helper()
	w.waitReady()
	report, err := w.fleet.Report(context.Background(), id)
	if err != nil {
		w.t.Fatalf("Report of operation %s: %v", id, err)
	}
	return report
}

// instanceOf returns the state of the instance of a host.
func (w *world) instanceOf(h *host) api.Instance {
	w.t.Helper()
	for _, state := range w.waitReady() {
		if state.Host.Name == h.name {
			return state.Instances[0]
		}
	}
	w.t.Fatalf("no state of host %s is listed", h.name)
	return api.Instance{}
}

// waitAnswering waits until the instance of a host is ready and its agent answers. Other hosts may be
// silent.
func (w *world) waitAnswering(h *host) {
	w.t.Helper()
	eventually(w.t, "host "+h.name+" to answer", func() bool {
		var list api.ListOut
		err := w.fleet.Agent(h.name).Call(context.Background(), api.List, &api.Empty{}, &list)
		return err == nil && len(list.Instances) == 1 && list.Instances[0].State == "ready"
	})
}

// setLimit replaces a part of the agent's configuration file, which the agent reads at its next start.
func (h *host) setLimit(old, text string) {
	h.world.t.Helper()
	config, err := os.ReadFile(h.config)
	if err != nil {
		h.world.t.Fatalf("reading the configuration of agent %s: %v", h.name, err)
	}
	if strings.Count(string(config), old) != 1 {
		h.world.t.Fatalf("the configuration of agent %s contains %q %d times, want once", h.name, old, strings.Count(string(config), old))
	}
	if err := os.WriteFile(h.config, []byte(strings.Replace(string(config), old, text, 1)), 0o600); err != nil {
		h.world.t.Fatalf("writing the configuration of agent %s: %v", h.name, err)
	}
}

// removeStore deletes the files of the agent's SQLite store.
func (h *host) removeStore() {
	h.world.t.Helper()
	files, _ := filepath.Glob(filepath.Join(filepath.Dir(h.config), "s", "record.db*"))
	if len(files) == 0 {
		h.world.t.Fatalf("found no file of the store of agent %s", h.name)
	}
	for _, file := range files {
		if err := os.Remove(file); err != nil {
			h.world.t.Fatalf("deleting the store of agent %s: %v", h.name, err)
		}
	}
}

// restartUntilDropped carries out operations on all instances of a simulated fleet until its agents have
// dropped the first one, which it returns.
func (s *simulatedFleet) restartUntilDropped(t *testing.T) api.Operation {
	t.Helper()
	first := s.newOperation(api.ActRestart)
	for n := range 3 {
		op := first
		if n > 0 {
			op = s.newOperation(api.ActRestart)
		}
		if report, err := s.fleet.Start(context.Background(), op, runOptions()); err != nil || !report.OK() {
			t.Fatalf("restart %d: report %+v, error %v, want success", n, report, err)
		}
	}
	err := s.fleet.Agents[0].Call(context.Background(), api.OpStatus, &api.StatusIn{Op: first.ID}, nil)
	if errorCode(err) != api.NoOperation {
		t.Fatalf("status of the first operation: got error %v, want code %s, since it should have been dropped", err, api.NoOperation)
	}
	return first
}

// retainOne makes an agent retain one closed operation.
func retainOne(config *agent.Config) { config.Limits.Operations = 1 }

// Guards against a run that opens its operation anew when it renews a lapsed lease: meanwhile the
// operation may have been aborted, closed and dropped.
func TestDroppedOperationIsNotOpenedAnew(t *testing.T) {
	s := simulate(t, 1, 1, time.Millisecond, time.Millisecond, retainOne)
	dropped := s.restartUntilDropped(t)
	launched := len(s.hosts[0].Launches())
	err := s.fleet.Agents[0].Call(context.Background(), api.OpOpen, &api.OpenIn{Operation: dropped, LeaseHolder: "stalled", TTL: time.Second}, nil)
	if e, ok := errors.AsType[*api.Error](err); !ok || e.Code != api.Closed || !strings.Contains(e.Message, dropped.ID) || !strings.Contains(e.Message, "sim-0") {
		t.Errorf("opening a dropped operation: got error %v, want code %s with the operation and the host", err, api.Closed)
	}
	if n := len(s.hosts[0].Launches()); n != launched {
		t.Errorf("%d launches after the call, want %d", n, launched)
	}
}

// Guards against a dropped operation whose release has been dropped too, and which a resume could then
// not end at the other hosts: the agent has to answer that it has ended, not that the release is missing.
func TestDroppedOperationIsKnownWithoutItsRelease(t *testing.T) {
	s := simulate(t, 1, 1, time.Millisecond, time.Millisecond, retainOne)
	dropped := s.restartUntilDropped(t)
	dropped.Action, dropped.Release = api.ActUpgrade, strings.Repeat("ab", 32)
	err := s.fleet.Agents[0].Call(context.Background(), api.OpOpen, &api.OpenIn{Operation: dropped, LeaseHolder: "resume", TTL: time.Second}, nil)
	if errorCode(err) != api.Closed {
		t.Errorf("opening a dropped operation without its release: got error %v, want code %s", err, api.Closed)
	}
}

// Guards against a new operation being taken for a dropped one when the operator's clock is behind.
func TestStartWithSlowClockAfterDrop(t *testing.T) {
	s := simulate(t, 2, 1, time.Millisecond, time.Millisecond, retainOne)
	s.restartUntilDropped(t)
	op := s.newOperation(api.ActRestart)
	op.Created = op.Created.Add(-time.Hour)
	if report, err := s.fleet.Start(context.Background(), op, runOptions()); err != nil || !report.OK() {
		t.Errorf("operation of an operator whose clock is an hour behind: report %+v, error %v, want success", report, err)
	}
}

// Guards against a resume that skips a host where the operation was never opened, because its command
// was killed first: that host has dropped other operations, but not this one.
func TestResumeOpensWhereCommandWasKilledFirst(t *testing.T) {
	s := simulate(t, 3, 1, time.Millisecond, time.Millisecond, retainOne)
	s.restartUntilDropped(t)
	ctx, op := context.Background(), s.newOperation(api.ActRestart)
	in := &api.OpenIn{Operation: op, LeaseHolder: "killed", TTL: 100 * time.Millisecond, New: true}
	if err := s.fleet.Agents[0].Call(ctx, api.OpOpen, in, nil); err != nil {
		t.Fatalf("opening operation %s at one host: %v", op.ID, err)
	}
	var report *client.Report
	eventually(t, "the lease of the killed command to expire", func() bool {
		var err error
		report, err = s.fleet.Resume(ctx, op.ID, runOptions())
		return err == nil
	})
	if !report.OK() {
		t.Errorf("report of the resume: result %s because %q, want success", report.Result, report.Why)
	}
	for n, h := range s.hosts {
		if launched := len(h.Launches()); launched != 5 {
			t.Errorf("host %d: %d launches, want 5: the initial one, three operations and the resumed one", n, launched)
		}
	}
}
