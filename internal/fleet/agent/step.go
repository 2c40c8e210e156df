package agent

import (
	"context"
	"fmt"
	"time"

	"chalkrack/internal/fleet/api"
	"chalkrack/internal/fleet/life"
	"chalkrack/internal/fleet/store"
)

// stepStart begins a step of an operation on one instance, once: whoever asks
// again is told how it stands. What is wanted of the instance and the step are
// written in one change, before anything is done.
func (a *Agent) stepStart(_ context.Context, c *caller, in *api.StepIn) (any, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	o, err := a.op(in.Op)
	if err != nil {
		return nil, err
	}
	i, err := a.named(in.Instance)
	if err != nil {
		return nil, err
	}
	switch {
	case !a.targets(&o.Operation, in.Instance):
		return nil, api.Errorf(api.BadParams, "%s is no instance of operation %s", in.Instance, o.ID)
	case in.Kind != api.Change && in.Kind != api.Rollback:
		return nil, api.Errorf(api.BadParams, "kind %q; want %q or %q", in.Kind, api.Change, api.Rollback)
	}
	now := time.Now()
	if err := a.fenced(a.leases.Check(now, o.ID, in.Token, in.Instance)); err != nil {
		return nil, err
	}
	if s := a.steps[stepKey{o.ID, in.Instance, in.Kind}]; s != nil {
		return s, nil
	}
	switch {
	case o.State != api.OpOpened:
		return nil, api.Errorf(api.Closed, "operation %s is %s at agent %s", o.ID, o.State, a.cfg.Name)
	case i.step != nil:
		return nil, api.Errorf(api.Held, "a step of operation %s is under way on %s", i.step.Op, in.Instance)
	}
	s := &api.Step{Op: o.ID, Instance: in.Instance, Kind: in.Kind, Action: o.Action, Status: api.StepRunning,
		From: i.row.Release, To: i.row.Release, Before: i.row.Previous, Ready: o.Ready, Soak: o.Soak, Started: now, Token: in.Token}
	row, verdict, ok := a.plan(i, o, s)
	s.Generation = row.Generation
	if verdict != "" || ok {
		s.Status, s.Reason, s.Ended = api.StepOK, verdict, now
		if !ok {
			s.Status = api.StepFailed
		}
	}
	if err := a.commit(&store.Change{Instances: []store.Instance{row}, Steps: []api.Step{*s},
		Audit: []api.AuditEntry{{At: now, Who: c.who, What: o.Action + " " + in.Kind, Target: in.Instance, Result: s.Status}}}); err != nil {
		return nil, err
	}
	i.row = row
	a.steps[stepKey{o.ID, in.Instance, in.Kind}] = s
	if s.Status == api.StepRunning {
		i.step = s
		i.hupAt = time.Time{}
	}
	i.poke()
	return s, nil
}

// plan is the instance's row as the step wants it. With ok or a verdict the step
// has its outcome already.
func (a *Agent) plan(i *instance, o *store.Operation, s *api.Step) (row store.Instance, verdict string, ok bool) {
	row = i.row
	running := row.Desired == api.Running
	// again asks for a new process, where one is wanted at all.
	again := func() (store.Instance, string, bool) {
		if !running {
			return row, fmt.Sprintf("left %s; it runs this at its next start", row.Desired), true
		}
		row.Generation++
		return row, "", false
	}
	if s.Kind == api.Rollback {
		change := a.steps[stepKey{o.ID, s.Instance, api.Change}]
		switch {
		case o.Action != api.ActUpgrade && o.Action != api.ActRollback:
			return row, fmt.Sprintf("a %s can't be taken back", o.Action), false
		case change == nil:
			return row, "it was not changed", true
		}
		row.Release, row.Previous, s.To = change.From, change.Before, change.From
		if row.Release == i.row.Release {
			return row, "it was not changed", true
		}
		return again()
	}
	switch o.Action {
	case api.ActStart, api.ActUndrain:
		switch {
		case o.Action == api.ActStart && row.Desired == api.Drained:
			return row, "it is drained: undrain it", false
		case o.Action == api.ActUndrain && row.Desired != api.Drained:
			return row, "it is not drained", true
		case running && i.life.Phase() != life.Crashloop && i.life.Phase() != life.Backoff:
			if i.life.Phase() == life.Ready {
				return row, "it was running", true
			}
			return row, "", false
		}
		row.Desired = api.Running
		row.Generation++
		return row, "", false
	case api.ActStop, api.ActDrain:
		row.Desired = api.Stopped
		if o.Action == api.ActDrain {
			row.Desired = api.Drained
		}
		return row, "", false
	case api.ActRestart:
		if !running {
			return row, "left " + row.Desired, true
		}
		return again()
	case api.ActReload:
		if !running {
			return row, "left " + row.Desired, true
		}
		return row, "", false
	case api.ActUpgrade:
		s.To = o.Release
		if row.Release == o.Release && (!running || row.Running == o.Release && i.life.Phase() == life.Ready) {
			return row, "it has this release", true
		}
		if row.Release != o.Release {
			row.Previous = row.Release
		}
		row.Release = o.Release
		return again()
	case api.ActRollback:
		if row.Previous == "" {
			return row, "there is no earlier release to go back to", false
		}
		row.Release, row.Previous = row.Previous, row.Release
		s.To = row.Release
		return again()
	}
	return row, fmt.Sprintf("unknown action %q", o.Action), false
}
