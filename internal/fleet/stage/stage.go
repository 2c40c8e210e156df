package stage

import (
	"fmt"
	"slices"
	"time"

	"martendrum/internal/fleet/canary"
)

// What is done on a verdict.
const (
	Hold = "hold" // nothing new is changed until an operator says so, or it passes
	GoOn = "go-on"
)

// Plan is what stages there are. Times are of evidence: time in which nobody
// looked, or in which a hold was on, does not count.
type Plan struct {
	Upto           []int         `msgpack:"Upto" json:"Upto"` // how many targets, in order, run the change by the end of each stage
	MinDuration    time.Duration `msgpack:"Least" json:"Least"`
	MaxDuration    time.Duration `msgpack:"Longest" json:"Longest"`
	Slot           time.Duration `msgpack:"Slot" json:"Slot"`
	HistorySlots   int           `msgpack:"Past" json:"Past"`             // slots of the past that are wanted before anything is changed
	OnInconclusive string        `msgpack:"OnCantTell" json:"OnCantTell"` // at Longest: Hold or GoOn
}

// Check says what is wrong with a plan for n targets.
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

// State is where a change stands. It is written down by those who carry it out, so
// that whoever goes on with it starts from there.
type State struct {
	Stage       int    `msgpack:"stage" json:"stage"` // 0: none has begun
	Slots       int    `msgpack:"slots" json:"slots"` // of evidence in it, holds aside
	LastSlot    int    `msgpack:"looked" json:"looked"`
	HoldReason  string `msgpack:"held" json:"held,omitempty"` // why it waits for an operator
	PauseReason string `msgpack:"pause" json:"pause,omitempty"`
	Worse       string `msgpack:"worse" json:"worse,omitempty"` // why it was stopped
	Done        bool   `msgpack:"done" json:"done"`
	// From is the place in the order at which the present stage begins.
	From int `msgpack:"from" json:"from"`
}

// Observation is what is known at the end of a slot.
type Observation struct {
	Slot         int // its number; a slot is looked at once
	HistorySlots int // slots of the past that there are
	Judgement    canary.Judgement
	Settled      bool   // every target of the stages so far has come to its end
	EvidenceGap  string // why the evidence is not whole, "" if it is
}

// Machine walks a plan.
type Machine struct {
	plan  Plan
	state State
}

// New returns a machine at the given state: the zero one, or what was written down.
func New(p Plan, s State, n int) (*Machine, error) {
	if err := p.Check(n); err != nil {
		return nil, fmt.Errorf("stages: %w", err)
	}
	if s.Stage < 0 || s.Stage > len(p.Upto) || s.Slots < 0 {
		return nil, fmt.Errorf("stages: the state says stage %d of %d", s.Stage, len(p.Upto))
	}
	return &Machine{plan: p, state: s}, nil
}

// State is where the change stands.
func (m *Machine) State() State { return m.state }

// Open is how many targets, in order, may be changed by now.
func (m *Machine) Open() int {
	if m.state.Stage == 0 {
		return 0
	}
	return m.plan.Upto[m.state.Stage-1]
}

// Release is an operator's word that a held change goes on to its next stage,
// whatever can't be told. It says why not, if it may not.
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

func (m *Machine) next() {
	m.state.From = m.Open()
	m.state.Slots, m.state.HoldReason, m.state.PauseReason = 0, "", ""
	if m.state.Stage == len(m.plan.Upto) {
		m.state.Done = true
		return
	}
	m.state.Stage++
}

// Observe takes what is known at a slot's end, and says whether the state has changed
// in a way that is to be written down before anything is done.
func (m *Machine) Observe(l Observation) (changed bool) {
	s := &m.state
	if s.Done || s.Worse != "" || s.LastSlot >= l.Slot {
		return false
	}
	before := *s
	s.LastSlot = l.Slot
	defer func() {
		before.LastSlot, before.Slots = s.LastSlot, s.Slots // each slot's passing is no news by itself
		changed = before != *s
	}()
	if s.Stage == 0 {
		switch {
		case l.EvidenceGap != "":
			s.PauseReason = l.EvidenceGap
		case l.HistorySlots < m.plan.HistorySlots:
			s.PauseReason = fmt.Sprintf("%d of %d slots of the past are there", l.HistorySlots, m.plan.HistorySlots)
		default:
			m.next()
		}
		return
	}
	if l.Judgement.Verdict == canary.Worse {
		s.Worse, s.HoldReason, s.PauseReason = l.Judgement.Evidence[0].String(), "", ""
		return
	}
	s.PauseReason = ""
	switch {
	case !l.Settled:
		return // its time begins once all of it runs
	case l.EvidenceGap != "":
		s.PauseReason = l.EvidenceGap
		return
	case len(l.Judgement.Suffering) > 0:
		x := l.Judgement.Suffering[0]
		s.PauseReason = fmt.Sprintf("the unchanged ones do worse than before (%s %.4g, was %.4g): the change's doing or a bad day, which can't be told apart", x.Measure, x.Now, x.Usual)
		return
	}
	s.Slots++
	spent := time.Duration(s.Slots) * m.plan.Slot
	switch {
	case s.HoldReason != "":
		if l.Judgement.Verdict == canary.NotWorse {
			m.next() // what was missing has come
		}
	case spent < m.plan.MinDuration:
	case l.Judgement.Verdict == canary.NotWorse:
		m.next()
	case spent < m.plan.MaxDuration:
	case m.plan.OnInconclusive == GoOn:
		m.next()
	default:
		s.HoldReason = fmt.Sprintf("after %v it can't be told whether stage %d does worse: %s", spent, s.Stage, missing(l.Judgement))
	}
	return
}

// missing names the first test that can't be told.
func missing(j canary.Judgement) string {
	for _, e := range j.Evidence {
		if e.Verdict == canary.Inconclusive && !e.Aside {
			return e.String()
		}
	}
	return "no evidence"
}
