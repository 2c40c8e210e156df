package client

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/canary"
	"martendrum/internal/fleet/control/rollout"
)

// InstanceResult is the outcome for one instance.
type InstanceResult struct {
	Host     string        `json:"host"`
	Instance string        `json:"instance"`
	Outcome  rollout.State `json:"outcome"`
	Reason   string        `json:"reason,omitempty"`
	// Unknown says since when the state of the instance is unknown, and when its agent was last seen, or
	// why the agent has no record of the operation. It is "" if the state is known; otherwise the fields
	// below are as last seen.
	Unknown  string        `json:"unknown,omitempty"`
	LastSeen time.Time     `json:"last_seen,omitzero"`
	State    *api.Instance `json:"state,omitempty"`
	Steps    []api.Step    `json:"steps,omitempty"`
}

// Report is the outcome of an operation. Rows contains each target of the operation exactly once, in
// the order of the targets.
type Report struct {
	Operation api.Operation `json:"operation"`
	// Result is one of the results in package rollout, or "interrupted" if the run ended before the
	// operation. In a report by Fleet.Report it may also be the state of an operation that is not
	// closed, such as "open", or "not begun" if Fleet.Start could not acquire all leases.
	Result      string           `json:"result"`
	Why         string           `json:"why,omitempty"` // why no further change was started
	LeaseHolder string           `json:"holder,omitempty"`
	Rows        []InstanceResult `json:"rows"`
	Notes       []string         `json:"notes,omitempty"`
	// Stages is the progress of a staged change and Judgement its latest canary analysis.
	Stages    *api.Note         `json:"stages,omitempty"`
	Judgement *canary.Judgement `json:"judgement,omitempty"`
}

// OK reports whether the operation succeeded and the state of every instance is known.
func (r *Report) OK() bool {
	if r.Result != rollout.Succeeded {
		return false
	}
	for _, row := range r.Rows {
		if row.Unknown != "" {
			return false
		}
	}
	return true
}

// finish closes the operation at the hosts that answer and returns the report. An operation that has
// no result yet or is paused stays open.
func (r *runner) finish(ctx context.Context) *Report {
	result := r.machine.Result()
	if r.previousResult != "" {
		result = r.previousResult
	}
	var agents []*Agent
	for _, host := range r.hostNames {
		if r.hostRuns[host].noRecord != "" {
			continue // the operation can't be open there
		}
		if r.hostRuns[host].givenUp || !r.hostRuns[host].silentSince.IsZero() {
			r.notes = append(r.notes, fmt.Sprintf("host %s: %s: the operation may still be open there; once the host answers, `martendrum report %s` shows the state and `martendrum resume %s` ends the operation", host, r.unknownSince(r.hostRuns[host]), r.operation.ID, r.operation.ID))
			continue
		}
		agents = append(agents, r.hostRuns[host].agent)
	}
	var mu sync.Mutex
	ForEach(agents, func(_ int, a *Agent) error {
		hr := r.hostRuns[a.Host.Name]
		out := &api.OpOut{}
		var err error
		if token := hr.leaseToken(); token != 0 && result != "" && result != rollout.Paused {
			err = a.Call(ctx, api.OpClose, &api.CloseIn{Op: r.operation.ID, Token: token, Result: result}, out)
		} else {
			err = a.Call(ctx, api.OpStatus, &api.StatusIn{Op: r.operation.ID}, out)
		}
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			r.notes = append(r.notes, fmt.Sprintf("host %s: the operation could not be closed, or its status could not be read: %v", a.Host.Name, err))
			return err
		}
		r.applyStatus(hr, out)
		return nil
	})
	report := r.report()
	report.Result = result
	if result == "" {
		report.Result = "interrupted"
		report.Notes = append(report.Notes, fmt.Sprintf("the operation stays open: `martendrum resume %s` continues it, `martendrum abort %s` ends it", r.operation.ID, r.operation.ID))
	}
	if result == rollout.Paused {
		report.Notes = append(report.Notes, fmt.Sprintf("once the cause is fixed, `martendrum resume %s` continues the operation; `martendrum abort %s` ends it", r.operation.ID, r.operation.ID))
	}
	return report
}

// report returns a report of the rollout's current state.
func (r *runner) report() *Report {
	report := &Report{Operation: r.operation, Result: r.machine.Result(), Why: r.machine.Why(), Notes: r.notes}
	for _, t := range r.machine.Targets() {
		hr := r.hostRuns[t.Host]
		row := InstanceResult{Host: t.Host, Instance: t.Instance, Outcome: t.State, Reason: t.Reason, LastSeen: hr.agent.Seen()}
		switch {
		case hr.noRecord != "":
			row.Outcome, row.Unknown = rollout.Unknown, hr.noRecord
		case !hr.silentSince.IsZero():
			row.Unknown = r.unknownSince(hr)
		}
		if hr.status != nil {
			for _, instance := range hr.status.Instances {
				if instance.Name == t.Instance {
					row.State = &instance
				}
			}
			for _, step := range hr.status.Steps {
				if step.Instance == t.Instance {
					row.Steps = append(row.Steps, step)
				}
			}
		}
		report.Rows = append(report.Rows, row)
	}
	if r.staged != nil {
		report.Stages, report.Judgement = &r.staged.note, &r.staged.judgement
	}
	return report
}

// Report returns the report of an operation from the agents' records. It does not change the
// operation. It returns an error if no host has returned the operation, or if one of its hosts is not
// in the inventory.
func (f *Fleet) Report(ctx context.Context, id string) (*Report, error) {
	operation, statuses, errs := f.find(ctx, id)
	if len(statuses) == 0 {
		return nil, notFound(id, errs)
	}
	r, err := f.newRunner(operation, Options{})
	if err != nil {
		return nil, err
	}
	result, holder := "", ""
	for host, status := range statuses {
		if hr := r.hostRuns[host]; hr != nil {
			r.applyStatus(hr, status)
			if status.State != api.OpClosed {
				result = status.State
				if status.LeaseHolder != "" {
					holder = status.LeaseHolder
				}
			} else if result == "" {
				result = status.Result
			}
		}
	}
	for _, host := range r.hostNames {
		e := errs[host]
		if e == nil {
			continue
		}
		if apiErr, ok := errors.AsType[*api.Error](e); ok && apiErr.Code == api.NoOperation {
			r.hostRuns[host].noRecord = apiErr.Message + ": it was dropped there after its end, or never opened"
			continue
		}
		r.hostRuns[host].silentSince = time.Now()
		r.machine.Silent(host, e.Error())
	}
	report := r.report()
	report.Result, report.LeaseHolder, report.Why = result, holder, ""
	report.Stages = latestNote(statuses)
	return report, nil
}
