package agent

import (
	"fmt"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/host/supervisor"
	"martendrum/internal/fleet/store"
)

// planStep is the instance's row as the step wants it. With ok or a verdict the step
// has its outcome already.
func (a *Agent) planStep(i *instance, o *store.Operation, s *api.Step) (row store.Instance, verdict string, ok bool) {
	row = i.stored
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
		case o.Action != api.ActUpgrade && o.Action != api.ActRollback && o.Action != api.ActSettings:
			return row, fmt.Sprintf("a %s can't be taken back", o.Action), false
		case change == nil:
			return row, "it was not changed", true
		}
		row.Release, row.Previous, s.To = change.From, change.Before, change.From
		if row.Release == i.stored.Release {
			return row, "it was not changed", true
		}
		if o.Action == api.ActSettings && running {
			return row, "", false
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
		case running && i.supervisor.Phase() != supervisor.Crashloop && i.supervisor.Phase() != supervisor.Backoff:
			if i.supervisor.Phase() == supervisor.Ready {
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
		if row.Release == o.Release && (!running || row.Running == o.Release && i.supervisor.Phase() == supervisor.Ready) {
			return row, "it has this release", true
		}
		if row.Release != o.Release {
			row.Previous = row.Release
		}
		row.Release = o.Release
		return again()
	case api.ActSettings:
		s.To = o.Release
		if row.Release == o.Release && (!running || row.Running == o.Release) {
			return row, "it has these settings", true
		}
		if same, err := a.releases.SameProgram(row.Release, o.Release); err != nil || !same {
			return row, fmt.Sprintf("release %.12s has another program than %.12s, which it runs: that is an upgrade (%v)", o.Release, row.Release, err), false
		}
		if row.Release != o.Release {
			row.Previous = row.Release
		}
		row.Release = o.Release
		if !running {
			return row, fmt.Sprintf("left %s; it runs this at its next start", row.Desired), true
		}
		return row, "", false
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
