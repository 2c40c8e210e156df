package martendrum

import (
	"cmp"
	"slices"
	"sort"
)

// survival is a Kaplan-Meier estimate: tail[i] is Pr(T > times[i]).
type survival struct {
	times []float64
	tail  []float64
}

// estimate fits s to samples, some of them censored. Without censoring the
// tail is the plain share of samples above each time.
func (s *survival) estimate(samples []sample, scratch *[]sample) {
	sorted := append((*scratch)[:0], samples...)
	*scratch = sorted
	slices.SortFunc(sorted, func(a, b sample) int { return cmp.Compare(a.latency, b.latency) })
	s.times, s.tail = s.times[:0], s.tail[:0]
	alive := 1.0
	for i := 0; i < len(sorted); {
		at, answered, j := sorted[i].latency, 0, i
		for ; j < len(sorted) && sorted[j].latency == at; j++ {
			if !sorted[j].censored {
				answered++
			}
		}
		if answered > 0 {
			alive *= 1 - float64(answered)/float64(len(sorted)-i)
			s.times = append(s.times, at)
			s.tail = append(s.tail, alive)
		}
		i = j
	}
}

// tailProbability is Pr(T > t).
func (s *survival) tailProbability(t float64) float64 {
	if i := sort.Search(len(s.times), func(i int) bool { return s.times[i] > t }); i > 0 {
		return s.tail[i-1]
	}
	return 1
}

// hedgeProbability is q: the probability of a copy at delay d that spends the budget.
func (s *survival) hedgeProbability(d, budget float64) float64 {
	return min(1, budget/max(s.tailProbability(d), 1e-9))
}

// computeOptimalSingleR is the paper's search with correlation (its Figure 1
// and section 4.2): it walks d up and t down over the sorted response times
// and returns the d that brings the k-th percentile lowest within budget B.
func computeOptimalSingleR(x, y *survival, pairs []pair, k, budget float64) float64 {
	if len(x.times) == 0 {
		return 0
	}
	top := len(x.times) - 1
	best := x.times[0]
	for i := 0; i <= top; i++ {
		d := x.times[i]
		for top > i && successRate(x, y, pairs, budget, x.times[top], d) > k {
			top--
			best = d
		}
	}
	return best
}

// successRate is the probability that a request is answered within t under
// SingleR with delay d.
func successRate(x, y *survival, pairs []pair, budget, t, d float64) float64 {
	late := x.tailProbability(t)
	q := x.hedgeProbability(d, budget)
	saved := 1 - y.tailProbability(t-d)
	var n, inTime float64
	for _, p := range pairs {
		if p.primary > t {
			n++
			if p.hedge <= t-d {
				inTime++
			}
		}
	}
	saved = (inTime + pairPrior*saved) / (n + pairPrior)
	return 1 - late + q*late*saved
}
