package agent

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/host/proc"
	"martendrum/internal/fleet/store"
)

// housekeepingInterval is how often the agent's own housekeeping is done.
const housekeepingInterval = time.Second

// runHousekeeping writes what could not be written, ends operations that were aborted, and
// keeps the record, releases and logs within their bounds.
func (a *Agent) runHousekeeping() {
	t := time.NewTicker(housekeepingInterval)
	defer t.Stop()
	for n := 0; ; n++ {
		select {
		case <-a.ctx.Done():
			return
		case <-t.C:
		}
		a.mu.Lock()
		a.persistDirty()
		a.endAborted()
		a.rollBackUnattended(time.Now())
		a.settlePowerReturn(time.Since(a.started))
		var used []string
		for _, i := range a.instances {
			used = append(used, i.stored.Release, i.stored.Previous, i.stored.Running, i.storedPrevious.Running)
		}
		for _, o := range a.operations {
			if o.State != api.OpClosed {
				used = append(used, o.Release)
			}
		}
		maps.DeleteFunc(a.canHandover, func(release string, _ bool) bool { return !slices.Contains(used, release) })
		a.mu.Unlock()
		if n%30 == 29 {
			if err := a.releases.Prune(used, a.config.Limits.Releases); err != nil {
				slog.Warn("old releases stay", "err", err)
			}
		}
		if n%5 == 4 {
			for _, name := range a.instanceNames {
				if err := proc.Rotate(a.logPath(name), int64(a.config.Limits.Log)); err != nil {
					slog.Warn("log not rotated", "instance", name, "err", err)
				}
			}
		}
	}
}

// persistDirty writes all that the record may lack.
func (a *Agent) persistDirty() {
	c := &store.Change{}
	for _, i := range a.instances {
		if i.dirty {
			c.Instances = append(c.Instances, i.stored)
			c.Settings = append(c.Settings, i.settingsRows()...)
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
	if len(c.Instances) == 0 { // is it writable again?
		c.Instances = append(c.Instances, a.instances[a.instanceNames[0]].stored)
	}
	if a.commit(c) == nil {
		for _, i := range a.instances {
			i.dirty = false
		}
	}
}

// endAborted closes operations that are to end, once nothing of them runs and
// nobody holds them.
func (a *Agent) endAborted() {
	for _, o := range a.operations {
		if o.State == api.OpAborting && !a.isLeased(o.ID, time.Now()) && !a.hasRunningStep(o.ID) {
			if err := a.closeOperation(o, "aborted", "agent"); err != nil {
				return
			}
		}
	}
}

func (a *Agent) isLeased(op string, now time.Time) bool {
	for _, l := range a.leases.ByInstance {
		if l.Op == op && l.Live(now) {
			return true
		}
	}
	return false
}

func (a *Agent) hasRunningStep(op string) bool {
	for _, i := range a.instances {
		if i.step != nil && i.step.Op == op {
			return true
		}
	}
	return false
}

// closeOperation ends an operation and its leases here, and forgets the oldest.
func (a *Agent) closeOperation(o *store.Operation, result, who string) error {
	now := time.Now()
	next := *o
	next.State, next.Result, next.Closed = api.OpClosed, result, now
	c := &store.Change{Operations: []store.Operation{next}, Audit: []api.AuditEntry{{At: now, Who: who, What: "op.close", Target: o.ID, Result: result}}}
	for _, l := range a.leases.ByInstance {
		if l.Op == o.ID && l.Live(now) {
			l.Expires = now
			c.Leases = append(c.Leases, l)
		}
	}
	var closed []*store.Operation
	for _, x := range a.operations {
		if x.State == api.OpClosed {
			closed = append(closed, x)
		}
	}
	slices.SortFunc(closed, func(x, y *store.Operation) int { return x.Closed.Compare(y.Closed) })
	for len(closed) >= a.config.Limits.Operations {
		c.DropOperations = append(c.DropOperations, closed[0].ID)
		closed = closed[1:]
	}
	if err := a.commit(c); err != nil {
		return err
	}
	*o = next
	a.leases.Put(c.Leases)
	for _, id := range c.DropOperations {
		delete(a.operations, id)
		for k := range a.steps {
			if k.op == id {
				delete(a.steps, k)
			}
		}
	}
	return nil
}
