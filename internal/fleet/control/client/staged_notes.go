package client

import (
	"context"
	"errors"
	"fmt"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/canary"
	"martendrum/internal/fleet/stage"
)

// noteSlots is how often a note is written where only time has passed, in slots.
const noteSlots = 6

// release is an operator's word to go on; it is written down before it is acted on.
func (s *staged) release() error {
	before := s.machine.State()
	if err := s.machine.Release(); err != nil {
		return err
	}
	s.note.State, s.notePending = s.machine.State(), true
	s.addVerdict(api.Verdict{Stage: before.Stage, Text: "let go on by " + s.runner.options.LeaseHolder + ", which held: " + before.HoldReason})
	return nil
}

// addVerdict keeps a verdict in the note, of which the latest stay.
func (s *staged) addVerdict(v api.Verdict) {
	v.At = time.Now().UTC()
	s.note.Log = append(s.note.Log, v)
	s.note.Log = s.note.Log[max(0, len(s.note.Log)-api.MaxVerdicts):]
}

// notify notes a change of what is known, for the report and whoever watches.
func (s *staged) notify(slot int, before, now stage.State) {
	kind, text := "", ""
	switch {
	case now.Worse != before.Worse:
		kind, text = "worse", now.Worse
	case now.Stage != before.Stage:
		kind, text = "stage", fmt.Sprintf("stage %d of %d begins: %d of %d instances", now.Stage, len(s.spec.Plan.Upto), s.machine.Open(), len(s.runner.operation.Targets))
	case now.Done && !before.Done:
		kind, text = "stage", "the last stage has passed"
	case now.HoldReason != before.HoldReason && now.HoldReason != "":
		kind, text = "hold", now.HoldReason
	case now.PauseReason != before.PauseReason && now.PauseReason != "":
		kind, text = "wait", now.PauseReason
	}
	if kind == "" {
		if line := string(s.judgement.Verdict); now.Stage > 0 && line != s.notifiedVerdict {
			s.notifiedVerdict = line
			s.runner.notify(Event{Kind: "verdict", Text: line})
		}
		return
	}
	v := api.Verdict{Slot: slot, Stage: now.Stage, Verdict: string(s.judgement.Verdict), Text: text}
	for n, e := range s.judgement.Evidence {
		if n == 4 || e.Verdict == canary.NotWorse || kind != "worse" && kind != "hold" {
			break
		}
		v.Evidence = append(v.Evidence, e.String())
	}
	s.addVerdict(v)
	s.runner.notify(Event{Kind: kind, Text: text})
}

// writeNote writes the note at all hosts at once; it is in force once one has it.
func (s *staged) writeNote() {
	s.noteInFlight = true
	s.note.Number++
	s.note.At, s.note.By = time.Now().UTC(), s.runner.options.LeaseHolder
	note := s.note
	note.Log = append([]api.Verdict(nil), note.Log...)
	r := s.runner
	r.wg.Go(func() {
		var agents []*Agent
		for _, host := range r.hostNames {
			agents = append(agents, r.hostRuns[host].agent)
		}
		errs := ForEach(agents, func(_ int, a *Agent) error {
			ctx, cancel := context.WithTimeout(r.ctx, r.fleet.Timeout)
			defer cancel()
			token := r.hostRuns[a.Host.Name].leaseToken()
			if token == 0 {
				return errors.New("not held")
			}
			return a.Call(ctx, api.OpNote, &api.NoteIn{Op: r.operation.ID, Token: token, Note: note}, nil)
		})
		got := 0
		for _, err := range errs {
			if err == nil {
				got++
			}
		}
		select {
		case r.notesWritten <- got:
		case <-r.ctx.Done():
		}
	})
}

// noteWritten goes on once the note is at a host, or tries again at the next look.
func (s *staged) noteWritten(hosts int) {
	s.noteInFlight = false
	if hosts == 0 {
		return
	}
	s.notePending = false
	s.openTargets()
}

// latestNote is the note that went furthest.
func latestNote(outs map[string]*api.OpOut) (note *api.Note) {
	for _, out := range outs {
		if n := out.Operation.Note; n != nil && (note == nil || n.Number > note.Number) {
			note = n
		}
	}
	return note
}
