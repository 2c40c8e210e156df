package agent

import (
	"context"
	"log/slog"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/store"
)

// commitTimeout bounds a write of the record.
const commitTimeout = 5 * time.Second

// notifyChanged wakes the callers that wait for a change. The lock is held.
func (a *Agent) notifyChanged() {
	a.changeNumber++
	close(a.changed)
	a.changed = make(chan struct{})
}

// commit writes a change to the record. The lock is held; on success the caller applies the
// change to memory before it releases the lock.
func (a *Agent) commit(c *store.Change) error {
	if err := a.ctx.Err(); err != nil {
		return api.Errorf(api.Unwritable, "agent %s is stopping", a.config.Name)
	}
	if len(c.Audit) > 0 {
		c.AuditLimit = a.config.Limits.Audit
	}
	ctx, cancel := context.WithTimeout(a.ctx, commitTimeout)
	defer cancel()
	if err := a.store.Commit(ctx, c); err != nil {
		if a.unwritable == "" {
			slog.Error("the record can't be written", "err", err)
		}
		a.unwritable = err.Error()
		return api.Errorf(api.Unwritable, "agent %s: the record can't be written, so nothing was touched: %v", a.config.Name, err)
	}
	if a.unwritable != "" {
		slog.Info("the record can be written again")
	}
	a.unwritable = ""
	a.notifyChanged()
	return nil
}

// persistOrMarkDirty writes what has already happened to an instance and, if s is not nil, to
// a step. If the write fails, the instance is marked dirty and housekeeping writes it later; an
// agent that is killed before that learns the state from the processes. The lock is held.
func (a *Agent) persistOrMarkDirty(i *instance, s *api.Step) {
	c := &store.Change{Instances: []store.Instance{i.stored}}
	if s != nil {
		c.Steps = []api.Step{*s}
	}
	if a.commit(c) != nil {
		i.dirty = true
		a.notifyChanged()
	}
}

// persistDirty writes the instances whose last write failed. With none, it probes a record that
// was unwritable. The lock is held.
func (a *Agent) persistDirty() {
	c := &store.Change{}
	for _, i := range a.instances {
		if i.dirty {
			c.Instances = append(c.Instances, i.stored)
			c.Settings = append(c.Settings, i.settingsEntries()...)
			for _, s := range a.steps {
				if s.Instance == i.config.Name {
					c.Steps = append(c.Steps, *s)
				}
			}
		}
	}
	if len(c.Instances) == 0 && a.unwritable == "" || len(a.instanceNames) == 0 {
		return
	}
	if len(c.Instances) == 0 { // probes whether the record is writable again
		c.Instances = append(c.Instances, a.instances[a.instanceNames[0]].stored)
	}
	if a.commit(c) == nil {
		for _, i := range a.instances {
			i.dirty = false
		}
	}
}
