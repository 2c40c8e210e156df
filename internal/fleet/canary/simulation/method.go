package simulation

import (
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"martendrum/internal/fleet/canary"
)

// Method is a way to judge a change. Each method is applied after each slot since the change
// started, until it stops the change.
type Method string

// The compared methods. The texts are printed and are part of the JSON output.
const (
	Sequential Method = "confidence sequences"
	Threshold  Method = "fixed threshold"
	TTest      Method = "repeated t-test"
)

// Methods lists all methods. The first one is that of package canary.
var Methods = []Method{Sequential, Threshold, TTest}

// The parameters of the two simpler methods, as they are commonly configured: a threshold on
// the difference of the unserved fractions over the last minute, and Welch's t-test of that
// difference over all slots so far. Both are applied to each class.
const (
	thresholdDifference = 0.02
	thresholdSlots      = 6    // one minute
	tTestLevel          = 0.01 // significance level
	minTTestSlots       = 3
)

// The arms of a run, as indices: instances that run the base release, and instances that run
// the change.
const (
	unchangedArm = iota
	changedArm
	arms
)

// lossHistory holds the fractions of requests that were not served, by arm, slot since the
// change started, and class; NaN where there was no request.
type lossHistory [arms][][]float64

// add adds the windows of the next slot.
func (h *lossHistory) add(windows []canary.Window) {
	unserved, all := countByArm(windows)
	for arm := range h {
		row := make([]float64, len(classes))
		for class := range row {
			row[class] = unserved[arm][class] / all[arm][class]
		}
		h[arm] = append(h[arm], row)
	}
}

// countByArm counts the unserved requests and all requests of the windows, by arm and class.
func countByArm(windows []canary.Window) (unserved, all [arms][classCount]float64) {
	for _, w := range windows {
		arm := unchangedArm
		if w.Release == changeRelease {
			arm = changedArm
		}
		for class, counts := range w.Classes {
			unserved[arm][class] += float64(counts.Rejected + counts.Failed)
			all[arm][class] += float64(counts.Served + counts.Rejected + counts.Failed)
		}
	}
	return unserved, all
}

// recent returns the fractions of a class at an arm in the last slots, without slots that had
// no request.
func (h *lossHistory) recent(arm, class, slots int) (out []float64) {
	rows := h[arm]
	for _, row := range rows[max(0, len(rows)-slots):] {
		if !math.IsNaN(row[class]) {
			out = append(out, row[class])
		}
	}
	return out
}

// thresholdStops reports whether the fixed threshold stops the change because of a class.
func (h *lossHistory) thresholdStops(class int) bool {
	changed, unchanged := h.recent(changedArm, class, thresholdSlots), h.recent(unchangedArm, class, thresholdSlots)
	return len(changed) == thresholdSlots && len(unchanged) == thresholdSlots && stat.Mean(changed, nil)-stat.Mean(unchanged, nil) > thresholdDifference
}

// tTestStops reports whether Welch's one-sided t-test stops the change because of a class.
func (h *lossHistory) tTestStops(class int) bool {
	changed, unchanged := h.recent(changedArm, class, slotsPerRun), h.recent(unchangedArm, class, slotsPerRun)
	if len(changed) < minTTestSlots || len(unchanged) < minTTestSlots {
		return false
	}
	changedMean, changedVariance := stat.MeanVariance(changed, nil)
	unchangedMean, unchangedVariance := stat.MeanVariance(unchanged, nil)
	// a and b are the squared standard errors of the two means.
	a, b := changedVariance/float64(len(changed)), unchangedVariance/float64(len(unchanged))
	if a+b <= 0 {
		return false
	}
	degreesOfFreedom := (a + b) * (a + b) / (a*a/float64(len(changed)-1) + b*b/float64(len(unchanged)-1))
	t := (changedMean - unchangedMean) / math.Sqrt(a+b)
	return t > 0 && 1-(distuv.StudentsT{Mu: 0, Sigma: 1, Nu: degreesOfFreedom}).CDF(t) < tTestLevel
}
