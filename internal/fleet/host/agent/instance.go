package agent

import (
	"maps"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/host/supervisor"
	"martendrum/internal/fleet/store"
)

const (
	// healthTimeout limits a health check.
	healthTimeout = 800 * time.Millisecond
	// activeInterval is the longest wait of an instance's loop while the instance starts or
	// changes.
	activeInterval = 50 * time.Millisecond
	// retryInterval is the delay before a launch that could not be recorded is retried.
	retryInterval = time.Second
	// minReloadAge is the minimum age of a process that is sent SIGHUP. The signal would end a
	// sidecar that has just started and does not handle it yet.
	minReloadAge = 1200 * time.Millisecond
	// reloadTimeout is how soon after SIGHUP a sidecar must report that it runs a new
	// configuration.
	reloadTimeout = 5 * time.Second
)

// instance is one sidecar of the host. The agent's mu guards all fields. Only the instance's own
// goroutine, superviseInstance, changes supervisor and process.
type instance struct {
	config InstanceConfig
	wake   chan struct{} // a value starts the next round of its loop

	stored        store.Instance // as in the record, unless dirty is set
	dirty         bool           // the last write of the instance or its steps failed
	supervisor    *supervisor.Supervisor
	process       *Process      // nil: none runs
	reported      processReport // from process
	abandonReason string        // why a new process next to the previous one must end; "": it need not
	launchRetryAt time.Time     // no launch before this time
	history       sampleHistory
	// exitedGeneration is the latest generation whose process exited unexpectedly or could not be
	// started; 0: none.
	exitedGeneration int64

	previous       *Process       // the process that is being replaced; nil: none
	storedPrevious store.Instance // as in the record when previous was the instance's process

	step              *api.Step // the running step; nil: none
	reloadSentAt      time.Time // when the step's SIGHUP was sent; zero: not yet
	writtenConfigHash string    // of the configuration that was last written for the instance

	settings settingsState
}

// processReport is what a process reports about itself in its health checks.
type processReport struct {
	configHash  string // of the configuration that it runs; "": unknown
	recordState string // state of its idempotency store
	canHandover bool   // it supports the hand-over
}

// wakeUp starts the next round of the instance's loop without delay. It never blocks.
func (inst *instance) wakeUp() {
	select {
	case inst.wake <- struct{}{}:
	default:
	}
}

// instanceStatus returns an instance's status for the API. The caller holds a.mu.
func (a *Agent) instanceStatus(inst *instance) api.Instance {
	out := api.Instance{
		Name: inst.config.Name, Host: a.config.Name, Labels: maps.Clone(inst.config.Labels), Listen: inst.config.listen,
		Desired: inst.stored.Desired, State: string(inst.supervisor.Phase()), Reason: inst.supervisor.Reason(),
		Release: inst.stored.Release, Running: inst.stored.Running, Previous: inst.stored.Previous,
		Generation: inst.stored.Generation, Process: inst.stored.Process, PID: inst.stored.PID,
		Launched: inst.stored.Launched, Since: inst.supervisor.Since(), Restarts: inst.stored.Restarts, LastExit: inst.stored.LastExit,
		Record: inst.reported.recordState, AdminAddress: inst.config.adminAddress, Rate: inst.history.rate(),
	}
	if l := a.leases.ByInstance[inst.config.Name]; l.Live(time.Now()) {
		out.LeaseHolder = l.Holder
	}
	for _, operation := range a.operations {
		if operation.State != api.OpClosed && a.isTarget(&operation.Operation, inst.config.Name) {
			out.Operation = operation.ID
		}
	}
	return out
}
