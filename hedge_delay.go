package martendrum

import (
	"cmp"
	"slices"
	"sort"
)

const (
	// pairPrior is the weight, in pairs, of the unconditional estimate of a hedge's latency in
	// the mean with the conditional estimate, which has few samples.
	pairPrior = 12.0
	// minTailProbability keeps the hedge probability finite if no sample is above the delay.
	minTailProbability = 1e-9
)

// survival is a Kaplan-Meier estimate of the distribution of a latency T: tail[i] is
// Pr(T > times[i]).
type survival struct {
	times []float64 // ascending
	tail  []float64
}

// estimate computes s from samples, of which some may be censored. If none is, the tail is the
// fraction of samples above each time. scratch is working memory that later calls can reuse.
func (s *survival) estimate(samples []sample, scratch *[]sample) {
	sorted := append((*scratch)[:0], samples...)
	*scratch = sorted
	slices.SortFunc(sorted, func(a, b sample) int { return cmp.Compare(a.latency, b.latency) })
	s.times = s.times[:0]
	s.tail = s.tail[:0]
	remaining := 1.0 // probability of a latency above the samples so far
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
			remaining *= 1 - float64(answered)/float64(len(sorted)-first)
			s.times = append(s.times, latency)
			s.tail = append(s.tail, remaining)
		}
		first = next
	}
}

// tailProbability returns Pr(T > latency).
func (s *survival) tailProbability(latency float64) float64 {
	above := sort.Search(len(s.times), func(i int) bool { return s.times[i] > latency })
	if above == 0 {
		return 1
	}
	return s.tail[above-1]
}

// hedgeProbability returns q, the probability with which a request that is unanswered after the
// delay is hedged. It is chosen so that the hedges just use up the budget.
func (s *survival) hedgeProbability(delay, budget float64) float64 {
	return min(1, budget/max(s.tailProbability(delay), minTailProbability))
}

// computeOptimalSingleR returns the delay that makes the percentile of the latencies lowest within
// the budget. It is the paper's search with correlation (Figure 1 and section 4.2): it raises the
// delay and lowers the target latency step by step over the sorted latencies. It returns 0 if there
// are no samples.
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

// successRate returns the probability that a request is answered within the target latency if it is
// hedged after the delay.
func successRate(primary, hedge *survival, pairs []pair, budget, target, delay float64) float64 {
	late := primary.tailProbability(target)
	probability := primary.hedgeProbability(delay, budget)
	hedgeInTime := 1 - hedge.tailProbability(target-delay)
	var latePairs, inTimePairs float64
	for _, p := range pairs {
		if p.primary <= target {
			continue
		}
		latePairs++
		if p.hedge <= target-delay {
			inTimePairs++
		}
	}
	hedgeInTime = (inTimePairs + pairPrior*hedgeInTime) / (latePairs + pairPrior)
	return 1 - late + probability*late*hedgeInTime
}
