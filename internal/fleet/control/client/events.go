package client

import (
	"time"

	"martendrum/internal/fleet/control/rollout"
)

// Event is something that an operator may want to see while an operation runs.
type Event struct {
	At       time.Time `json:"at"`
	Kind     string    `json:"kind"` // begin, ok, failed, silent, answers, note; of stages: stage, verdict, wait, hold, worse
	Host     string    `json:"host,omitempty"`
	Instance string    `json:"instance,omitempty"`
	Step     string    `json:"step,omitempty"`
	Text     string    `json:"text,omitempty"`
	Done     int       `json:"done"` // targets that have come to their end
	Of       int       `json:"of"`
}

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

// notifyChanges tells what has changed.
func (r *runner) notifyChanges() {
	for i, t := range r.machine.Targets() {
		if r.shownStates[i] == t.State {
			continue
		}
		r.shownStates[i], r.lastChange = t.State, time.Now()
		kind := ""
		switch t.State {
		case rollout.Changed, rollout.RolledBack:
			kind = "ok"
		case rollout.Failed, rollout.RollbackFailed:
			kind = "failed"
		}
		if kind != "" {
			r.notify(Event{Kind: kind, Host: t.Host, Instance: t.Instance, Step: string(t.State), Text: t.Reason})
		}
	}
}
