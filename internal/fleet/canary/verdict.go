package canary

import (
	"fmt"
)

// Verdict is what is known of a test, or of a change.
type Verdict string

// The verdicts.
const (
	Worse        Verdict = "worse"
	NotWorse     Verdict = "not worse"
	Inconclusive Verdict = "can't tell yet"
)

// Evidence is a test's verdict with the figures it rests on.
type Evidence struct {
	Test
	Verdict Verdict `json:"verdict"`
	// Estimate is how much more of the measure the changed ones have, in its unit;
	// with the stated certainty the truth lies above Low, and likewise below High.
	Estimate float64 `json:"estimate"`
	Low      float64 `json:"low"`
	High     float64 `json:"high"`
	Margin   Margin  `json:"margin"`
	// Usual is the unchanged ones' rate.
	Usual     float64 `json:"usual"`
	Changed   int     `json:"changed"` // instances
	Unchanged int     `json:"unchanged"`
	Exposure  float64 `json:"exposure"` // of the changed ones: requests, attempts or minutes
	// Needs is by what factor Exposure must grow before harm of Margin.Exclude can
	// be ruled out, if the estimate stays; 0: more of it will not do, or no need.
	Needs float64 `json:"needs,omitempty"`
	Why   string  `json:"why,omitempty"` // of a verdict that can't be told
	// Advisory says that it can't be told and does not keep the whole from being told.
	Advisory bool `json:"aside,omitempty"`

	variance, expectedEvents, seenEvents, driftFloor float64
}

func (e Evidence) String() string {
	s := fmt.Sprintf("%s: %s", e.Test, e.Verdict)
	if e.High > e.Low { // else there were no bounds to speak of
		s += fmt.Sprintf(": %+.4g, between %+.4g and %+.4g", e.Estimate, e.Low, e.High)
	}
	if e.Changed > 0 {
		s += fmt.Sprintf(" (usual %.4g; %d changed, %d not; exposure %.0f)", e.Usual, e.Changed, e.Unchanged, e.Exposure)
	}
	if e.Why != "" {
		s += ": " + e.Why
	}
	if e.Needs > 0 {
		s += fmt.Sprintf(", wants %.1f times as much", e.Needs)
	}
	return s
}

// Judgement is what is known at a look.
type Judgement struct {
	Verdict      Verdict        `json:"verdict"`
	Evidence     []Evidence     `json:"evidence"` // worse first, then what can't be told, the asides last
	Degradations []Degradation  `json:"suffering,omitempty"`
	Excluded     map[Reason]int `json:"left_out,omitempty"` // windows, by reason
	Slots        int            `json:"slots"`              // of evidence since the start
}
