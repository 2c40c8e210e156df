package agent

import (
	"maps"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/distribution"
	"martendrum/internal/fleet/host/supervisor"
	"martendrum/internal/fleet/store"
)

const (
	// healthTimeout is how long a health call may take.
	healthTimeout = 800 * time.Millisecond
	// activeInterval is how often an instance is looked at while it starts or changes.
	activeInterval = 50 * time.Millisecond
	// retryInterval is how soon what the record kept from being done is tried again.
	retryInterval = time.Second
	// minReloadAge is the least age of a process that gets SIGHUP: a sidecar that has
	// just begun may not listen for it yet, and would end.
	minReloadAge = 1200 * time.Millisecond
	// reloadTimeout is how soon a sidecar must tell that it runs a new configuration.
	reloadTimeout = 5 * time.Second
)

// instance is one sidecar. Its goroutine, run, alone moves life and proc; the
// agent's lock guards them all the same, for those who look.
type instance struct {
	config InstanceConfig
	wake   chan struct{}

	stored           store.Instance
	supervisor       *supervisor.Supervisor
	process          *Process
	step             *api.Step // under way, nil for none
	dirty            bool      // the record may lack its row or steps
	exitedGeneration int64     // generation of a process that ended on its own, the latest
	configHash       string    // of the configuration that the process says it runs
	recordState      string    // how it says that its store of record does
	canHandover      bool      // it says that it can hand over
	abandonReason    string    // why a new process beside an old one is to be given up

	history sampleHistory // of its figures

	previous       *Process       // the process being replaced, nil for none
	storedPrevious store.Instance // the row as it told of prev

	applier *distribution.Applier // of distributed settings; nil: the host does not subscribe
	attempt *settingsAttempt      // of the applier, nil for none
	// attemptCrashes counts the processes that ended in an attempt since the last answer.
	attemptCrashes int
	program        string // the release of the latest process, "" if none is known
	// settledAt is the revision at which the instance last waited for no settings.
	settledAt distribution.Revision
	// pendingReported says that the relay was told of settings that the instance waits for.
	pendingReported bool

	writtenConfigHash string    // of the configuration last written for it
	reloadSentAt      time.Time // of the step's SIGHUP
	launchRetryAt     time.Time
}

func (i *instance) wakeUp() {
	select {
	case i.wake <- struct{}{}:
	default:
	}
}

// instanceStatus is the instance as the API tells it.
func (a *Agent) instanceStatus(i *instance) api.Instance {
	out := api.Instance{
		Name: i.config.Name, Host: a.config.Name, Labels: maps.Clone(i.config.Labels), Listen: i.config.listen,
		Desired: i.stored.Desired, State: string(i.supervisor.Phase()), Reason: i.supervisor.Reason(),
		Release: i.stored.Release, Running: i.stored.Running, Previous: i.stored.Previous,
		Generation: i.stored.Generation, Process: i.stored.Process, PID: i.stored.PID,
		Launched: i.stored.Launched, Since: i.supervisor.Since(), Restarts: i.stored.Restarts, LastExit: i.stored.LastExit,
		Record: i.recordState, AdminAddress: i.config.adminAddress, Rate: i.history.rate(),
	}
	if l := a.leases.ByInstance[i.config.Name]; l.Live(time.Now()) {
		out.LeaseHolder = l.Holder
	}
	for _, o := range a.operations {
		if o.State != api.OpClosed && a.isTarget(&o.Operation, i.config.Name) {
			out.Operation = o.ID
		}
	}
	return out
}
