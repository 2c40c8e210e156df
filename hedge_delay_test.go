package martendrum

import (
	"math"
	"testing"
)

func answeredSamples(times ...float64) []sample {
	var s []sample
	for _, t := range times {
		s = append(s, sample{latency: t})
	}
	return s
}

func fitSurvival(samples []sample) *survival {
	s, scratch := new(survival), []sample(nil)
	s.estimate(samples, &scratch)
	return s
}

func TestSurvival(t *testing.T) {
	for _, c := range []struct {
		name    string
		samples []sample
		at      float64
		want    float64
	}{
		{"no sample", nil, 1, 1},
		{"before the first", answeredSamples(2, 4), 1, 1},
		{"at a sample", answeredSamples(1, 2, 3, 4), 2, 0.5},
		{"ties", answeredSamples(1, 1, 1, 4), 1, 0.25},
		// Three at risk at 1 leave 2/3; the one at 2 is censored, so that one
		// is at risk at 3 and takes all that remains.
		{"censored between", []sample{{1, false}, {2, true}, {3, false}}, 2.5, 2.0 / 3},
		{"censored then answered", []sample{{1, false}, {2, true}, {3, false}}, 3, 0},
		// Counting the censored one as answered at 2 would give 0.5 here.
		{"censored first", []sample{{3, false}, {1, false}, {2, true}, {4, false}}, 3, 0.375},
		{"all censored", []sample{{1, true}, {2, true}}, 5, 1},
		{"a tie of both kinds", []sample{{1, true}, {1, false}, {2, false}}, 1, 2.0 / 3},
	} {
		if got := fitSurvival(c.samples).tailProbability(c.at); math.Abs(got-c.want) > 1e-12 {
			t.Errorf("%s: Pr(T > %v) = %v, want %v", c.name, c.at, got, c.want)
		}
	}
}

func TestSuccessRate(t *testing.T) {
	// Ten first attempts answered at 1..10. With d = 6, four are unanswered, so a budget of
	// 0.2 hedges half of them. By t = 8 two of ten are late; hedges answered within t-d = 2
	// rescue half of them with q = 0.5.
	x := fitSurvival(answeredSamples(1, 2, 3, 4, 5, 6, 7, 8, 9, 10))
	y := fitSurvival(answeredSamples(1, 2, 3, 4))
	if got, want := successRate(x, y, nil, 0.2, 8, 6), 0.8+0.5*0.2*0.5; math.Abs(got-want) > 1e-12 {
		t.Errorf("independent: %v, want %v", got, want)
	}
	// Twelve complete pairs with X > 8 whose hedges were all slow weigh as much as the
	// prior: half of what independence gives.
	var slow []pair
	for range 12 {
		slow = append(slow, pair{9, 9})
	}
	if got, want := successRate(x, y, slow, 0.2, 8, 6), 0.8+0.5*0.2*0.25; math.Abs(got-want) > 1e-12 {
		t.Errorf("correlated: %v, want %v", got, want)
	}
}

func TestComputeOptimalSingleR(t *testing.T) {
	// 90 answers at 1 and 10 stragglers at 100; hedges answer at 1. A hedge at
	// any d up to the second answers by d+1, and B = 0.1 covers every
	// straggler once only they remain at d = 1: the tail falls from 100 to 2.
	var x []sample
	for range 90 {
		x = append(x, sample{latency: 1})
	}
	for i := range 10 {
		x = append(x, sample{latency: 100 + float64(i)})
	}
	if d := computeOptimalSingleR(fitSurvival(x), fitSurvival(answeredSamples(1, 1, 1)), nil, 0.95, 0.1); d != 1 {
		t.Errorf("d = %v, want 1", d)
	}
	if d := computeOptimalSingleR(fitSurvival(nil), fitSurvival(nil), nil, 0.95, 0.1); d != 0 {
		t.Errorf("without samples d = %v, want 0", d)
	}
}
