// Package rollout decides how a change proceeds through a set of instances: which
// instances are changed next, and when to wait, stop or roll back. It also tracks the
// state of each instance. It is pure: it does no I/O and reads no clock. Its caller, the
// driver, reports events and carries out the steps that Next returns, in order.
//
// It promises, for every sequence of events: Next returns no step twice; it returns
// no step that takes an available instance down while that would make more than
// MaxUnavailable of the targets unavailable; and once the driver stops waiting
// (GiveUp, Stuck), the rollout ends.
//
// It does not judge whether the change is worse than what it replaces, and it does not
// decide which targets a stage may change. Packages canary and stage make these decisions,
// and the driver passes them in through Trip and Open.
package rollout

import (
	"fmt"

	"martendrum/internal/fleet/api"
)

// State is the state of a target.
type State string

const (
	Pending        State = "pending"         // no step has begun
	Changing       State = "changing"        // the change is running
	Changed        State = "changed"         // the change succeeded
	Failed         State = "failed"          // the change failed
	Unknown        State = "unknown"         // the agent stopped answering during a step
	RollingBack    State = "rolling back"    // the rollback is running
	RolledBack     State = "rolled back"     // the rollback succeeded
	RollbackFailed State = "rollback failed" // the rollback failed
)

// Results of an operation. A rollout is stopped if too many targets or a canary failed, if
// the change was judged worse (Trip), or if no step could begin (Stuck).
const (
	Succeeded          = "succeeded"
	Stopped            = "stopped"                // stopped; changed targets stay changed
	AllRolledBack      = "rolled back"            // stopped; every target that the policy rolls back was rolled back
	RollbackIncomplete = "rollback incomplete"    // a rollback failed, or a target could not be rolled back
	Paused             = "paused"                 // stopped; an operator may resume
	Aborted            = "aborted"                // by an operator, or because the operation or its leases ended at a host
	Incomplete         = "incomplete"             // some targets have an unknown outcome or were not reached
	SomeFailed         = "finished with failures" // no more failures than the policy allows
)

// Target is an instance to be changed and its state.
type Target struct {
	api.Target
	State           State
	Reason          string    // why the step failed or its outcome is unknown
	Batch           int       // index of its batch; see Batches
	Place           api.Place // for the policy's limits by zone and shop
	down            bool      // observed to be unavailable while no step runs
	rollbackStarted bool      // Next has returned its rollback, or an agent's record has it
}

// Action is a step to begin. Kind is api.Change or api.Rollback; "" marks the end of
// the rollout.
type Action struct {
	Target int // index of the target
	Kind   string
}

// Machine is the state of a rolling change.
type Machine struct {
	policy      api.Policy
	targets     []Target
	silent      map[string]bool // by host: its agent does not answer
	gaveUp      map[string]bool // by host: the driver no longer waits for its agent
	openTargets int             // only the targets before this index may be changed
	moreStages  bool            // further stages will be opened, so the rollout does not end yet
	stageStart  int             // index of the first target of the current stage
	stopReason  string          // why no further change begins; "" if changes continue
	aborted     bool
	stuck       bool   // Stuck has ended the waiting
	result      string // "" until the rollout has ended
}

// New returns a machine with all targets pending. places is empty or contains the place
// of each target, in the same order. It returns an error if the policy is invalid, if a
// target is listed twice, or if the number of places does not match.
func New(p api.Policy, targets []api.Target, places ...api.Place) (*Machine, error) {
	if err := p.Check(len(targets)); err != nil {
		return nil, fmt.Errorf("rollout: %w", err)
	}
	if len(places) != 0 && len(places) != len(targets) {
		return nil, fmt.Errorf("rollout: %d places for %d targets", len(places), len(targets))
	}
	m := &Machine{policy: p, silent: make(map[string]bool), gaveUp: make(map[string]bool), openTargets: len(targets)}
	seen := make(map[api.Target]bool)
	for _, t := range targets {
		if seen[t] {
			return nil, fmt.Errorf("rollout: target %s on host %s is listed twice", t.Instance, t.Host)
		}
		seen[t] = true
		target := Target{Target: t, State: Pending}
		if len(places) > 0 {
			target.Place = places[len(m.targets)]
		}
		m.targets = append(m.targets, target)
	}
	for n, b := range Batches(p, len(targets)) {
		for _, i := range b {
			m.targets[i].Batch = n
		}
	}
	return m, nil
}

// Open allows changes to the first n targets, of which those from index from on belong to
// the current stage. If more is set, the rollout does not end after these targets.
func (m *Machine) Open(n, from int, more bool) {
	m.openTargets, m.stageStart, m.moreStages = n, from, more
}

// Settled reports whether each target that may be changed has an outcome or is no longer
// waited for.
func (m *Machine) Settled() bool {
	for i := range m.targets[:m.openTargets] {
		if m.unfinished(&m.targets[i]) {
			return false
		}
	}
	return true
}

// unfinished reports whether the rollout still waits for the outcome of a target's change.
func (m *Machine) unfinished(t *Target) bool {
	return t.State == Pending && !m.gaveUp[t.Host] || t.State == Changing || t.State == Unknown && !m.gaveUp[t.Host]
}

// Trip stops the rollout because the changed targets were judged worse: no further
// change begins, and the policy decides whether changed targets are rolled back.
func (m *Machine) Trip(reason string) {
	if m.stopReason == "" {
		m.stopReason = reason
	}
}

// Targets returns the state of each target, in order. The caller must not modify it.
func (m *Machine) Targets() []Target { return m.targets }

// Result returns the result of the rollout, "" until it has ended.
func (m *Machine) Result() string { return m.result }

// Why returns the reason why no further change begins, "" if there is none.
func (m *Machine) Why() string { return m.stopReason }

// ApplyStep applies the state of a step as an agent has recorded it. kind and status are
// those of api.Step. It may be called before the first Next, when an operation is resumed,
// or later.
func (m *Machine) ApplyStep(i int, kind, status, reason string) {
	t := &m.targets[i]
	if kind == api.Rollback {
		t.rollbackStarted = true
		if m.stopReason == "" {
			m.stopReason = "a rollback had already begun"
		}
	} else if t.rollbackStarted {
		return // the change preceded the rollback
	}
	m.setState(t, kind, status, reason)
	if m.result == "" {
		m.countFailures(t)
	}
}

// setState sets the state of a target from that of its latest step.
func (m *Machine) setState(t *Target, kind, status, reason string) {
	t.Reason, t.down = reason, false
	stateByStatus := map[string]State{api.StepRunning: Changing, api.StepOK: Changed, api.StepFailed: Failed}
	if kind == api.Rollback {
		stateByStatus = map[string]State{api.StepRunning: RollingBack, api.StepOK: RolledBack, api.StepFailed: RollbackFailed}
	}
	t.State = stateByStatus[status]
	if status == api.StepFailed {
		t.down = true // until a call of Down says otherwise
	}
	if status == api.StepRunning && m.silent[t.Host] {
		t.State = Unknown
	}
}

// countFailures stops the rollout if t is a failed canary, or if more targets have failed
// than the policy allows. A target with an unknown outcome counts as failed once the
// driver has given up its host.
func (m *Machine) countFailures(t *Target) {
	if m.stopReason != "" {
		return
	}
	if t.Batch == 0 && m.policy.Canaries > 0 && (t.State == Failed || t.State == Unknown && m.gaveUp[t.Host]) {
		m.stopReason = fmt.Sprintf("canary %s %s: %s", t.Instance, t.State, t.Reason)
		return
	}
	failed, last := 0, ""
	for i := range m.targets {
		target := &m.targets[i]
		if target.State == Failed || target.State == Unknown && m.gaveUp[target.Host] {
			failed++
			last = fmt.Sprintf("%s %s: %s", target.Instance, target.State, target.Reason)
		}
	}
	if failed > m.policy.MaxFailures {
		m.stopReason = fmt.Sprintf("%d targets failed, %d may fail (%s)", failed, m.policy.MaxFailures, last)
	}
}

// Done tells the machine the outcome of a step that Next has returned.
func (m *Machine) Done(i int, kind string, ok bool, reason string) {
	status := api.StepFailed
	if ok {
		status = api.StepOK
	}
	m.ApplyStep(i, kind, status, reason)
}

// Down tells the machine whether a target was observed to be unavailable while no step of
// it runs.
func (m *Machine) Down(i int, down bool) { m.targets[i].down = down }

// Silent tells the machine that a host's agent does not answer. The outcome of the host's
// running steps is then unknown, and all its targets count as unavailable.
func (m *Machine) Silent(host, reason string) {
	m.silent[host] = true
	for i := range m.targets {
		if t := &m.targets[i]; t.Host == host && (t.State == Changing || t.State == RollingBack) {
			t.State, t.Reason = Unknown, reason
		}
	}
}

// Answers tells the machine that a host's agent answers again. The host's steps with an
// unknown outcome count as running until ApplyStep or Done says otherwise.
func (m *Machine) Answers(host string) {
	delete(m.silent, host)
	delete(m.gaveUp, host)
	for i := range m.targets {
		if t := &m.targets[i]; t.Host == host && t.State == Unknown {
			t.State, t.Reason = Changing, ""
			if t.rollbackStarted {
				t.State = RollingBack
			}
		}
	}
}

// GiveUp stops waiting for a silent host: its steps with an unknown outcome count as
// failures, and the rollout may end without its pending targets.
func (m *Machine) GiveUp(host string) {
	if !m.silent[host] {
		return
	}
	m.gaveUp[host] = true
	for i := range m.targets {
		if t := &m.targets[i]; t.Host == host && t.State == Unknown {
			m.countFailures(t)
		}
	}
}

// Stuck tells the machine that nothing has changed for as long as the driver is willing to
// wait. If no step is running, the rollout then ends.
func (m *Machine) Stuck() {
	if m.running() == 0 {
		m.stuck = true
		if m.stopReason == "" {
			m.stopReason = "max-unavailable is used up by instances that are down"
		}
	}
}

// Abort stops the rollout: no further step begins, and the rollout ends once running steps
// have ended.
func (m *Machine) Abort(reason string) {
	m.aborted = true
	if m.stopReason == "" {
		m.stopReason = reason
	}
}
