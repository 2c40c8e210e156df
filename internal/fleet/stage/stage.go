package stage

import (
	"fmt"
	"slices"
	"time"

	"martendrum/internal/fleet/canary"
)

// What is done when a stage has lasted MaxDuration without a conclusive verdict.
const (
	Hold = "hold"  // no further change begins until an operator releases the stage or it passes
	GoOn = "go-on" // the next stage begins
)

// Plan is the stages of a change. Durations are of evidence: time without an
// observation, and time that a pause took, does not count.
type Plan struct {
	Upto           []int         `msgpack:"Upto" json:"Upto"` // how many targets, in order, run the change by the end of each stage
	MinDuration    time.Duration `msgpack:"Least" json:"Least"`
	MaxDuration    time.Duration `msgpack:"Longest" json:"Longest"`
	Slot           time.Duration `msgpack:"Slot" json:"Slot"`
	HistorySlots   int           `msgpack:"Past" json:"Past"`             // slots of history required before anything is changed
	OnInconclusive string        `msgpack:"OnCantTell" json:"OnCantTell"` // at MaxDuration: Hold or GoOn
}

// Check returns an error that names the invalid values of a plan for n targets.
func (p *Plan) Check(n int) error {
	switch {
	case len(p.Upto) == 0 || p.Upto[len(p.Upto)-1] != n || p.Upto[0] < 1 || !slices.IsSorted(p.Upto):
		return fmt.Errorf("stages %v of %d instances; want rising sizes that end with all of them", p.Upto, n)
	case p.Slot <= 0 || p.MinDuration < 0 || p.MaxDuration < p.MinDuration || p.HistorySlots < 1:
		return fmt.Errorf("slot %v, least %v, longest %v, past %d; want slot above 0, 0 <= least <= longest, a past of 1 at least", p.Slot, p.MinDuration, p.MaxDuration, p.HistorySlots)
	case p.OnInconclusive != Hold && p.OnInconclusive != GoOn:
		return fmt.Errorf("on-cant-tell is %q; want %s or %s", p.OnInconclusive, Hold, GoOn)
	}
	return nil
}

// State is the progress of a change. The driver stores it, so that another run of a
// command can resume from it.
type State struct {
	Stage       int    `msgpack:"stage" json:"stage"` // 1 for the first; 0: none has begun
	Slots       int    `msgpack:"slots" json:"slots"` // of evidence in the stage, without pauses
	LastSlot    int    `msgpack:"looked" json:"looked"`
	HoldReason  string `msgpack:"held" json:"held,omitempty"` // why it waits for an operator
	PauseReason string `msgpack:"pause" json:"pause,omitempty"`
	Worse       string `msgpack:"worse" json:"worse,omitempty"` // why it was stopped
	Done        bool   `msgpack:"done" json:"done"`
	// From is the index in the order at which the current stage begins.
	From int `msgpack:"from" json:"from"`
}

// Observation is what is known at the end of a slot.
type Observation struct {
	Slot         int // its number; a slot is observed once
	HistorySlots int // complete slots of history
	Judgement    canary.Judgement
	Settled      bool   // every target of the stages so far has been changed or has failed
	EvidenceGap  string // why the evidence is incomplete, "" if it is complete
}

// Machine moves a change through the stages of a plan.
type Machine struct {
	plan  Plan
	state State
}

// New returns a machine in the given state: the zero state, or a stored one.
func New(p Plan, s State, n int) (*Machine, error) {
	if err := p.Check(n); err != nil {
		return nil, fmt.Errorf("stages: %w", err)
	}
	if s.Stage < 0 || s.Stage > len(p.Upto) || s.Slots < 0 {
		return nil, fmt.Errorf("stages: the state says stage %d of %d", s.Stage, len(p.Upto))
	}
	return &Machine{plan: p, state: s}, nil
}

// State is the progress of the change.
func (m *Machine) State() State { return m.state }

// Open is how many targets, in order, may be changed so far.
func (m *Machine) Open() int {
	if m.state.Stage == 0 {
		return 0
	}
	return m.plan.Upto[m.state.Stage-1]
}

// Release is an operator's order to move a held change to its next stage although the
// evidence is inconclusive. It returns an error if the change is not held or was
// judged worse.
func (m *Machine) Release() error {
	switch {
	case m.state.Worse != "":
		return fmt.Errorf("it was judged worse (%s): mend it and begin anew; evidence of this release is not counted for another", m.state.Worse)
	case m.state.HoldReason == "":
		return fmt.Errorf("it does not hold")
	}
	m.next()
	return nil
}

// next enters the next stage, or ends the plan after the last one.
func (m *Machine) next() {
	m.state.From = m.Open()
	m.state.Slots, m.state.HoldReason, m.state.PauseReason = 0, "", ""
	if m.state.Stage == len(m.plan.Upto) {
		m.state.Done = true
		return
	}
	m.state.Stage++
}

// Observe takes the observation of a slot. It reports whether the state has changed in a
// way that must be stored before anything is done.
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
	before.LastSlot, before.Slots = s.LastSlot, s.Slots // the passing of a slot alone is no change
	return before != *s
}

// observeHistory begins the first stage once there is enough history.
func (m *Machine) observeHistory(o Observation) {
	switch {
	case o.EvidenceGap != "":
		m.state.PauseReason = o.EvidenceGap
	case o.HistorySlots < m.plan.HistorySlots:
		m.state.PauseReason = fmt.Sprintf("%d of %d slots of the past are there", o.HistorySlots, m.plan.HistorySlots)
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
		return // the stage's time begins once all of its targets run the change
	case o.EvidenceGap != "":
		s.PauseReason = o.EvidenceGap
		return
	case len(o.Judgement.Degradations) > 0:
		x := o.Judgement.Degradations[0]
		s.PauseReason = fmt.Sprintf("the unchanged ones do worse than before (%s %.4g, was %.4g): the change's doing or a bad day, which can't be told apart", x.Measure, x.Now, x.Usual)
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
		s.HoldReason = fmt.Sprintf("after %v it can't be told whether stage %d does worse: %s", spent, s.Stage, missing(o.Judgement))
	}
}

// missing names the first inconclusive test that holds the change.
func missing(j canary.Judgement) string {
	for _, e := range j.Evidence {
		if e.Verdict == canary.Inconclusive && !e.Advisory {
			return e.String()
		}
	}
	return "no evidence"
}
