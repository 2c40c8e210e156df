package martendrum

import "time"

// SingleR (Kaler, He, Elnikety, SPAA 2017): a request still unanswered after a delay d
// gets, with probability q, one hedge on another server. Latencies here are fractions of
// the class's latency objective, so that quiet balancers can pool the samples of all classes.
const (
	// maxHedgeBudget bounds B, the hedges per first attempt: well under the spare capacity.
	maxHedgeBudget = 0.10
	// Where wasted work has a price, B is at most hedgeCostFactor over that price, of which
	// minWastedWorkCost is the least.
	hedgeCostFactor   = 0.002
	minWastedWorkCost = 1e-9
	tailPercentile    = 0.95 // k, the percentile of latencies to minimise
	// learningRate is λ at a full batch of new samples. Smaller batches take steps in
	// proportion, or the delay of a quiet balancer would swing.
	learningRate = 0.3
	// batchesPerWindow full batches make up the window of first attempts.
	batchesPerWindow = 4
	// The sample windows are short, because the fleet's state changes within seconds and
	// because a recompute sorts them.
	primaryWindow = 256
	hedgeWindow   = 96
	pairWindow    = 64
	// At least recomputeSamples new samples and recomputeInterval lie between two recomputes.
	// The interval is stretched at random so that balancers do not shift d together.
	recomputeSamples  = 32
	recomputeInterval = time.Second
	// pairSamplingProbability is the fraction of hedges whose slower attempt is not
	// cancelled, so that some pairs are complete and feed Pr(Y <= t-d | X > t).
	pairSamplingProbability = 0.1
	// lostFractionStep is the step of the running fraction of lost attempts. One that
	// its hedge overtook counts as overtakenLoss of a loss: as a full one, the budget would
	// raise itself.
	lostFractionStep = 0.01
	overtakenLoss    = 0.5
	maxHedgeTokens   = 4.0 // bounds the hedges saved up in quiet times
)

// sample is one recorded latency in fractions of the latency objective.
type sample struct {
	latency  float64
	censored bool // without an answer: the latency would have been higher
}

// pair is the latencies of a first attempt and its hedge that were both answered.
type pair struct{ primary, hedge float64 }

// window is a ring of the latest values.
type window[T any] struct {
	buf  []T
	next int
}

// add appends v and drops the oldest value of more than limit.
func (w *window[T]) add(v T, limit int) {
	if len(w.buf) < limit {
		w.buf = append(w.buf, v)
		return
	}
	w.buf[w.next] = v
	w.next = (w.next + 1) % limit
}

// hedger holds the samples and the parameters of SingleR.
type hedger struct {
	primary         window[sample] // of first attempts and retries
	hedges          window[sample]
	pairs           window[pair]
	baseBudget      float64 // B where no attempt is lost
	budget          float64 // B
	lostFraction    float64 // running fraction of attempts other than hedges that were lost
	delay           float64 // d, in fractions of the latency objective
	probability     float64 // q
	newSamples      int     // primary samples since the last recompute
	nextRecompute   time.Duration
	tokens          float64 // hedges that may be sent, each for one token
	scratch         []sample
	primarySurvival survival // reused between recomputes, as hedgeSurvival is
	hedgeSurvival   survival
}

// newHedger returns a hedger with the paper's starting policy: no delay, probability B.
func newHedger(wastedWorkCost float64) hedger {
	budget := min(maxHedgeBudget, hedgeCostFactor/max(wastedWorkCost, minWastedWorkCost))
	return hedger{baseBudget: budget, budget: budget, probability: budget, tokens: 1}
}

// addPrimary records the latency of an attempt that is no hedge.
func (h *hedger) addPrimary(s sample) {
	h.primary.add(s, primaryWindow)
	h.newSamples++
}

// recordLoss counts an attempt that was lost, overtaken by its hedge or neither, and sets B.
// Where servers fall silent, B rises: the hedge of a lost attempt wastes no work. Attempts that
// are late for want of capacity raise it too; the shed level then suspends hedges.
func (h *hedger) recordLoss(lost, overtaken bool) {
	h.lostFraction *= 1 - lostFractionStep
	if lost {
		h.lostFraction += lostFractionStep
	} else if overtaken {
		h.lostFraction += lostFractionStep * overtakenLoss
	}
	h.budget = min(h.baseBudget+h.lostFraction, maxHedgeBudget)
}

// recompute takes one step towards the delay that is optimal for the present samples.
// jitter is in [0, 1).
func (h *hedger) recompute(now time.Duration, jitter float64) {
	if h.newSamples < recomputeSamples || now < h.nextRecompute {
		return
	}
	h.nextRecompute = now + recomputeInterval + time.Duration(jitter*float64(recomputeInterval))
	step := learningRate * min(1, float64(h.newSamples)/primaryWindow*batchesPerWindow)
	h.newSamples = 0
	h.primarySurvival.estimate(h.primary.buf, &h.scratch)
	// Hedges have too few samples at first; until then first attempts stand in.
	hedges := h.hedges.buf
	if len(hedges) < pairPrior {
		hedges = h.primary.buf
	}
	h.hedgeSurvival.estimate(hedges, &h.scratch)
	optimum := computeOptimalSingleR(&h.primarySurvival, &h.hedgeSurvival, h.pairs.buf, tailPercentile, h.budget)
	h.delay += step * (optimum - h.delay)
	h.probability = h.primarySurvival.hedgeProbability(h.delay, h.budget)
}

// planHedge draws whether the request gets a hedge and sets its timer: for the hedge, else
// for the latency objective.
func (b *Balancer) planHedge(request *openRequest, now time.Duration) {
	untilObjective := request.arrived + request.class.LatencyObjective - now
	if request.class.Idempotency == NonIdempotent || request.StreamedBody {
		b.setRequestTimer(request, untilObjective)
		return
	}
	b.hedger.recompute(now, b.rng.Float64())
	delay := time.Duration(b.hedger.delay * float64(request.class.LatencyObjective))
	request.hedgeDue = b.rng.Float64() < b.hedger.probability && delay < untilObjective // a later hedge would not help
	if request.hedgeDue {
		b.setRequestTimer(request, delay)
	} else {
		b.setRequestTimer(request, untilObjective)
	}
}

// sendHedge sends the request's hedge if it is still unanswered, the budget allows it and
// this balancer sheds no load.
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

// recordHedgeSample records the latency of an attempt of a request that may be hedged, and
// of a complete pair.
func (b *Balancer) recordHedgeSample(request *openRequest, a *attempt, latency float64, censored bool) {
	if request.class.Idempotency == NonIdempotent || request.StreamedBody {
		return
	}
	a.latency = latency
	a.censored = censored
	if a.hedged {
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
