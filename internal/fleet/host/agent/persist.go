package agent

import (
	"context"
	"log/slog"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/store"
)

// commitTimeout limits a write of the record.
const commitTimeout = 5 * time.Second

// notifyChanged wakes the callers that wait for a change. The caller holds a.mu.
func (a *Agent) notifyChanged() {
	a.changeNumber++
	close(a.changed)
	a.changed = make(chan struct{})
}

// commit writes a change to the record. The caller holds a.mu and, if commit succeeds, applies
// the change to memory before it releases a.mu. Errors are of type *api.Error.
func (a *Agent) commit(change *store.Change) error {
	if err := a.ctx.Err(); err != nil {
		return api.Errorf(api.Unwritable, "agent %s is stopping", a.config.Name)
	}
	if len(change.Audit) > 0 {
		change.AuditLimit = a.config.Limits.Audit
	}
	ctx, cancel := context.WithTimeout(a.ctx, commitTimeout)
	defer cancel()
	if err := a.store.Commit(ctx, change); err != nil {
		if a.unwritable == "" {
			slog.Error("the record can't be written", "err", err)
		}
		a.unwritable = err.Error()
		return api.Errorf(api.Unwritable, "agent %s: the record can't be written, so nothing was changed: %v", a.config.Name, err)
	}
	if a.unwritable != "" {
		slog.Info("the record can be written again")
	}
	a.unwritable = ""
	a.notifyChanged()
	return nil
}

// persistOrMarkDirty writes the state of an instance, after an event such as an exit, and of a step
// if step is not nil. If the write fails, the instance is marked dirty and housekeeping writes it
// later. If the agent is killed before that, the next agent learns the state from the processes.
// The caller holds a.mu.
func (a *Agent) persistOrMarkDirty(inst *instance, step *api.Step) {
	change := &store.Change{Instances: []store.Instance{inst.stored}}
	if step != nil {
		change.Steps = []api.Step{*step}
	}
	if a.commit(change) != nil {
		inst.dirty = true
		a.notifyChanged()
	}
}

// persistDirty writes the instances whose last write failed, with their steps and settings. If
// there are none but the last write of the record failed, it writes the first instance to find out
// whether the record is writable again. The caller holds a.mu.
func (a *Agent) persistDirty() {
	change := &store.Change{}
	for _, inst := range a.instances {
		if inst.dirty {
			change.Instances = append(change.Instances, inst.stored)
			change.Settings = append(change.Settings, inst.settingsEntries()...)
			for _, step := range a.steps {
				if step.Instance == inst.config.Name {
					change.Steps = append(change.Steps, *step)
				}
			}
		}
	}
	if len(change.Instances) == 0 && a.unwritable == "" || len(a.instanceNames) == 0 {
		return
	}
	if len(change.Instances) == 0 {
		change.Instances = append(change.Instances, a.instances[a.instanceNames[0]].stored)
	}
	if a.commit(change) == nil {
		for _, inst := range a.instances {
			inst.dirty = false
		}
	}
}
