// Package rollout decides how a change goes through a set of instances: which are
// next, when to wait, to stop or to take back, and what is known of each. It is
// pure: it does no I/O and reads no clock. Its driver tells it what happened and
// carries out what Next returns, in order.
//
// It promises, for every sequence of events: no step is asked for twice; no step
// that takes an available instance down is asked for while that would make more
// than MaxUnavailable of the targets unavailable; and once the driver says that
// it waits no longer (GiveUp, Stuck), it comes to an end.
package rollout

import (
	"fmt"

	"martendrum/internal/fleet/api"
)

// State is what is known of a target.
type State string

const (
	Pending        State = "pending"         // not touched
	Changing       State = "changing"        // its step is under way
	Changed        State = "changed"         // and has succeeded
	Failed         State = "failed"          // or failed
	Unknown        State = "unknown"         // or its agent went silent meanwhile
	RollingBack    State = "rolling back"    // a step back is under way
	RolledBack     State = "rolled back"     // and has succeeded
	RollbackFailed State = "rollback failed" // or failed
)

// Results of an operation.
const (
	Succeeded  = "succeeded"
	Stopped    = "stopped"     // too many failures, or no way on
	WentBack   = "rolled back" // too many failures; all that was changed is as before
	BackFailed = "rollback incomplete"
	Paused     = "paused"
	Aborted    = "aborted"
	Incomplete = "incomplete" // of some targets the outcome is not known, or they were not reached
	SomeFailed = "finished with failures"
)

// Target is a target and what is known of it.
type Target struct {
	api.Target
	State  State
	Reason string
	Batch  int
	Place  api.Place // where it is, for the policy's limits
	down   bool      // observed to be unavailable while no step runs
	back   bool      // a rollback was asked for
}

// Action is a step to begin, Kind api.Change or api.Rollback, or the end: Kind "".
type Action struct {
	Target int
	Kind   string
}

// Machine is a rolling change.
type Machine struct {
	policy  api.Policy
	targets []Target
	silent  map[string]bool
	gaveUp  map[string]bool
	open    int    // targets before it may be changed
	more    bool   // more is to come, though all that may be changed is
	from    int    // a rollback of the stage takes back targets from it on
	tripped string // why nothing new is changed
	aborted bool
	stuck   bool
	result  string
}

// New returns a machine with all targets pending. places, where given, say where each
// target is.
func New(p api.Policy, targets []api.Target, places ...api.Place) (*Machine, error) {
	if err := p.Check(len(targets)); err != nil {
		return nil, fmt.Errorf("rollout: %w", err)
	}
	if len(places) != 0 && len(places) != len(targets) {
		return nil, fmt.Errorf("rollout: %d places of %d targets", len(places), len(targets))
	}
	m := &Machine{policy: p, silent: make(map[string]bool), gaveUp: make(map[string]bool), open: len(targets)}
	seen := make(map[api.Target]bool)
	for _, t := range targets {
		if seen[t] {
			return nil, fmt.Errorf("rollout: %s on %s is there twice", t.Instance, t.Host)
		}
		seen[t] = true
		x := Target{Target: t, State: Pending}
		if len(places) > 0 {
			x.Place = places[len(m.targets)]
		}
		m.targets = append(m.targets, x)
	}
	for n, b := range Batches(p, len(targets)) {
		for _, i := range b {
			m.targets[i].Batch = n
		}
	}
	return m, nil
}

// Open says that only the first n targets may be changed so far, and that the stage
// under way begins at the target from. With more, the machine waits after them too.
func (m *Machine) Open(n, from int, more bool) { m.open, m.from, m.more = n, from, more }

// Settled says that every target that may be changed so far has come to its end.
func (m *Machine) Settled() bool {
	for i := range m.targets[:m.open] {
		if m.unfinished(&m.targets[i]) {
			return false
		}
	}
	return true
}

// unfinished says whether a target that may be changed is still waited for.
func (m *Machine) unfinished(t *Target) bool {
	return t.State == Pending && !m.gaveUp[t.Host] || t.State == Changing || t.State == Unknown && !m.gaveUp[t.Host]
}

// Trip tells that what was changed is judged worse: nothing new is changed, and
// the policy says what becomes of the rest.
func (m *Machine) Trip(reason string) {
	if m.tripped == "" {
		m.tripped = reason
	}
}

// Targets is what is known of each, in order. The caller must not change it.
func (m *Machine) Targets() []Target { return m.targets }

// Result is the end's, "" before it; Why tells what stopped it.
func (m *Machine) Result() string { return m.result }
func (m *Machine) Why() string    { return m.tripped }

// Recall takes over what an agent's record says of a target's steps, before the
// first Next or at any time later: status is that of api.Step.
func (m *Machine) Recall(i int, kind, status, reason string) {
	t := &m.targets[i]
	if kind == api.Rollback {
		t.back = true
		if m.tripped == "" {
			m.tripped = "the rollback had begun"
		}
	} else if t.back {
		return // what came before the step back
	}
	m.note(t, kind, status, reason)
	if m.result == "" {
		m.judge(t)
	}
}

func (m *Machine) note(t *Target, kind, status, reason string) {
	t.Reason, t.down = reason, false
	states := map[string]State{api.StepRunning: Changing, api.StepOK: Changed, api.StepFailed: Failed}
	if kind == api.Rollback {
		states = map[string]State{api.StepRunning: RollingBack, api.StepOK: RolledBack, api.StepFailed: RollbackFailed}
	}
	t.State = states[status]
	if status == api.StepFailed {
		t.down = true // until seen otherwise
	}
	if status == api.StepRunning && m.silent[t.Host] {
		t.State = Unknown
	}
}

// judge counts failures; a failed canary is one too many.
func (m *Machine) judge(t *Target) {
	if m.tripped != "" {
		return
	}
	if t.Batch == 0 && m.policy.Canaries > 0 && (t.State == Failed || t.State == Unknown && m.gaveUp[t.Host]) {
		m.tripped = fmt.Sprintf("canary %s %s: %s", t.Instance, t.State, t.Reason)
		return
	}
	failed, last := 0, ""
	for i := range m.targets {
		x := &m.targets[i]
		if x.State == Failed || x.State == Unknown && m.gaveUp[x.Host] {
			failed++
			last = fmt.Sprintf("%s %s: %s", x.Instance, x.State, x.Reason)
		}
	}
	if failed > m.policy.MaxFailures {
		m.tripped = fmt.Sprintf("%d failed and %d may (%s)", failed, m.policy.MaxFailures, last)
	}
}

// Done tells how a step that Next asked for has ended.
func (m *Machine) Done(i int, kind string, ok bool, reason string) {
	status := api.StepFailed
	if ok {
		status = api.StepOK
	}
	m.Recall(i, kind, status, reason)
}

// Down tells whether a target was seen to be unavailable, steps aside.
func (m *Machine) Down(i int, down bool) { m.targets[i].down = down }

// Silent tells that a host's agent does not answer: of its running steps nothing is
// known, and its other instances can't be seen.
func (m *Machine) Silent(host, reason string) {
	m.silent[host] = true
	for i := range m.targets {
		if t := &m.targets[i]; t.Host == host && (t.State == Changing || t.State == RollingBack) {
			t.State, t.Reason = Unknown, reason
		}
	}
}

// Answers tells that a host's agent is back. Steps that were under way are so
// again, until Recall or Done says otherwise.
func (m *Machine) Answers(host string) {
	delete(m.silent, host)
	delete(m.gaveUp, host)
	for i := range m.targets {
		if t := &m.targets[i]; t.Host == host && t.State == Unknown {
			t.State, t.Reason = Changing, ""
			if t.back {
				t.State = RollingBack
			}
		}
	}
}

// GiveUp tells that a silent host is waited for no longer: its unknown steps count
// as failures, and nothing waits for its pending targets.
func (m *Machine) GiveUp(host string) {
	if !m.silent[host] {
		return
	}
	m.gaveUp[host] = true
	for i := range m.targets {
		if t := &m.targets[i]; t.Host == host && t.State == Unknown {
			m.judge(t)
		}
	}
}

// Stuck tells that nothing has changed for as long as the driver waits, while Next
// could begin nothing and nothing ran.
func (m *Machine) Stuck() {
	if m.running() == 0 {
		m.stuck = true
		if m.tripped == "" {
			m.tripped = "max-unavailable is used up by instances that are down"
		}
	}
}

// Abort begins nothing new; what is under way is waited for.
func (m *Machine) Abort(reason string) {
	m.aborted = true
	if m.tripped == "" {
		m.tripped = reason
	}
}
