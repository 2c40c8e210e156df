package client

import (
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/canary"
	"martendrum/internal/fleet/stage"
)

// staged runs a staged change: it collects the metrics of all hosts, evaluates them, and lets the
// rollout change the targets of the next stage once a stage has passed. Each decision is stored at an
// agent, in a note, before it takes effect.
type staged struct {
	*evidence
	runner          *runner
	machine         *stage.Machine
	judgement       canary.Judgement   // the latest
	sources         map[string]*source // by host
	note            api.Note
	notePending     bool   // the note must be stored before its decisions take effect
	noteInFlight    bool   // writeNote's calls are open
	notifiedVerdict string // verdict of the latest EventVerdict
}

// setUpStages prepares a staged change. The change continues from note, the latest that the agents
// have, or begins if note is nil.
func (r *runner) setUpStages(note *api.Note) error {
	spec := r.operation.Staged
	start := spec.Judge.MaxSlots // until the first stage starts, all slots count as history
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

// openTargets lets the rollout change the targets of the stages so far, and stops the rollout if the
// change was judged worse.
func (s *staged) openTargets() {
	state := s.machine.State()
	s.runner.machine.Open(s.machine.Open(), state.From, !state.Done)
	if state.Worse != "" {
		s.runner.machine.Trip("judged worse: " + state.Worse)
	}
}

// evaluate runs the canary analysis up to the latest slot, if that slot is new, and advances the
// stages accordingly. While a note is pending, it does nothing but write the note again.
func (s *staged) evaluate() {
	slot := s.latestSlot()
	if s.runner.machine.Why() != "" {
		return // the rollout is being stopped
	}
	if slot < 0 || s.noteInFlight || s.notePending || slot <= s.machine.State().LastSlot {
		if s.notePending && !s.noteInFlight {
			s.writeNote()
		}
		return
	}
	s.judgement = s.judge.Evaluate(slot + 1)
	for i := range s.windowBuilders {
		for reason, n := range s.windowBuilders[i].Excluded {
			s.judgement.Excluded[reason] += n
		}
	}
	before := s.machine.State()
	changed := s.machine.Observe(stage.Observation{
		Slot:         slot,
		HistorySlots: s.judge.CompleteSlots(slot + 1),
		Judgement:    s.judgement,
		Settled:      s.runner.machine.Settled(),
		EvidenceGap:  s.missingEvidence(),
	})
	state := s.machine.State()
	if before.Stage == 0 && state.Stage > 0 {
		s.note.Start = slot + 1
		s.judge.SetStart(s.note.Start)
	}
	s.notify(slot, before, state)
	s.note.State = state
	if changed || state.Slots >= noteSlots && state.Slots%noteSlots == 0 && before.Slots != state.Slots {
		s.notePending = true
		s.writeNote()
	}
}
