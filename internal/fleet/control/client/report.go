package client

import (
	"context"
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
	// Unknown says since when and why the state of the instance is unknown, "" if it is known.
	// The fields below are then as last seen.
	Unknown  string        `json:"unknown,omitempty"`
	LastSeen time.Time     `json:"last_seen,omitzero"`
	State    *api.Instance `json:"state,omitempty"`
	Steps    []api.Step    `json:"steps,omitempty"`
}

// Report is the outcome of an operation. It has each of its instances exactly once.
type Report struct {
	Operation   api.Operation    `json:"operation"`
	Result      string           `json:"result"` // one of package rollout; "open" while the operation is
	Why         string           `json:"why,omitempty"`
	LeaseHolder string           `json:"holder,omitempty"`
	Rows        []InstanceResult `json:"rows"`
	Notes       []string         `json:"notes,omitempty"`
	// Stages is the progress of a staged change and Judgement its latest canary analysis.
	Stages    *api.Note         `json:"stages,omitempty"`
	Judgement *canary.Judgement `json:"judgement,omitempty"`
}

// OK says that the operation succeeded and that the state of every instance is known.
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

// finish closes the operation at the hosts that answer, unless it has to stay open, and returns
// the report.
func (r *runner) finish(ctx context.Context) *Report {
	result := r.machine.Result()
	if r.previousResult != "" {
		result = r.previousResult
	}
	var agents []*Agent
	for _, host := range r.hostNames {
		if r.hostRuns[host].givenUp || !r.hostRuns[host].silentSince.IsZero() {
			r.notes = append(r.notes, fmt.Sprintf("host %s: %s: the operation may still be open there; `martendrum report %s` tells once it answers, `martendrum resume %s` ends it", host, r.unknownSince(r.hostRuns[host]), r.operation.ID, r.operation.ID))
			continue
		}
		agents = append(agents, r.hostRuns[host].agent)
	}
	var mu sync.Mutex
	ForEach(agents, func(_ int, a *Agent) error {
		p := r.hostRuns[a.Host.Name]
		out := &api.OpOut{}
		var err error
		if token := p.leaseToken(); token != 0 && result != "" && result != rollout.Paused {
			err = a.Call(ctx, api.OpClose, &api.CloseIn{Op: r.operation.ID, Token: token, Result: result}, out)
		} else {
			err = a.Call(ctx, api.OpStatus, &api.StatusIn{Op: r.operation.ID}, out)
		}
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			r.notes = append(r.notes, fmt.Sprintf("host %s: not ended there: %v", a.Host.Name, err))
			return err
		}
		r.takeStatus(p, out)
		return nil
	})
	report := r.report()
	report.Result = result
	if result == "" {
		report.Result = "interrupted"
		report.Notes = append(report.Notes, fmt.Sprintf("the operation stays open: `martendrum resume %s` goes on with it, `martendrum abort %s` ends it", r.operation.ID, r.operation.ID))
	}
	if result == rollout.Paused {
		report.Notes = append(report.Notes, fmt.Sprintf("`martendrum resume %s` goes on once the cause is mended, `martendrum abort %s` ends it", r.operation.ID, r.operation.ID))
	}
	return report
}

// report returns a report of the current state.
func (r *runner) report() *Report {
	report := &Report{Operation: r.operation, Result: r.machine.Result(), Why: r.machine.Why(), Notes: r.notes}
	for _, t := range r.machine.Targets() {
		p := r.hostRuns[t.Host]
		row := InstanceResult{Host: t.Host, Instance: t.Instance, Outcome: t.State, Reason: t.Reason, LastSeen: p.agent.Seen()}
		if !p.silentSince.IsZero() {
			row.Unknown = r.unknownSince(p)
		}
		if p.status != nil {
			for _, x := range p.status.Instances {
				if x.Name == t.Instance {
					row.State = &x
				}
			}
			for _, s := range p.status.Steps {
				if s.Instance == t.Instance {
					row.Steps = append(row.Steps, s)
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

// Report returns the report of an operation from the agents' records, without changing it.
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
	for host, out := range statuses {
		if p := r.hostRuns[host]; p != nil {
			r.takeStatus(p, out)
			if out.State != api.OpClosed {
				result = out.State
				if out.LeaseHolder != "" {
					holder = out.LeaseHolder
				}
			} else if result == "" {
				result = out.Result
			}
		}
	}
	for _, host := range r.hostNames {
		if e := errs[host]; e != nil {
			r.hostRuns[host].silentSince = time.Now()
			r.machine.Silent(host, e.Error())
		}
	}
	report := r.report()
	report.Result, report.LeaseHolder, report.Why = result, holder, ""
	report.Stages = latestNote(statuses)
	return report, nil
}
