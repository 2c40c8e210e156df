package e2e

import (
	"context"
	"strings"
	"testing"
	"time"

	"martendrum/internal/fleet/api"
)

// openOperation opens an operation at a host with a lease that lives until it is closed.
func (w *settingsWorld) openOperation(h *host, action string, soak time.Duration) (api.Operation, int64) {
	w.t.Helper()
	operation := w.op(action, func(o *api.Operation) {
		o.Soak = soak
		o.Targets = nil
		for _, instance := range h.instances {
			o.Targets = append(o.Targets, api.Target{Host: h.name, Instance: instance})
		}
	})
	var out api.OpenOut
	in := &api.OpenIn{Operation: operation, LeaseHolder: "tester", TTL: time.Minute}
	if err := w.operator.Agent(h.name).Call(context.Background(), api.OpOpen, in, &out); err != nil {
		w.t.Fatal(err)
	}
	return operation, out.Token
}

// closeOperation ends an operation, and its lease with it.
func (w *settingsWorld) closeOperation(h *host, operation api.Operation, token int64) {
	w.t.Helper()
	in := &api.CloseIn{Op: operation.ID, Token: token, Result: "done"}
	if err := w.operator.Agent(h.name).Call(context.Background(), api.OpClose, in, nil); err != nil {
		w.t.Fatal(err)
	}
}

// startStep begins the step of an operation on an instance.
func (w *settingsWorld) startStep(h *host, operation api.Operation, token int64, instance string) {
	w.t.Helper()
	in := &api.StepIn{Op: operation.ID, Token: token, Instance: instance, Kind: api.Change}
	if err := w.operator.Agent(h.name).Call(context.Background(), api.StepStart, in, nil); err != nil {
		w.t.Fatal(err)
	}
}

// waitStep waits for the end of the step on an instance and returns its status.
func (w *settingsWorld) waitStep(h *host, operation api.Operation, instance string) (status string) {
	w.t.Helper()
	eventually(w.t, "the end of the step on "+instance, func() bool {
		var out api.OpOut
		if err := w.operator.Agent(h.name).Call(context.Background(), api.OpStatus, &api.StatusIn{Op: operation.ID}, &out); err != nil {
			return false
		}
		for _, step := range out.Steps {
			if step.Instance == instance {
				status = step.Status
			}
		}
		return status != "" && status != api.StepRunning
	})
	return status
}

// A live lease defers distributed settings for its own instances only. A restart within the
// operation starts with the settings accepted before it, and the deferred ones are applied when
// the operation ends.
func TestOperationAndDistribution(t *testing.T) {
	t.Parallel()
	w := newSettingsWorld(t, 2, 2, 1)
	held, free := w.hosts[0], w.hosts[1]
	instance := held.instances[0]
	accepted := w.reference(2, "limits/all", 96)[0]

	operation, token := w.openOperation(held, api.ActRestart, 500*time.Millisecond)
	later := w.publish("limits/all", memoryLimit(80))
	w.inForce(later, 1)
	w.received(later, held)
	w.checkHeldBack(held, instance, accepted, "operation "+operation.ID)
	if out, _, code := w.command("list", "--settings"); code != 1 || !strings.Contains(out, "operation "+operation.ID) {
		t.Errorf("list --settings while the operation holds the instance: exit %d\n%s", code, out)
	}

	w.startStep(held, operation, token, instance)
	if status := w.waitStep(held, operation, instance); status != api.StepOK {
		t.Errorf("the restart is %s", status)
	}
	w.startedWith(instance, accepted)
	w.checkHeldBack(held, instance, accepted, "operation "+operation.ID)

	w.closeOperation(held, operation, token)
	w.inForce(later, 2)
	w.limits(w.bodyLimit(free.instances[0]), []string{instance})

	// The step of a reload finishes before deferred settings are applied, also where its lease ends
	// first.
	operation, token = w.openOperation(held, api.ActReload, 0)
	w.startStep(held, operation, token, instance)
	last := w.publish("limits/all", memoryLimit(96))
	if status := w.waitStep(held, operation, instance); status != api.StepOK {
		t.Errorf("the reload is %s", status)
	}
	if limit := w.bodyLimit(instance); limit == accepted {
		t.Error("the reload took over settings that were to wait for its operation's end")
	}
	w.closeOperation(held, operation, token)
	w.inForce(last, 2)
	w.limits(accepted, instances(held, free))

	// Settings and drained instances: what changed meanwhile is in force after the start.
	w.drainAndUndrain(held, instance)
}

// checkHeldBack checks that an instance waits for an operation and still has its earlier settings.
func (w *settingsWorld) checkHeldBack(h *host, instance string, limit float64, why string) {
	w.t.Helper()
	settings := w.inspect(h, instance).Settings
	if !strings.Contains(settings.Waiting, why) {
		w.t.Errorf("%s reports that it waits for %q; want %q", instance, settings.Waiting, why)
	}
	if have := w.bodyLimit(instance); have != limit {
		w.t.Errorf("%s has a limit of %v while an operation holds it; it had %v", instance, have, limit)
	}
}

// drainAndUndrain changes the settings of an instance that does not run.
func (w *settingsWorld) drainAndUndrain(h *host, instance string) {
	w.t.Helper()
	operation, token := w.openOperation(h, api.ActDrain, 0)
	w.startStep(h, operation, token, instance)
	w.waitStep(h, operation, instance)
	w.closeOperation(h, operation, token)
	last := w.publish("limits/all", memoryLimit(112))
	w.inForce(last, len(w.hosts))
	operation, token = w.openOperation(h, api.ActUndrain, 0)
	w.startStep(h, operation, token, instance)
	if status := w.waitStep(h, operation, instance); status != api.StepOK {
		w.t.Errorf("the undrain is %s", status)
	}
	// The process began with what was accepted before: it is behind, and must be known to be.
	eventually(w.t, "a status that knows of the earlier settings", func() bool {
		out, ok := w.status(w.writer(), last)
		return ok && out.Status.InForce == len(w.hosts)-1
	})
	w.closeOperation(h, operation, token)
	w.inForce(last, len(w.hosts))
	w.limits(w.bodyLimit(w.hosts[1].instances[0]), []string{instance})
}
