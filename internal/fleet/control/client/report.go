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

// InstanceResult is one instance in a report.
type InstanceResult struct {
	Host     string        `json:"host"`
	Instance string        `json:"instance"`
	Outcome  rollout.State `json:"outcome"`
	Reason   string        `json:"reason,omitempty"`
	// What is known of the instance itself; if Unknown, as it was last seen.
	Unknown  string        `json:"unknown,omitempty"` // since when and why it is not known now
	LastSeen time.Time     `json:"last_seen,omitzero"`
	State    *api.Instance `json:"state,omitempty"`
	Steps    []api.Step    `json:"steps,omitempty"`
}

// Report is what became of an operation: each of its instances exactly once.
type Report struct {
	Operation   api.Operation    `json:"operation"`
	Result      string           `json:"result"` // as package rollout has them; "open" while it is
	Why         string           `json:"why,omitempty"`
	LeaseHolder string           `json:"holder,omitempty"`
	Rows        []InstanceResult `json:"rows"`
	Notes       []string         `json:"notes,omitempty"`
	// Of a staged change: where it stands, and what was last known of it.
	Stages    *api.Note         `json:"stages,omitempty"`
	Judgement *canary.Judgement `json:"judgement,omitempty"`
}

// OK says that all went as asked, and is known to have.
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

// finish closes the operation where that can be done, and reports.
func (r *runner) finish(ctx context.Context) *Report {
	result := r.machine.Result()
	if r.previousResult != "" {
		result = r.previousResult
	}
	// The last word of each host, and the end of the operation there.
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
	rep := r.report()
	rep.Result = result
	if result == "" {
		rep.Result = "interrupted"
		rep.Notes = append(rep.Notes, fmt.Sprintf("the operation stays open: `martendrum resume %s` goes on with it, `martendrum abort %s` ends it", r.operation.ID, r.operation.ID))
	}
	if result == rollout.Paused {
		rep.Notes = append(rep.Notes, fmt.Sprintf("`martendrum resume %s` goes on once the cause is mended, `martendrum abort %s` ends it", r.operation.ID, r.operation.ID))
	}
	return rep
}

// report makes a report of what is known now.
func (r *runner) report() *Report {
	rep := &Report{Operation: r.operation, Result: r.machine.Result(), Why: r.machine.Why(), Notes: r.notes}
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
		rep.Rows = append(rep.Rows, row)
	}
	if r.staged != nil {
		rep.Stages, rep.Judgement = &r.staged.note, &r.staged.judgement
	}
	return rep
}

// Report tells what the agents' records say of an operation.
func (f *Fleet) Report(ctx context.Context, id string) (*Report, error) {
	op, outs, errs := f.Find(ctx, id)
	if len(outs) == 0 {
		return nil, notFound(id, errs)
	}
	r, err := f.newRunner(op, Options{})
	if err != nil {
		return nil, err
	}
	result, holder := "", ""
	for host, out := range outs {
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
	rep := r.report()
	rep.Result, rep.LeaseHolder, rep.Why = result, holder, ""
	rep.Stages = latestNote(outs)
	return rep, nil
}
