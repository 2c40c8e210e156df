package martendrum

import "time"

// This file implements the SingleR policy (Kaler, He, Elnikety, SPAA 2017): a request that is
// unanswered after a delay d gets one hedge on another server with probability q. The paper's
// symbols are used throughout: X is the latency of a first attempt, Y that of a hedge, t the
// target latency and B the hedge budget. Latencies are fractions of the class's latency objective,
// so that a balancer with few requests can use the samples of all classes together.

const (
	// maxHedgeBudget is the upper bound of B, the number of hedges per first attempt. It is well
	// below the spare capacity of the servers.
	maxHedgeBudget = 0.10
	// While no attempts are lost, B is at most hedgeCostFactor divided by Config.WastedWorkCost,
	// which counts as at least minWastedWorkCost. Lost attempts raise B; see recordLoss.
	hedgeCostFactor   = 0.002
	minWastedWorkCost = 1e-9
	tailPercentile    = 0.95 // k, the percentile of latencies to minimize
	// learningRate is λ, the step towards the optimal delay, after a full batch of new samples.
	// A smaller batch takes a proportionally smaller step; otherwise the delay of a balancer with
	// few requests would oscillate.
	learningRate = 0.3
	// batchesPerWindow is the number of full batches in primaryWindow samples.
	batchesPerWindow = 4
	// The windows, in samples, are short because the fleet's state changes within seconds and
	// because each recompute sorts the samples.
	primaryWindow = 256
	hedgeWindow   = 96
	pairWindow    = 64
	// Between two recomputes there are at least recomputeSamples new samples and
	// recomputeInterval. The interval is extended by a random time, so that balancers do not all
	// change d at the same time.
	recomputeSamples  = 32
	recomputeInterval = time.Second
	// pairSamplingProbability is the fraction of hedged requests whose slower attempt is not
	// cancelled. Both latencies of such a pair are known, which the estimate of
	// Pr(Y <= t-d | X > t) needs.
	pairSamplingProbability = 0.1
	// lostFractionStep is the weight of one attempt in the running fraction of lost attempts.
	// An attempt whose hedge answered first counts as overtakenLoss of a loss. If it counted as
	// a full loss, more hedges would raise the budget, which would allow yet more hedges.
	lostFractionStep = 0.01
	overtakenLoss    = 0.5
	maxHedgeTokens   = 4.0 // most hedges that unused budget can accumulate to
)

// sample is one recorded latency as a fraction of the latency objective.
type sample struct {
	latency  float64
	censored bool // there was no answer, so the latency is only a lower bound
}

// pair holds the latencies of a first attempt and its hedge that were both answered.
type pair struct{ primary, hedge float64 }

// window is a ring buffer of the most recent values.
type window[T any] struct {
	buf  []T
	next int // index of the oldest value once the buffer is full
}

// add appends v; if there are limit values already, v replaces the oldest.
func (w *window[T]) add(v T, limit int) {
	if len(w.buf) < limit {
		w.buf = append(w.buf, v)
		return
	}
	w.buf[w.next] = v
	w.next = (w.next + 1) % limit
}

// hedger holds the latency samples and the parameters of the SingleR policy.
type hedger struct {
	primary         window[sample] // first attempts and retries
	hedges          window[sample]
	pairs           window[pair]
	baseBudget      float64 // B if no attempt is lost
	budget          float64 // B
	lostFraction    float64 // running fraction of lost attempts among those that are not hedges
	delay           float64 // d, as a fraction of the latency objective
	probability     float64 // q
	newSamples      int     // primary samples since the last recompute
	nextRecompute   time.Duration
	tokens          float64  // hedges that may be sent now; each takes one token
	scratch         []sample // working memory of survival.estimate
	primarySurvival survival // kept to reuse its memory, like hedgeSurvival
	hedgeSurvival   survival
}

// newHedger returns a hedger with the paper's initial policy: no delay and probability B.
func newHedger(wastedWorkCost float64) hedger {
	budget := min(maxHedgeBudget, hedgeCostFactor/max(wastedWorkCost, minWastedWorkCost))
	return hedger{baseBudget: budget, budget: budget, probability: budget, tokens: 1}
}

// addPrimary records the latency of a first attempt or a retry.
func (h *hedger) addPrimary(s sample) {
	h.primary.add(s, primaryWindow)
	h.newSamples++
}

// recordLoss counts an attempt that is not a hedge and updates B. lost means that the attempt timed
// out, overtaken that its hedge was answered first; at most one of them is true. B rises when
// servers stop answering, because the hedge of a lost attempt wastes no work. It also rises when
// attempts time out because servers lack capacity, but then the shed level suspends hedges.
func (h *hedger) recordLoss(lost, overtaken bool) {
	h.lostFraction *= 1 - lostFractionStep
	if lost {
		h.lostFraction += lostFractionStep
	} else if overtaken {
		h.lostFraction += lostFractionStep * overtakenLoss
	}
	h.budget = min(h.baseBudget+h.lostFraction, maxHedgeBudget)
}

// recompute moves the delay one step towards the optimum for the current samples. It does nothing if
// there have been too few new samples or too little time since the last recompute. jitter, in [0, 1),
// is the random part of the time until the next recompute, in units of recomputeInterval.
func (h *hedger) recompute(now time.Duration, jitter float64) {
	if h.newSamples < recomputeSamples || now < h.nextRecompute {
		return
	}
	h.nextRecompute = now + recomputeInterval + time.Duration(jitter*float64(recomputeInterval))
	step := learningRate * min(1, float64(h.newSamples)/primaryWindow*batchesPerWindow)
	h.newSamples = 0
	h.primarySurvival.estimate(h.primary.buf, &h.scratch)
	// While there are too few samples of hedges, those of first attempts are used instead.
	hedges := h.hedges.buf
	if len(hedges) < pairPrior {
		hedges = h.primary.buf
	}
	h.hedgeSurvival.estimate(hedges, &h.scratch)
	optimum := computeOptimalSingleR(&h.primarySurvival, &h.hedgeSurvival, h.pairs.buf, tailPercentile, h.budget)
	h.delay += step * (optimum - h.delay)
	h.probability = h.primarySurvival.hedgeProbability(h.delay, h.budget)
}

// planHedge decides at random whether the request gets a hedge. It sets the request's timer to
// the time of the hedge, or to the latency objective if there is none. Non-idempotent requests and
// those with a streamed body get no hedge.
func (b *Balancer) planHedge(request *openRequest, now time.Duration) {
	untilObjective := request.arrived + request.class.LatencyObjective - now
	if request.class.Idempotency == NonIdempotent || request.StreamedBody {
		b.setRequestTimer(request, untilObjective)
		return
	}
	b.hedger.recompute(now, b.rng.Float64())
	delay := time.Duration(b.hedger.delay * float64(request.class.LatencyObjective))
	request.hedgeDue = b.rng.Float64() < b.hedger.probability && delay < untilObjective // a later hedge could not be answered in time
	if request.hedgeDue {
		b.setRequestTimer(request, delay)
	} else {
		b.setRequestTimer(request, untilObjective)
	}
}

// sendHedge sends the request's hedge if exactly one attempt is in flight, the hedge budget has a
// token, optional work is not suspended and this balancer sheds no load.
func (b *Balancer) sendHedge(request *openRequest, now time.Duration) {
	switch {
	case request.pending != 1,
		b.bounds.SuspendOptionalWork,
		b.hedger.tokens < 1,
		b.admission.decayedShedLevel(now) >= shedTolerance:
		return
	}
	if !b.startAttempt(request, now, true) {
		return
	}
	b.hedger.tokens--
	request.samplePair = b.rng.Float64() < pairSamplingProbability
}

// recordHedgeSample records the latency of an attempt of a request that may be hedged. It also
// records the pair if both attempts of a sampled pair have been answered.
func (b *Balancer) recordHedgeSample(request *openRequest, a *attempt, latency float64, censored bool) {
	if request.class.Idempotency == NonIdempotent || request.StreamedBody {
		return
	}
	a.latency = latency
	a.censored = censored
	if a.isHedge {
		b.hedger.hedges.add(sample{latency, censored}, hedgeWindow)
	} else {
		b.hedger.addPrimary(sample{latency, censored})
	}
	if !request.samplePair || request.pending != 0 || len(request.attempts) != 2 {
		return
	}
	first, second := &request.attempts[0], &request.attempts[1]
	if !first.censored && !second.censored && first.latency > 0 && second.latency > 0 {
		b.hedger.pairs.add(pair{first.latency, second.latency}, pairWindow)
	}
}
