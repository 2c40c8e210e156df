package client

import (
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/canary"
	"martendrum/internal/fleet/stage"
)

// staged carries out a change in stages: it gathers figures of all hosts, has them
// judged, and opens the targets of a stage once the one before has passed. What is
// decided, it writes down at the agents before it acts on it.
type staged struct {
	*evidence
	runner          *runner
	machine         *stage.Machine
	judgement       canary.Judgement
	sources         map[string]*source
	note            api.Note
	notePending     bool   // the note is to be written before anything is done on it
	noteInFlight    bool   // it is being written
	notifiedVerdict string // verdict last told
}

// setUpStages sets a staged change up at the latest note that any host has.
func (r *runner) setUpStages(note *api.Note) error {
	spec := r.operation.Staged
	start := spec.Judge.MaxSlots // all is past so far
	s := &staged{runner: r, sources: make(map[string]*source)}
	if note != nil {
		s.note = *note
		if note.State.Stage > 0 {
			start = note.Start
		}
	}
	var err error
	if s.evidence, err = newEvidence(&r.operation, start); err != nil {
		return err
	}
	if s.machine, err = stage.New(spec.Plan, s.note.State, len(r.operation.Targets)); err != nil {
		return err
	}
	for _, host := range r.hostNames {
		s.sources[host] = &source{lastBoundary: spec.First - 1, lastMetrics: time.Now()}
	}
	r.staged = s
	s.openTargets()
	return nil
}

// openTargets lets the rollout begin what the stages allow.
func (s *staged) openTargets() {
	state := s.machine.State()
	s.runner.machine.Open(s.machine.Open(), state.From, !state.Done)
	if state.Worse != "" {
		s.runner.machine.Trip("judged worse: " + state.Worse)
	}
}

// evaluate judges the slots that have passed since the last look.
func (s *staged) evaluate() {
	slot := s.latestSlot()
	if s.runner.machine.Why() != "" {
		return // it was stopped, for this or another reason
	}
	if slot < 0 || s.noteInFlight || s.notePending || slot <= s.machine.State().Looked {
		if s.notePending && !s.noteInFlight {
			s.writeNote()
		}
		return
	}
	s.judgement = s.judge.Evaluate(slot + 1)
	for i := range s.differs {
		for reason, n := range s.differs[i].Left {
			s.judgement.Left[reason] += n
		}
	}
	before := s.machine.State()
	changed := s.machine.Look(stage.Look{Slot: slot, HistorySlots: s.judge.CompleteSlots(slot + 1), Judgement: s.judgement, Settled: s.runner.machine.Settled(), Blind: s.missingEvidence()})
	state := s.machine.State()
	if before.Stage == 0 && state.Stage > 0 {
		s.note.Start = slot + 1
		s.judge.Begin(s.note.Start)
	}
	s.notify(slot, before, state)
	s.note.State = state
	if changed || state.Slots >= noteSlots && state.Slots%noteSlots == 0 && before.Slots != state.Slots {
		s.notePending = true
		s.writeNote()
	}
}
