package client

import (
	"context"
	"fmt"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/canary"
	"martendrum/internal/fleet/stage"
)

// noteSlots is the number of slots of evidence after which a note is written although no decision was
// made.
const noteSlots = 6

// release moves a change that is on hold to its next stage, once the note with that decision is stored.
// It returns an error if the change is not on hold or was judged worse.
func (s *staged) release() error {
	before := s.machine.State()
	if err := s.machine.Release(); err != nil {
		return err
	}
	s.note.State, s.notePending = s.machine.State(), true
	s.addVerdict(api.Verdict{Stage: before.Stage, Text: "released by " + s.runner.options.LeaseHolder + " from its hold: " + before.HoldReason})
	return nil
}

// addVerdict adds a verdict to the note, which retains the latest api.MaxVerdicts.
func (s *staged) addVerdict(v api.Verdict) {
	v.At = time.Now().UTC()
	s.note.Log = append(s.note.Log, v)
	s.note.Log = s.note.Log[max(0, len(s.note.Log)-api.MaxVerdicts):]
}

// maxEvidence bounds the lines of evidence in a verdict.
const maxEvidence = 4

// notify sends an event for a change of the stages' state and adds the change to the note. If the state
// is unchanged, it sends an event for a new verdict of the canary analysis.
func (s *staged) notify(slot int, before, now stage.State) {
	kind, text := "", ""
	switch {
	case now.Worse != before.Worse:
		kind, text = EventWorse, now.Worse
	case now.Stage != before.Stage:
		kind, text = EventStage, fmt.Sprintf("stage %d of %d begins: %d of %d instances", now.Stage, len(s.spec.Plan.StageSizes), s.machine.Open(), len(s.runner.operation.Targets))
	case now.Done && !before.Done:
		kind, text = EventStage, "the last stage has passed"
	case now.HoldReason != before.HoldReason && now.HoldReason != "":
		kind, text = EventHold, now.HoldReason
	case now.PauseReason != before.PauseReason && now.PauseReason != "":
		kind, text = EventWait, now.PauseReason
	}
	if kind == "" {
		if verdict := string(s.judgement.Verdict); now.Stage > 0 && verdict != s.notifiedVerdict {
			s.notifiedVerdict = verdict
			s.runner.notify(Event{Kind: EventVerdict, Text: verdict})
		}
		return
	}
	v := api.Verdict{Slot: slot, Stage: now.Stage, Verdict: string(s.judgement.Verdict), Text: text}
	for n, e := range s.judgement.Evidence {
		if n == maxEvidence || e.Verdict == canary.NotWorse || kind != EventWorse && kind != EventHold {
			break
		}
		v.Evidence = append(v.Evidence, e.String())
	}
	s.addVerdict(v)
	s.runner.notify(Event{Kind: kind, Text: text})
}

// writeNote starts storing the note at all hosts concurrently and does not wait for them. It is enough
// that one host stores it; the number of hosts that did arrives in r.notesWritten.
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
				return fmt.Errorf("host %s: the note was not written because no lease is held", a.Host.Name)
			}
			return a.Call(ctx, api.OpNote, &api.NoteIn{Op: r.operation.ID, Token: token, Note: note}, nil)
		})
		hosts := 0
		for _, err := range errs {
			if err == nil {
				hosts++
			}
		}
		select {
		case r.notesWritten <- hosts:
		case <-r.ctx.Done():
		}
	})
}

// noteWritten ends the writing of a note that the given number of hosts have stored. If at least one
// has, the note's decisions take effect; otherwise the next evaluation writes the note again.
func (s *staged) noteWritten(hosts int) {
	s.noteInFlight = false
	if hosts == 0 {
		return
	}
	s.notePending = false
	s.openTargets()
}

// latestNote returns the note with the highest number among the statuses of the hosts, or nil if there
// is none.
func latestNote(statuses map[string]*api.OpOut) (note *api.Note) {
	for _, status := range statuses {
		if n := status.Operation.Note; n != nil && (note == nil || n.Number > note.Number) {
			note = n
		}
	}
	return note
}
