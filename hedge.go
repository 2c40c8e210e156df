package martendrum

import "time"

// SingleR (Kaler, He, Elnikety, SPAA 2017): a request still unanswered after a delay d
// gets, with probability q, one hedge on another server. Latencies here are fractions of
// the class's latency objective, so that quiet balancers can pool the samples of all classes.
const (
	maxHedgeBudget = 0.10 // B, copies per first send: well under the spare capacity
	// hedgeCostFactor bounds what copies may cost where wasted work has a price:
	// B is at most hedgeCostFactor over that price.
	hedgeCostFactor = 0.002
	tailPercentile  = 0.95 // k, the percentile of response times to minimise
	// learningRate is λ at a full batch of new samples; smaller batches step
	// in proportion, or the delay of a quiet balancer would swing.
	learningRate = 0.3
	// The sample windows. They are short because the fleet's state changes
	// within seconds and because a recompute sorts them.
	primaryWindow = 256
	hedgeWindow   = 96
	pairWindow    = 64
	// recomputeSamples new samples and recomputeInterval, stretched at random so that
	// balancers do not shift d together, lie between two recomputes.
	recomputeSamples  = 32
	recomputeInterval = time.Second
	// pairSamplingProbability of the copies run without cancelling the loser, so that some
	// pairs are seen whole and feed Pr(Y <= t-d | X > t).
	pairSamplingProbability = 0.1
	// pairPrior is how many whole pairs the unconditional estimate weighs when
	// mixed with the conditional one, which has few samples.
	pairPrior = 12.0
	// lostFractionStep is of the running share of lost sends. One that its copy overtook was
	// overtakenLoss lost: less than 1, or the budget would feed itself.
	lostFractionStep = 0.01
	overtakenLoss    = 0.5
	maxHedgeTokens   = 4.0 // bounds copies saved up in quiet times
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
	primary                        window[sample]
	hedges                         window[sample]
	pairs                          window[pair]
	baseBudget                     float64 // B where no first send is lost
	budget                         float64 // B
	lostFraction                   float64 // running share of first sends that were lost
	delay, probability             float64
	newSamples                     int // primary samples since the last recompute
	nextRecompute                  time.Duration
	tokens                         float64
	scratch                        []sample
	primarySurvival, hedgeSurvival survival // reused between recomputes
}

// newHedger returns a hedger with the paper's starting policy: no delay, probability B.
func newHedger(wasteCost float64) hedger {
	budget := min(maxHedgeBudget, hedgeCostFactor/max(wasteCost, 1e-9))
	// The paper's starting policy: no delay, probability B.
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
	if h.lostFraction *= 1 - lostFractionStep; lost {
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
	step := learningRate * min(1, float64(h.newSamples)/primaryWindow*4)
	h.newSamples = 0
	h.primarySurvival.estimate(h.primary.buf, &h.scratch)
	// Copies log too few answers at first; until then first sends stand in.
	if len(h.hedges.buf) >= pairPrior {
		h.hedgeSurvival.estimate(h.hedges.buf, &h.scratch)
	} else {
		h.hedgeSurvival.estimate(h.primary.buf, &h.scratch)
	}
	local := computeOptimalSingleR(&h.primarySurvival, &h.hedgeSurvival, h.pairs.buf, tailPercentile, h.budget)
	h.delay += step * (local - h.delay)
	h.probability = h.primarySurvival.hedgeProbability(h.delay, h.budget)
}

// planHedge draws whether the request gets a hedge and sets its timer: for the hedge, else
// for the latency objective.
func (b *Balancer) planHedge(request *openRequest, now time.Duration) {
	after := request.arrived + request.class.LatencyObjective - now
	if request.class.Idempotency != NonIdempotent && !request.StreamedBody {
		b.hedger.recompute(now, b.rng.Float64())
		delay := time.Duration(b.hedger.delay * float64(request.class.LatencyObjective))
		if request.hedgeDue = b.rng.Float64() < b.hedger.probability && delay < after; request.hedgeDue { // later it would not help
			after = delay
		}
	}
	b.setRequestTimer(request, after)
}

// sendHedge sends the request's hedge if it is still unanswered, the budget allows it and
// this balancer sheds no load.
func (b *Balancer) sendHedge(request *openRequest, now time.Duration) {
	if request.pending == 1 && !b.bounds.SuspendOptionalWork && b.hedger.tokens >= 1 && b.admission.decayedShedLevel(now) < shedTolerance && b.startAttempt(request, now, true) {
		b.hedger.tokens--
		request.samplePair = b.rng.Float64() < pairSamplingProbability
	}
}
