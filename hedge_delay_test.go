package martendrum

import (
	"math"
	"testing"
)

// answeredSamples returns samples with the latencies, none of them censored.
func answeredSamples(times ...float64) []sample {
	var s []sample
	for _, t := range times {
		s = append(s, sample{latency: t})
	}
	return s
}

// fitSurvival returns the survival estimate of the samples.
func fitSurvival(samples []sample) *survival {
	s, scratch := new(survival), []sample(nil)
	s.estimate(samples, &scratch)
	return s
}

// The estimate of Pr(T > t) is right with ties and with censored samples before, at and after t.
func TestSurvival(t *testing.T) {
	for _, test := range []struct {
		name    string
		samples []sample
		at      float64
		want    float64
	}{
		{"no samples", nil, 1, 1},
		{"before the first", answeredSamples(2, 4), 1, 1},
		{"at a sample", answeredSamples(1, 2, 3, 4), 2, 0.5},
		{"ties", answeredSamples(1, 1, 1, 4), 1, 0.25},
		// One of the three samples is answered at 1, which leaves 2/3. The one at 2 is
		// censored, so only one is left at 3, and its answer leaves 0.
		{"censored between", []sample{{1, false}, {2, true}, {3, false}}, 2.5, 2.0 / 3},
		{"censored then answered", []sample{{1, false}, {2, true}, {3, false}}, 3, 0},
		// If the censored sample counted as answered at 2, the result would be 0.5.
		{"censored first", []sample{{3, false}, {1, false}, {2, true}, {4, false}}, 3, 0.375},
		{"all censored", []sample{{1, true}, {2, true}}, 5, 1},
		{"a tie of both kinds", []sample{{1, true}, {1, false}, {2, false}}, 1, 2.0 / 3},
	} {
		if got := fitSurvival(test.samples).tailProbability(test.at); math.Abs(got-test.want) > 1e-12 {
			t.Errorf("%s: Pr(T > %v) = %v, want %v", test.name, test.at, got, test.want)
		}
	}
}

// The success rate combines the latencies of first attempts and hedges. Pairs lower it where late first
// attempts have late hedges.
func TestSuccessRate(t *testing.T) {
	// Ten first attempts are answered at 1 to 10. At d = 6 four of them are unanswered, so a
	// budget of 0.2 hedges half of them: q = 0.5. Two of ten are late at t = 8. Half of the
	// hedges are answered within t-d = 2, so a hedge is in time with probability 0.5.
	primary := fitSurvival(answeredSamples(1, 2, 3, 4, 5, 6, 7, 8, 9, 10))
	hedge := fitSurvival(answeredSamples(1, 2, 3, 4))
	if got, want := successRate(primary, hedge, nil, 0.2, 8, 6), 0.8+0.5*0.2*0.5; math.Abs(got-want) > 1e-12 {
		t.Errorf("success rate without pairs = %v, want %v", got, want)
	}
	// Twelve pairs with X > 8 whose hedges were all late weigh as much as the prior. The
	// probability that a hedge is in time is then half of what it is without pairs.
	var slow []pair
	for range 12 {
		slow = append(slow, pair{9, 9})
	}
	if got, want := successRate(primary, hedge, slow, 0.2, 8, 6), 0.8+0.5*0.2*0.25; math.Abs(got-want) > 1e-12 {
		t.Errorf("success rate with 12 pairs of two late attempts = %v, want %v", got, want)
	}
}

// The optimal delay is the one that leaves only the slow attempts to hedge.
func TestComputeOptimalSingleR(t *testing.T) {
	// 90 first attempts are answered at 1 and 10 at 100 or later; hedges are answered after 1.
	// At d = 1 only the 10 slow attempts are unanswered, so B = 0.1 hedges all of them, and they
	// are answered at 2 in place of 100.
	var primary []sample
	for range 90 {
		primary = append(primary, sample{latency: 1})
	}
	for i := range 10 {
		primary = append(primary, sample{latency: 100 + float64(i)})
	}
	if d := computeOptimalSingleR(fitSurvival(primary), fitSurvival(answeredSamples(1, 1, 1)), nil, 0.95, 0.1); d != 1 {
		t.Errorf("delay with 10 slow attempts of 100 = %v, want 1", d)
	}
	if d := computeOptimalSingleR(fitSurvival(nil), fitSurvival(nil), nil, 0.95, 0.1); d != 0 {
		t.Errorf("delay without samples = %v, want 0", d)
	}
}
