package e2e

import (
	"context"
	"strings"
	"testing"
	"time"

	"martendrum/internal/fleet/api"
)

// openOperation opens an operation on all instances of a host and returns it with its fencing
// token. The lease of one minute outlasts the operation.
func (w *settingsWorld) openOperation(h *host, action string, soak time.Duration) (api.Operation, int64) {
	w.t.Helper()
	operation := w.newOperation(action, func(o *api.Operation) {
		o.Soak = soak
		o.Targets = nil
		for _, instance := range h.instances {
			o.Targets = append(o.Targets, api.Target{Host: h.name, Instance: instance})
		}
	})
	var out api.OpenOut
	in := &api.OpenIn{Operation: operation, LeaseHolder: "tester", TTL: time.Minute}
	if err := w.operator.Agent(h.name).Call(context.Background(), api.OpOpen, in, &out); err != nil {
		w.t.Fatalf("opening a %s operation at %s: %v", action, h.name, err)
	}
	return operation, out.Token
}

// closeOperation closes an operation, which also ends its lease.
func (w *settingsWorld) closeOperation(h *host, operation api.Operation, token int64) {
	w.t.Helper()
	in := &api.CloseIn{Op: operation.ID, Token: token, Result: "done"}
	if err := w.operator.Agent(h.name).Call(context.Background(), api.OpClose, in, nil); err != nil {
		w.t.Fatalf("closing the %s operation at %s: %v", operation.Action, h.name, err)
	}
}

// startStep begins an operation's step on an instance.
func (w *settingsWorld) startStep(h *host, operation api.Operation, token int64, instance string) {
	w.t.Helper()
	in := &api.StepIn{Op: operation.ID, Token: token, Instance: instance, Kind: api.Change}
	if err := w.operator.Agent(h.name).Call(context.Background(), api.StepStart, in, nil); err != nil {
		w.t.Fatalf("starting the %s step on %s: %v", operation.Action, instance, err)
	}
}

// waitStep waits until an operation's step on an instance has ended, and returns its status.
func (w *settingsWorld) waitStep(h *host, operation api.Operation, instance string) (status string) {
	w.t.Helper()
	eventually(w.t, "the step on "+instance+" to end", func() bool {
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

// While an operation holds the lease of instances, distributed settings are deferred for these
// instances only. An instance that the operation restarts starts with the settings accepted before,
// and the deferred settings are applied when the operation ends.
func TestOperationAndDistribution(t *testing.T) {
	t.Parallel()
	w := newSettingsWorld(t, 2, 2, 1)
	held, free := w.hosts[0], w.hosts[1]
	instance := held.instances[0]
	accepted := w.publishLimits(2, "limits/all", 96)[0]

	operation, token := w.openOperation(held, api.ActRestart, 500*time.Millisecond)
	later := w.publish("limits/all", memoryLimit(80))
	w.waitInForce(later, 1)
	w.waitReceived(later, held)
	w.checkHeldBack(held, instance, accepted, "operation "+operation.ID)
	if out, _, code := w.command("list", "--settings"); code != 1 || !strings.Contains(out, "operation "+operation.ID) {
		t.Errorf("martendrum list --settings during the operation: exit code %d, want 1 and the operation's id:\n%s", code, out)
	}

	w.startStep(held, operation, token, instance)
	if status := w.waitStep(held, operation, instance); status != api.StepOK {
		t.Errorf("restart step: status %s, want %s", status, api.StepOK)
	}
	w.startedWith(instance, accepted)
	w.checkHeldBack(held, instance, accepted, "operation "+operation.ID)

	w.closeOperation(held, operation, token)
	w.waitInForce(later, 2)
	w.waitBodyLimit(w.bodyLimit(free.instances[0]), []string{instance})

	// A reload step finishes before deferred settings are applied. The agent defers them during the
	// step even if the lease has expired by then, which is not tried here.
	operation, token = w.openOperation(held, api.ActReload, 0)
	w.startStep(held, operation, token, instance)
	last := w.publish("limits/all", memoryLimit(96))
	if status := w.waitStep(held, operation, instance); status != api.StepOK {
		t.Errorf("reload step: status %s, want %s", status, api.StepOK)
	}
	if limit := w.bodyLimit(instance); limit == accepted {
		t.Errorf("body limit after the reload = %v, that of the deferred settings; want the earlier limit until the operation ends", limit)
	}
	w.closeOperation(held, operation, token)
	w.waitInForce(last, 2)
	w.waitBodyLimit(accepted, instanceNames(held, free))

	// Settings that change while an instance is drained are in force after its start.
	w.drainAndUndrain(held, instance)
}

// checkHeldBack checks that an instance reports what its new settings wait for, and that its
// earlier body limit is still in force.
func (w *settingsWorld) checkHeldBack(h *host, instance string, limit float64, why string) {
	w.t.Helper()
	settings := w.inspect(h, instance).Settings
	if !strings.Contains(settings.Waiting, why) {
		w.t.Errorf("settings of %s wait for %q, want a text that contains %q", instance, settings.Waiting, why)
	}
	if have := w.bodyLimit(instance); have != limit {
		w.t.Errorf("body limit of %s during the operation = %v, want %v as before it", instance, have, limit)
	}
}

// drainAndUndrain publishes a change while an instance is drained, and checks that it is in force
// after the instance is undrained.
func (w *settingsWorld) drainAndUndrain(h *host, instance string) {
	w.t.Helper()
	operation, token := w.openOperation(h, api.ActDrain, 0)
	w.startStep(h, operation, token, instance)
	w.waitStep(h, operation, instance)
	w.closeOperation(h, operation, token)
	last := w.publish("limits/all", memoryLimit(112))
	w.waitInForce(last, len(w.hosts))
	operation, token = w.openOperation(h, api.ActUndrain, 0)
	w.startStep(h, operation, token, instance)
	if status := w.waitStep(h, operation, instance); status != api.StepOK {
		w.t.Errorf("undrain step: status %s, want %s", status, api.StepOK)
	}
	// The new process starts with the settings accepted before the drain, so the status must no
	// longer count its host as one where the revision is in force.
	eventually(w.t, "a status that does not count "+h.name+" as up to date", func() bool {
		out, ok := w.status(w.writer(), last)
		return ok && out.Status.InForce == len(w.hosts)-1
	})
	w.closeOperation(h, operation, token)
	w.waitInForce(last, len(w.hosts))
	w.waitBodyLimit(w.bodyLimit(w.hosts[1].instances[0]), []string{instance})
}
