package stage

import (
	"fmt"
	"slices"
	"time"

	"martendrum/internal/fleet/canary"
)

// Values of Plan.OnInconclusive: what happens when a stage has lasted MaxDuration without a
// conclusive verdict.
const (
	Hold = "hold"  // no further change begins until the stage passes or an operator releases it
	GoOn = "go-on" // the next stage begins
)

// Plan is the stages of a change. Its durations count time with evidence only: slots that
// were not observed, and slots during a pause, do not count.
type Plan struct {
	StageSizes     []int         `msgpack:"Upto" json:"Upto"`             // how many targets, in order, run the change by the end of each stage
	MinDuration    time.Duration `msgpack:"Least" json:"Least"`           // each stage lasts at least this long
	MaxDuration    time.Duration `msgpack:"Longest" json:"Longest"`       // after this time without a conclusive verdict, OnInconclusive decides
	Slot           time.Duration `msgpack:"Slot" json:"Slot"`             // length of a slot
	HistorySlots   int           `msgpack:"Past" json:"Past"`             // slots of history required before anything is changed
	OnInconclusive string        `msgpack:"OnCantTell" json:"OnCantTell"` // Hold or GoOn
}

// Check returns an error that names the first invalid values of a plan for n targets.
func (p *Plan) Check(n int) error {
	switch {
	case len(p.StageSizes) == 0 || p.StageSizes[len(p.StageSizes)-1] != n || p.StageSizes[0] < 1 || !slices.IsSorted(p.StageSizes):
		return fmt.Errorf("stages %v of %d instances; want ascending sizes, the last of which includes all instances", p.StageSizes, n)
	case p.Slot <= 0 || p.MinDuration < 0 || p.MaxDuration < p.MinDuration || p.HistorySlots < 1:
		return fmt.Errorf("slot %v, least %v, longest %v, past %d; want slot above 0, 0 <= least <= longest, past at least 1", p.Slot, p.MinDuration, p.MaxDuration, p.HistorySlots)
	case p.OnInconclusive != Hold && p.OnInconclusive != GoOn:
		return fmt.Errorf("on-cant-tell is %q; want %s or %s", p.OnInconclusive, Hold, GoOn)
	}
	return nil
}

// State is the progress of a staged change. The caller stores it, so that another run of a
// command can resume the change.
type State struct {
	Stage       int    `msgpack:"stage" json:"stage"`           // number of the current stage, from 1; 0 before the first
	Slots       int    `msgpack:"slots" json:"slots"`           // number of slots with evidence in the current stage
	LastSlot    int    `msgpack:"looked" json:"looked"`         // the latest slot that was observed
	HoldReason  string `msgpack:"held" json:"held,omitempty"`   // why the change waits for an operator; "" if it does not
	PauseReason string `msgpack:"pause" json:"pause,omitempty"` // why slots do not count at present; "" if they do
	Worse       string `msgpack:"worse" json:"worse,omitempty"` // why the change was judged worse; "" if it was not
	Done        bool   `msgpack:"done" json:"done"`             // the last stage has passed
	// From is the index, in the order of the targets, at which the current stage begins.
	From int `msgpack:"from" json:"from"`
}

// Observation is what is known at the end of a slot.
type Observation struct {
	Slot         int // number of the slot; a slot that is observed again is ignored
	HistorySlots int // number of complete slots of history
	Judgement    canary.Judgement
	Settled      bool   // every target of the stages so far has been changed or has failed
	EvidenceGap  string // why the evidence is incomplete, "" if it is complete
}

// Machine moves a change through the stages of a plan. It is not safe for concurrent use.
type Machine struct {
	plan  Plan
	state State
}

// New returns a machine for n targets in the given state: the zero State to begin, or a
// stored one to resume. It returns an error if the plan or the state is invalid.
func New(p Plan, s State, n int) (*Machine, error) {
	if err := p.Check(n); err != nil {
		return nil, fmt.Errorf("stages: %w", err)
	}
	if s.Stage < 0 || s.Stage > len(p.StageSizes) || s.Slots < 0 {
		return nil, fmt.Errorf("stages: invalid stored state: stage %d of %d", s.Stage, len(p.StageSizes))
	}
	return &Machine{plan: p, state: s}, nil
}

// State returns the progress of the change.
func (m *Machine) State() State { return m.state }

// Open returns how many targets, in order, may be changed so far.
func (m *Machine) Open() int {
	if m.state.Stage == 0 {
		return 0
	}
	return m.plan.StageSizes[m.state.Stage-1]
}

// Release is an operator's order to move a held change to its next stage although the
// evidence is inconclusive. It returns an error if the change is not held or was
// judged worse.
func (m *Machine) Release() error {
	switch {
	case m.state.Worse != "":
		return fmt.Errorf("the change was judged worse (%s): fix it and start a new operation; evidence on this release does not count for another one", m.state.Worse)
	case m.state.HoldReason == "":
		return fmt.Errorf("the change is not on hold")
	}
	m.next()
	return nil
}

// next enters the next stage, or ends the plan after the last one.
func (m *Machine) next() {
	m.state.From = m.Open()
	m.state.Slots, m.state.HoldReason, m.state.PauseReason = 0, "", ""
	if m.state.Stage == len(m.plan.StageSizes) {
		m.state.Done = true
		return
	}
	m.state.Stage++
}

// Observe advances the change by the observation of a slot. It reports whether the state has
// changed in a way that must be stored before the caller acts on it.
func (m *Machine) Observe(o Observation) (changed bool) {
	s := &m.state
	if s.Done || s.Worse != "" || s.LastSlot >= o.Slot {
		return false
	}
	before := *s
	s.LastSlot = o.Slot
	switch {
	case s.Stage == 0:
		m.observeHistory(o)
	case o.Judgement.Verdict == canary.Worse:
		s.Worse, s.HoldReason, s.PauseReason = o.Judgement.Evidence[0].String(), "", ""
	default:
		m.observeStage(o)
	}
	before.LastSlot, before.Slots = s.LastSlot, s.Slots // another slot by itself need not be stored
	return before != *s
}

// observeHistory begins the first stage once there is enough history.
func (m *Machine) observeHistory(o Observation) {
	switch {
	case o.EvidenceGap != "":
		m.state.PauseReason = o.EvidenceGap
	case o.HistorySlots < m.plan.HistorySlots:
		m.state.PauseReason = fmt.Sprintf("%d of %d slots of history have been collected", o.HistorySlots, m.plan.HistorySlots)
	default:
		m.next()
	}
}

// observeStage counts a slot of evidence, unless something pauses the stage, and decides
// whether the stage ends or holds.
func (m *Machine) observeStage(o Observation) {
	s := &m.state
	s.PauseReason = ""
	switch {
	case !o.Settled:
		return // the time of the stage begins once each of its targets has been changed or has failed
	case o.EvidenceGap != "":
		s.PauseReason = o.EvidenceGap
		return
	case len(o.Judgement.Degradations) > 0:
		x := o.Judgement.Degradations[0]
		s.PauseReason = fmt.Sprintf("the unchanged instances do worse than before (%s %.4g, was %.4g): the cause may be the change or something else; the evidence does not show which", x.Measure, x.Now, x.Usual)
		return
	}
	s.Slots++
	spent := time.Duration(s.Slots) * m.plan.Slot
	switch {
	case s.HoldReason != "":
		if o.Judgement.Verdict == canary.NotWorse {
			m.next() // the missing evidence has arrived
		}
	case spent < m.plan.MinDuration:
	case o.Judgement.Verdict == canary.NotWorse:
		m.next()
	case spent < m.plan.MaxDuration:
	case m.plan.OnInconclusive == GoOn:
		m.next()
	default:
		s.HoldReason = fmt.Sprintf("after %v the evidence does not show whether stage %d does worse: %s", spent, s.Stage, firstInconclusive(o.Judgement))
	}
}

// firstInconclusive names the first inconclusive test that keeps the change on hold.
func firstInconclusive(j canary.Judgement) string {
	for _, e := range j.Evidence {
		if e.Verdict == canary.Inconclusive && !e.Advisory {
			return e.String()
		}
	}
	return "no evidence"
}
