package canary

import (
	"fmt"
)

// Verdict is the result of a test, or of all tests of a change.
type Verdict string

// The verdicts. The texts are values of the JSON output.
const (
	Worse        Verdict = "worse"
	NotWorse     Verdict = "not worse"
	Inconclusive Verdict = "can't tell yet"
)

// Evidence is the verdict of one test, and the numbers from which it follows.
type Evidence struct {
	Test
	Verdict Verdict `json:"verdict"`
	// Estimate is by how much the measure is higher at the changed instances than at the
	// unchanged ones, in its unit. Low and High bound the true value, each with the
	// confidence that follows from Config.FalseStops; both are 0 if there are no bounds.
	Estimate float64 `json:"estimate"`
	Low      float64 `json:"low"`
	High     float64 `json:"high"`
	Margin   Margin  `json:"margin"`
	// Usual is the rate of the unchanged instances over all slots; 0 for a gauge.
	Usual     float64 `json:"usual"`
	Changed   int     `json:"changed"`   // number of changed instances
	Unchanged int     `json:"unchanged"` // number of unchanged instances, including those that were changed in a later stage
	Exposure  float64 `json:"exposure"`  // of the changed instances: requests, attempts or minutes; values of a gauge
	// Needs is the factor by which Exposure must grow for an excess of Margin.Exclude to be
	// ruled out, if the estimate stays the same; 0: more exposure does not help or is not
	// needed.
	Needs float64 `json:"needs,omitempty"`
	Why   string  `json:"why,omitempty"` // why the verdict is inconclusive
	// Advisory marks an inconclusive test that does not make the judgement inconclusive.
	Advisory bool `json:"aside,omitempty"`

	variance, expectedEvents, seenEvents, driftFloor float64
}

// String returns the evidence in one line, for operators.
func (e Evidence) String() string {
	s := fmt.Sprintf("%s: %s", e.Test, e.Verdict)
	if e.High > e.Low { // otherwise there are no bounds
		s += fmt.Sprintf(": %+.4g, between %+.4g and %+.4g", e.Estimate, e.Low, e.High)
	}
	if e.Changed > 0 {
		s += fmt.Sprintf(" (usual %.4g; %d changed, %d not; exposure %.0f)", e.Usual, e.Changed, e.Unchanged, e.Exposure)
	}
	if e.Why != "" {
		s += ": " + e.Why
	}
	if e.Needs > 0 {
		s += fmt.Sprintf(", needs %.1f times as much exposure", e.Needs)
	}
	return s
}

// Judgement is the result of one evaluation.
type Judgement struct {
	Verdict      Verdict        `json:"verdict"`
	Evidence     []Evidence     `json:"evidence"` // in this order: worse, inconclusive, not worse, advisory
	Degradations []Degradation  `json:"suffering,omitempty"`
	Excluded     map[Reason]int `json:"left_out,omitempty"` // number of windows by reason
	Slots        int            `json:"slots"`              // number of evaluated slots since Config.Start
}
