package client

import (
	"time"

	"martendrum/internal/fleet/control/rollout"
)

// Kinds of events. See Event.Kind.
const (
	EventBegin   = "begin"   // a step starts
	EventOK      = "ok"      // an instance was changed or rolled back
	EventFailed  = "failed"  // a step failed
	EventSilent  = "silent"  // a host has stopped answering
	EventAnswers = "answers" // a silent host answers again
	EventNote    = "note"    // a message in Text

	// Kinds that only staged changes have.
	EventStage   = "stage"   // a stage starts or the last one has passed
	EventVerdict = "verdict" // the canary analysis has a new verdict
	EventWait    = "wait"    // the change waits for evidence
	EventHold    = "hold"    // the change waits for an operator
	EventWorse   = "worse"   // the change was judged worse and the rollout stops
)

// Event reports something that happened during the run of an operation, for the operator to follow
// the progress.
type Event struct {
	At       time.Time `json:"at"`
	Kind     string    `json:"kind"` // one of the Event constants
	Host     string    `json:"host,omitempty"`
	Instance string    `json:"instance,omitempty"`
	Step     string    `json:"step,omitempty"`
	Text     string    `json:"text,omitempty"`
	Done     int       `json:"done"` // number of targets that have an outcome
	Of       int       `json:"of"`   // number of targets
}

// notify fills in the time and the counts of an event and passes it to Options.Progress, if set.
func (r *runner) notify(e Event) {
	if r.options.Progress == nil {
		return
	}
	e.At, e.Of = time.Now(), len(r.reportedStates)
	for _, t := range r.machine.Targets() {
		if t.State != rollout.Pending && t.State != rollout.Changing && t.State != rollout.Unknown && t.State != rollout.RollingBack {
			e.Done++
		}
	}
	r.options.Progress(e)
}

// notifyChanges sends an event for each target that has succeeded or failed since the last call. A
// change of any target's state also restarts the time after which the run gives up.
func (r *runner) notifyChanges() {
	for i, t := range r.machine.Targets() {
		if r.reportedStates[i] == t.State {
			continue
		}
		r.reportedStates[i], r.lastChange = t.State, time.Now()
		kind := ""
		switch t.State {
		case rollout.Changed, rollout.RolledBack:
			kind = EventOK
		case rollout.Failed, rollout.RollbackFailed:
			kind = EventFailed
		}
		if kind != "" {
			r.notify(Event{Kind: kind, Host: t.Host, Instance: t.Instance, Step: string(t.State), Text: t.Reason})
		}
	}
}
