package simulation

import (
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"martendrum/internal/fleet/canary"
)

// Method is a way to judge a change. Each method is applied after each slot since the
// change's start.
type Method string

// The methods that are compared.
const (
	Sequential Method = "confidence sequences"
	Threshold  Method = "fixed threshold"
	TTest      Method = "repeated t-test"
)

// Methods are all methods, that of package canary first.
var Methods = []Method{Sequential, Threshold, TTest}

// The simpler methods, as they are commonly configured: a threshold on the difference of
// the unserved fractions over the last minute, and Welch's t-test of that difference over
// all slots so far. Both are applied to each class.
const (
	thresholdDifference = 0.02
	thresholdSlots      = 6
	tTestLevel          = 0.01
	minTTestSlots       = 3
)

// The arms of a run, as indices.
const (
	unchangedArm = iota
	changedArm
	arms
)

// lossHistory is the fractions of requests that were not served, by arm, slot and class;
// NaN where there was no request.
type lossHistory [arms][][]float64

// add adds the windows of a slot.
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

// countByArm adds up the unserved and all requests of windows by arm and class.
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

// recent is the fractions of a class at an arm over the last slots that had requests.
func (h *lossHistory) recent(arm, class, slots int) (out []float64) {
	rows := h[arm]
	for _, row := range rows[max(0, len(rows)-slots):] {
		if !math.IsNaN(row[class]) {
			out = append(out, row[class])
		}
	}
	return out
}

// exceedsThreshold reports whether the fixed threshold stops the change.
func (h *lossHistory) exceedsThreshold(class int) bool {
	changed, unchanged := h.recent(changedArm, class, thresholdSlots), h.recent(unchangedArm, class, thresholdSlots)
	return len(changed) == thresholdSlots && len(unchanged) == thresholdSlots && stat.Mean(changed, nil)-stat.Mean(unchanged, nil) > thresholdDifference
}

// failsTTest reports whether Welch's one-sided t-test stops the change.
func (h *lossHistory) failsTTest(class int) bool {
	a, b := h.recent(changedArm, class, slotsPlayed), h.recent(unchangedArm, class, slotsPlayed)
	if len(a) < minTTestSlots || len(b) < minTTestSlots {
		return false
	}
	meanA, varianceA := stat.MeanVariance(a, nil)
	meanB, varianceB := stat.MeanVariance(b, nil)
	sa, sb := varianceA/float64(len(a)), varianceB/float64(len(b)) // squared standard errors
	if sa+sb <= 0 {
		return false
	}
	df := (sa + sb) * (sa + sb) / (sa*sa/float64(len(a)-1) + sb*sb/float64(len(b)-1))
	t := (meanA - meanB) / math.Sqrt(sa+sb)
	return t > 0 && 1-(distuv.StudentsT{Mu: 0, Sigma: 1, Nu: df}).CDF(t) < tTestLevel
}
