package client

import (
	"time"

	"martendrum/internal/fleet/control/rollout"
)

// Kinds of events.
const (
	EventBegin   = "begin"   // a step starts
	EventOK      = "ok"      // an instance was changed or rolled back
	EventFailed  = "failed"  // a step failed
	EventSilent  = "silent"  // a host does not answer
	EventAnswers = "answers" // a silent host answers again
	EventNote    = "note"    // a message in Text

	// Of staged changes.
	EventStage   = "stage"   // a stage starts or the last one has passed
	EventVerdict = "verdict" // the verdict of the canary analysis has changed
	EventWait    = "wait"    // the change waits for evidence
	EventHold    = "hold"    // the change waits for an operator
	EventWorse   = "worse"   // the change does harm and is rolled back
)

// Event is a change that an operator may want to see while an operation runs.
type Event struct {
	At       time.Time `json:"at"`
	Kind     string    `json:"kind"` // one of the Event constants
	Host     string    `json:"host,omitempty"`
	Instance string    `json:"instance,omitempty"`
	Step     string    `json:"step,omitempty"`
	Text     string    `json:"text,omitempty"`
	Done     int       `json:"done"` // targets that are finished
	Of       int       `json:"of"`   // all targets
}

// notify completes an event and passes it to the caller of the run.
func (r *runner) notify(e Event) {
	if r.options.Progress == nil {
		return
	}
	e.At, e.Of = time.Now(), len(r.shownStates)
	for _, t := range r.machine.Targets() {
		if t.State != rollout.Pending && t.State != rollout.Changing && t.State != rollout.Unknown && t.State != rollout.RollingBack {
			e.Done++
		}
	}
	r.options.Progress(e)
}

// notifyChanges reports the targets whose state has changed.
func (r *runner) notifyChanges() {
	for i, t := range r.machine.Targets() {
		if r.shownStates[i] == t.State {
			continue
		}
		r.shownStates[i], r.lastChange = t.State, time.Now()
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
