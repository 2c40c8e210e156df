package martendrum

import (
	"cmp"
	"slices"
	"sort"
)

const (
	// pairPrior is the weight, in complete pairs, of the unconditional estimate when it is
	// mixed with the conditional one, which has few samples.
	pairPrior = 12.0
	// minTailProbability keeps the hedge probability finite where no sample is above the delay.
	minTailProbability = 1e-9
)

// survival is a Kaplan-Meier estimate: tail[i] is Pr(T > times[i]).
type survival struct {
	times []float64 // ascending
	tail  []float64
}

// estimate fits s to samples, some of them censored. Without censoring the tail is the
// fraction of samples above each time. scratch is working memory.
func (s *survival) estimate(samples []sample, scratch *[]sample) {
	sorted := append((*scratch)[:0], samples...)
	*scratch = sorted
	slices.SortFunc(sorted, func(a, b sample) int { return cmp.Compare(a.latency, b.latency) })
	s.times = s.times[:0]
	s.tail = s.tail[:0]
	alive := 1.0
	for first := 0; first < len(sorted); {
		latency := sorted[first].latency
		answered := 0
		next := first
		for ; next < len(sorted) && sorted[next].latency == latency; next++ {
			if !sorted[next].censored {
				answered++
			}
		}
		if answered > 0 {
			alive *= 1 - float64(answered)/float64(len(sorted)-first)
			s.times = append(s.times, latency)
			s.tail = append(s.tail, alive)
		}
		first = next
	}
}

// tailProbability is Pr(T > latency).
func (s *survival) tailProbability(latency float64) float64 {
	above := sort.Search(len(s.times), func(i int) bool { return s.times[i] > latency })
	if above == 0 {
		return 1
	}
	return s.tail[above-1]
}

// hedgeProbability is q: the probability of a hedge after the delay that spends the budget.
func (s *survival) hedgeProbability(delay, budget float64) float64 {
	return min(1, budget/max(s.tailProbability(delay), minTailProbability))
}

// computeOptimalSingleR is the paper's search with correlation (its Figure 1 and section
// 4.2): it walks the delay up and the target latency down over the sorted latencies and
// returns the delay that brings the percentile lowest within the budget.
func computeOptimalSingleR(primary, hedge *survival, pairs []pair, percentile, budget float64) float64 {
	if len(primary.times) == 0 {
		return 0
	}
	top := len(primary.times) - 1
	best := primary.times[0]
	for i := 0; i <= top; i++ {
		delay := primary.times[i]
		for top > i && successRate(primary, hedge, pairs, budget, primary.times[top], delay) > percentile {
			top--
			best = delay
		}
	}
	return best
}

// successRate is the probability that a request is answered within the target latency
// under SingleR with the delay.
func successRate(primary, hedge *survival, pairs []pair, budget, target, delay float64) float64 {
	late := primary.tailProbability(target)
	probability := primary.hedgeProbability(delay, budget)
	rescued := 1 - hedge.tailProbability(target-delay)
	var latePairs, rescuedPairs float64
	for _, p := range pairs {
		if p.primary <= target {
			continue
		}
		latePairs++
		if p.hedge <= target-delay {
			rescuedPairs++
		}
	}
	rescued = (rescuedPairs + pairPrior*rescued) / (latePairs + pairPrior)
	return 1 - late + probability*late*rescued
}
