// Package martendrum makes the decisions of a client-side load balancer: where to
// send each request, when to copy, try again or refuse. It hedges by SingleR and
// first-sends by two random choices over this balancer's own in-flight requests.
//
// A Balancer has no goroutines, clock or I/O. The host calls one method per
// event, from one goroutine at a time, with a time that never goes back, and
// carries out what the Balancer asks of it through Host.
package martendrum

import (
	"cmp"
	"errors"
	"math/rand/v2"
	"time"
)

// RequestID identifies a request for the life of a Balancer.
type RequestID uint64

// Host carries out a Balancer's decisions. Its methods are called from within
// the Balancer's own and must not call back into it.
type Host interface {
	// Send starts the request's next attempt; attempts count from 0. One whose last byte
	// has not left when within is over must not run.
	Send(id RequestID, server string, timeout, within time.Duration)
	// Cancel stops waiting for an attempt.
	Cancel(id RequestID, attempt int)
	// Reject ends a request and tells the client that a retry is harmless,
	// preferably not before retryAfter.
	Reject(id RequestID, retryAfter time.Duration)
	// Fail ends a request and promises nothing.
	Fail(id RequestID)
	// SetTimer asks for a Timer event after a delay.
	SetTimer(cookie uint64, after time.Duration)
	// CloseIdle closes the idle connections to a server.
	CloseIdle(server string)
	// Probe asks a server for its load report.
	Probe(server string)
	// Subscribe asks discovery for the list's changes from now on.
	Subscribe()
}

// Idempotency says what repeating a request does.
type Idempotency int

const (
	Idempotent       Idempotency = iota // may be repeated at will
	IdempotencyKeyed                    // repeats are dropped by a group of servers for a time
	NonIdempotent                       // must not run twice
)

// String implements fmt.Stringer.
func (e Idempotency) String() string {
	switch e {
	case Idempotent:
		return "safe"
	case IdempotencyKeyed:
		return "keyed"
	}
	return "unsafe"
}

// DedupScope is the group of servers that drops repeats of a keyed request.
type DedupScope int

const (
	DedupScopeAll DedupScope = iota
	DedupScopeZone
	DedupScopeGroup
)

// Class describes one class of requests.
type Class struct {
	LatencyObjective time.Duration // an answer within it earns the full worth
	LateWeight       float64       // share of the worth that a later answer earns
	Weight           float64
	Idempotency      Idempotency
	DedupScope       DedupScope    // for Keyed
	DedupWindow      time.Duration // for Keyed: how long repeats are dropped
}

// Config is what a Balancer is told of its site.
type Config struct {
	Instances         int // balancers in the tier, this one included
	Classes           []Class
	TenantQuotas      []float64 // requests a second of all balancers that are within the tenant's share
	OverQuotaWeight   float64   // share of its worth that a request above it has
	Zone              string
	MaxAttempts       int
	AllowCancellation bool
	AllowHedging      bool // two attempts of a request may be out together
	MaxRetryAfter     time.Duration
	CrossZoneCost     float64
	ConnectionCost    float64 // points lost for 100 open connections a server
	WastedWorkCost    float64 // points lost if as much work is wasted as is asked for
	Probes            bool    // servers report their load when probed, and only then
	ProbeCost         float64 // points lost for a probe a request

	// MaxListAge, where above 0, says that the server list comes only to those
	// who subscribe, and that one who has not asked for so long counts as told.
	MaxListAge  time.Duration
	RetryWithin time.Duration // a failed call is repeated within it; 0: by MaxListAge

	SlowStartInitialFraction float64       // share of its capacity that a fresh server has
	SlowStartDuration        time.Duration // a server is warm after this
	OverloadFactor           float64       // multiple of its capacity that fells a cold server
	OverloadDuration         time.Duration // when sent for this long
}

// EndpointState is a server's state on the list.
type EndpointState int

const (
	Serving EndpointState = iota
	Draining
	Removed
)

// Endpoint is one entry of the server list.
type Endpoint struct {
	Name         string
	Zone         string
	Group        int           // cell that shares which keys it has seen
	CapacityHint float64       // capacity hint; only comparisons mean anything
	Started      time.Duration // time of its last start; 0: long ago
	State        EndpointState
}

// Request is a client's request.
type Request struct {
	ID             RequestID
	Class          int    // index into Config.Classes
	ClassAtArrival *Class // the class as it was when the request was read; nil: as it is now
	Tenant         int    // index into Config.Tenants, -1: none
	Deadline       time.Duration
	StreamedBody   bool // its body is sent on as it comes: no copies, and times that tell nothing
}

// Outcome is how an attempt ended.
type Outcome int

const (
	OK            Outcome = iota
	ServerError           // the server answered with an error
	Rejected              // turned away unseen
	TimedOut              // no answer in time
	ConnectFailed         // no connection in time
	Reset                 // the connection broke
	Cancelled             // called off
	NotSent               // the request was over or its attempts used up
)

// ProvablyNotExecuted says whether the outcome proves that the attempt had no effect.
func (o Outcome) ProvablyNotExecuted() bool {
	return o == Rejected || o == ConnectFailed || o == NotSent
}

// LoadReport is a server's load report: the fields it carried, by meaning.
type LoadReport struct {
	HasInFlight, HasUtilization bool
	InFlight                    float64
	Utilization                 float64
}

// attempt is one send of a request.
type attempt struct {
	server                              *server
	sent                                time.Duration
	done, notExecuted, hedged, censored bool
	queueDepth                          float64 // what its server held by report, with it
	latency                             float64 // for answered attempts, in fractions of the aim
}

const (
	// A first send earns retryTokensPerRequest retries, to maxRetryTokens; retryWeightFactor times the mean worth needs none.
	retryTokensPerRequest = 0.3
	maxRetryTokens        = 10.0
	retryWeightFactor     = 2.0
	// Where only probes tell loads, an arrival sends probesPerRequest and waits for them
	// this share of its aim, if they cost maxProbeCost points at most. Guards against
	// sends on word from an arrival ago.
	probesPerRequest  = 3
	maxProbeCost      = 0.01
	probeWaitFraction = 0.04
)

// request is one that the balancer still owes an answer or attempts' ends.
type request struct {
	Request
	class              *Class
	shedRank           int // for shedding
	maxAttempts        int // attempts, as the configuration stood
	arrived            time.Duration
	attempts           []attempt
	pending            int  // attempts without an outcome
	samplePair         bool // the loser runs on, to log both times
	finished, streamed bool
	hedgeDue, overdue  bool // the timer is for a copy, not for the aim; counted as late
	timer              uint64
}

// Balancer makes one client process's decisions.
type Balancer struct {
	config      Config
	host        Host
	rng         *rand.Rand
	endpoints   endpointSet
	hedger      hedger
	admission   admissionController
	requests    map[RequestID]*request
	timers      map[uint64]*request
	retryTokens float64 // further attempts in the budget
	bounds      Bounds

	lastTimer, pollTimer uint64 // the last timer's; that of the next call to discovery
	pollBackoff          time.Duration
}

// New returns a Balancer for cfg that draws its random numbers from seed.
func New(cfg Config, seed uint64, host Host) (*Balancer, error) {
	b := &Balancer{
		host:        host,
		rng:         rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)),
		hedger:      newHedger(cfg.WastedWorkCost),
		requests:    make(map[RequestID]*request),
		timers:      make(map[uint64]*request),
		retryTokens: maxRetryTokens,
	}
	b.endpoints = endpointSet{config: &b.config, acceptedFraction: 1, byName: make(map[string]*server), random: b.rng.Float64}
	b.admission = admissionController{config: &b.config}
	if err := b.Reconfigure(cfg); err != nil {
		return nil, err
	}
	if cfg.MaxListAge > 0 {
		// All balancers may start at once, and discovery serves them in turn:
		// the first calls spread over the time it may take.
		b.pollBackoff, b.pollTimer = cfg.MaxListAge/2, b.setTimer(time.Duration(b.rng.Float64()*0.8*float64(cfg.MaxListAge)))
	}
	return b, nil
}

// Reconfigure takes a new configuration for requests to come; those open keep their class and
// attempts. Classes and tenants keep their places: new ones follow, or take a dropped one's.
func (b *Balancer) Reconfigure(cfg Config) error {
	switch {
	case cfg.Instances < 1 || len(cfg.Classes) == 0 || cfg.MaxAttempts < 1: // the rest is the settings' to check
		return errors.New("martendrum: config: Instances, Classes and MaxAttempts must be above 0")
	case len(cfg.Classes) < len(b.config.Classes), len(cfg.TenantQuotas) < len(b.config.TenantQuotas):
		return errors.New("martendrum: config: classes and tenants must keep their places")
	}
	b.config = cfg
	b.config.Probes = cfg.Probes && probesPerRequest*cfg.ProbeCost <= maxProbeCost
	b.admission.configure()
	b.endpoints.dirty = true
	return nil
}

// setTimer asks the host for a timer and returns its cookie.
func (b *Balancer) setTimer(after time.Duration) uint64 {
	b.lastTimer++
	b.host.SetTimer(b.lastTimer, after)
	return b.lastTimer
}

// ServersChanged takes changed entries of the server list.
func (b *Balancer) ServersChanged(now time.Duration, changed []Endpoint) {
	b.pollBackoff = b.config.MaxListAge / 2
	b.endpoints.applyChanges(changed, now)
	b.endpoints.listReceived = true
}

// ServersListed takes the whole server list.
func (b *Balancer) ServersListed(now time.Duration, list []Endpoint) {
	b.pollBackoff = b.config.MaxListAge / 2
	b.endpoints.replaceAll(list, now)
	b.endpoints.listReceived = true
}

// ServersRestored takes a list that was known before discovery told one. It may be old: its
// starts, and those of the first list that is told, may be of long ago.
func (b *Balancer) ServersRestored(now time.Duration, list []Endpoint) {
	b.endpoints.replaceAll(list, now)
}

// ServerCounts counts the servers on the list, and those that get nothing for their failures.
func (b *Balancer) ServerCounts(now time.Duration) (listed, avoided int) {
	for _, s := range b.endpoints.members {
		if now < s.ejectedUntil {
			avoided++
		}
	}
	return len(b.endpoints.byName), avoided
}

// DiscoveryFailed says that a call to discovery failed or the subscription broke.
func (b *Balancer) DiscoveryFailed(now time.Duration) {
	if b.config.MaxListAge == 0 {
		return
	}
	back := min(b.pollBackoff, cmp.Or(b.config.RetryWithin*2/3, 2*b.config.MaxListAge))
	b.pollTimer = b.setTimer(back/2 + time.Duration(b.rng.Float64()*float64(back)))
	b.pollBackoff = min(b.pollBackoff*2, 2*b.config.MaxListAge)
}

// Arrive takes a client's request; the balancer owes it one final answer.
func (b *Balancer) Arrive(now time.Duration, r Request) {
	if b.requests[r.ID] != nil {
		return
	}
	if r.Class < 0 || r.Class >= len(b.config.Classes) {
		b.host.Reject(r.ID, 0)
		return
	}
	q := &request{Request: r, class: cmp.Or(r.ClassAtArrival, &b.config.Classes[r.Class]), maxAttempts: b.config.MaxAttempts, arrived: now}
	b.requests[r.ID] = q
	q.shedRank = b.admission.recordArrival(r.Class, r.Tenant, now)
	if b.rng.Float64() < b.admission.shedProbability(q.shedRank, now) {
		b.finish(q)
		return
	}
	if b.config.Probes && !b.bounds.SuspendOptionalWork {
		b.endpoints.refresh(now)
		for range probesPerRequest {
			if s := b.endpoints.draw(); s != nil {
				b.host.Probe(s.name)
			}
		}
		b.setRequestTimer(q, min(time.Duration(probeWaitFraction*float64(q.class.LatencyObjective)), (q.Deadline-now)/2))
		return
	}
	b.sendFirst(q, now)
}

// sendFirst makes q's first send.
func (b *Balancer) sendFirst(q *request, now time.Duration) {
	if !b.startAttempt(q, now, false) {
		b.finish(q)
		return
	}
	b.hedger.tokens = min(b.hedger.tokens+b.hedger.budget, maxHedgeTokens)
	b.retryTokens = min(b.retryTokens+retryTokensPerRequest, maxRetryTokens)
	b.planHedge(q, now)
}

// setRequestTimer sets q's timer.
func (b *Balancer) setRequestTimer(q *request, after time.Duration) {
	q.timer = b.setTimer(after)
	b.timers[q.timer] = q
}

// planHedge draws whether q gets a copy and sets its timer, else the one for its aim.
func (b *Balancer) planHedge(q *request, now time.Duration) {
	after := q.arrived + q.class.LatencyObjective - now
	if q.class.Idempotency != NonIdempotent && !q.StreamedBody {
		b.hedger.recompute(now, b.rng.Float64())
		d := time.Duration(b.hedger.delay * float64(q.class.LatencyObjective))
		if q.hedgeDue = b.rng.Float64() < b.hedger.probability && d < after; q.hedgeDue { // later it would not help
			after = d
		}
	}
	b.setRequestTimer(q, after)
}

// TimerFired takes a timer that came due. Stale ones are ignored.
func (b *Balancer) TimerFired(now time.Duration, cookie uint64) {
	if cookie == b.pollTimer && cookie != 0 {
		b.pollTimer = 0
		b.host.Subscribe()
		return
	}
	if q := b.timers[cookie]; q != nil {
		delete(b.timers, cookie)
		switch {
		case len(q.attempts) == 0:
			b.sendFirst(q, now)
		case q.StreamedBody: // it takes its time
		case q.hedgeDue:
			q.hedgeDue = false
			b.sendHedge(q, now)
			b.setRequestTimer(q, q.arrived+q.class.LatencyObjective-now)
		default:
			// Guards against hearing only by time-outs of a jam, or of a machine that hung
			// or was cut off. It may do harm to a slow one asked once in an aim.
			q.overdue = true
			calm := b.admission.decayedShedLevel(now) < shedTolerance
			b.admission.recordOutcome(false, true, b.endpoints.rate(now), now)
			for i := range q.attempts {
				if a := &q.attempts[i]; !a.done && calm && a.server.answeredAt < a.sent {
					b.endpoints.recordFailure(a.server, now)
				}
			}
		}
	}
}

// sendHedge sends q's copy if it is still unanswered and the budget allows.
func (b *Balancer) sendHedge(q *request, now time.Duration) {
	if q.pending == 1 && !b.bounds.SuspendOptionalWork && b.hedger.tokens >= 1 && b.admission.decayedShedLevel(now) < shedTolerance && b.startAttempt(q, now, true) {
		b.hedger.tokens--
		q.samplePair = b.rng.Float64() < pairSamplingProbability
	}
}

// firstPossiblyExecuted is the first attempt that may have run, nil if all proved not to have.
func (q *request) firstPossiblyExecuted() *attempt {
	for i := range q.attempts {
		if a := &q.attempts[i]; !a.done || !a.notExecuted {
			return a
		}
	}
	return nil
}

// mayAttempt says whether q may have one more attempt: a keyed request that may have
// run goes on inside its anchor's group and window only.
func (b *Balancer) mayAttempt(q *request, anchor *attempt, now time.Duration) bool {
	switch {
	case q.finished || q.streamed || len(q.attempts) >= min(q.maxAttempts, b.config.MaxAttempts) || now >= q.Deadline,
		q.pending > 0 && !b.config.AllowHedging:
		return false
	case q.class.Idempotency == Idempotent || anchor == nil:
		return true
	}
	return q.class.Idempotency == IdempotencyKeyed && now-anchor.sent < q.class.DedupWindow
}

// startAttempt sends q's next attempt, if it may have one and a server is to be had.
func (b *Balancer) startAttempt(q *request, now time.Duration, isCopy bool) bool {
	anchor := q.firstPossiblyExecuted()
	if !b.mayAttempt(q, anchor, now) {
		return false
	}
	sound := true // asks for a server that does not fail the class
	may := func(s *server) bool {
		if sound && s.errorRate(q.Class, now) > maxErrorRate {
			return false
		}
		for i := range q.attempts {
			if q.attempts[i].server == s {
				return false
			}
		}
		return anchor == nil || q.class.Idempotency != IdempotencyKeyed || q.class.DedupScope == DedupScopeAll ||
			anchor.server.zone == s.zone && (q.class.DedupScope == DedupScopeZone || anchor.server.group == s.group)
	}
	s := b.endpoints.pick(now, may)
	if sound = s != nil; !sound {
		s = b.endpoints.pick(now, may)
	}
	if s == nil {
		return false
	}
	held := s.queueDepth(now)
	if b.config.Probes && q.class.LateWeight == 0 && // work that must come late only delays others
		b.endpoints.latencyPerQueued*held*float64(q.class.LatencyObjective) > float64(q.arrived+q.class.LatencyObjective-now) {
		return false
	}
	b.endpoints.recordSend(s, now)
	q.attempts = append(q.attempts, attempt{server: s, sent: now, hedged: isCopy, queueDepth: held})
	q.pending++
	within := q.Deadline - now
	if anchor != nil && q.class.Idempotency == IdempotencyKeyed {
		within = min(within, anchor.sent+q.class.DedupWindow-now)
	}
	b.host.Send(q.ID, s.name, q.Deadline-now, within)
	return true
}

// ProbeAnswered takes the load report that a probe brought.
func (b *Balancer) ProbeAnswered(now time.Duration, server string, rep LoadReport) {
	if s := b.endpoints.byName[server]; s != nil {
		s.updateLoad(rep, now)
	}
}

// StreamStarted says that the answer or the body of attempt n streams: no other one can follow.
func (b *Balancer) StreamStarted(now time.Duration, id RequestID, n int) {
	q := b.requests[id]
	if q == nil || n < 0 || n >= len(q.attempts) {
		return
	}
	q.streamed = true
	b.cancelOthers(q, n)
}

// AttemptFinished takes an attempt's outcome; over says that the request has ended.
func (b *Balancer) AttemptFinished(now time.Duration, id RequestID, n int, o Outcome, over bool, rep LoadReport) {
	q := b.requests[id]
	if q == nil || n < 0 || n >= len(q.attempts) || q.attempts[n].done {
		return
	}
	a := &q.attempts[n]
	a.done, a.notExecuted = true, o.ProvablyNotExecuted()
	q.pending--
	a.server.inFlight--
	b.recordOutcome(q, a, o, now, rep)
	if over {
		q.finished = true
		delete(b.timers, q.timer)
		if !q.samplePair || o != OK {
			b.cancelOthers(q, n)
		}
		b.forget(q)
		return
	}
	switch {
	case q.finished:
		b.forget(q)
	case q.pending > 0: // another attempt may still answer
	case q.class.LateWeight == 0 && now >= q.arrived+q.class.LatencyObjective: // nothing to win any more
		b.finish(q)
	case !b.mayRetry(q, o) || !b.startAttempt(q, now, false): // a planned copy keeps its time
		b.finish(q)
	}
}

// mayRetry spends the retry budget, which binds all but the dearest work. Guards
// against retries that only push others out where all queues are full.
func (b *Balancer) mayRetry(q *request, o Outcome) bool {
	if o != Rejected { // what broke on the way says nothing of queues
		return true
	} else if b.retryTokens < 1 {
		return b.admission.weight(q.shedRank) >= retryWeightFactor*b.admission.meanWeight()
	}
	b.retryTokens--
	return true
}

// recordOutcome logs what an outcome tells of the server and of response times.
func (b *Balancer) recordOutcome(q *request, a *attempt, o Outcome, now time.Duration, rep LoadReport) {
	s, took := a.server, float64(now-a.sent)/float64(q.class.LatencyObjective)
	if o != Cancelled && o != NotSent && !q.overdue && !q.StreamedBody {
		b.admission.recordOutcome(o == Rejected, now-q.arrived > q.class.LatencyObjective, b.endpoints.rate(now), now)
	}
	if b.endpoints.acceptedFraction *= 1 - meanStep; o != Rejected {
		b.endpoints.acceptedFraction += meanStep
	}
	switch o {
	case OK:
		s.answeredAt, s.failures, s.ejections = now, 0, 0
	case Rejected:
		s.answeredAt = now
	case ServerError, Reset, TimedOut, ConnectFailed:
		b.endpoints.recordFailure(s, now)
	}
	if o == ServerError {
		s.errorRates[q.Class] = tokenBucket{s.errorRate(q.Class, now)*(1-errorRateStep) + errorRateStep, now}
	}
	if (o == OK || o == TimedOut) && !q.StreamedBody { // not after an error: failing fast is not being fast
		b.endpoints.recordLatency(s, o, rep, took, a.queueDepth, now)
	}
	if b.config.ConnectionCost > 0 && !s.inWorkingSet && s.inFlight == 0 {
		b.host.CloseIdle(s.name) // a guest's connection would stand open unused
	}
	if !a.hedged && o != NotSent {
		b.hedger.recordLoss(o == TimedOut, o == Cancelled && len(q.attempts) > 1)
	}
	if q.class.Idempotency == NonIdempotent || q.StreamedBody || (o != OK && o != Cancelled && o != TimedOut) {
		return
	}
	a.latency, a.censored = took, o != OK
	if a.hedged {
		b.hedger.hedges.add(sample{took, a.censored}, hedgeWindow)
	} else {
		b.hedger.addPrimary(sample{took, a.censored})
	}
	if q.samplePair && q.pending == 0 && len(q.attempts) == 2 {
		x, y := &q.attempts[0], &q.attempts[1]
		if !x.censored && !y.censored && x.latency > 0 && y.latency > 0 {
			b.hedger.pairs.add(pair{x.latency, y.latency}, pairWindow)
		}
	}
}

// cancelOthers calls off what is out beside attempt n.
func (b *Balancer) cancelOthers(q *request, n int) {
	if !b.config.AllowCancellation || q.pending == 0 {
		return
	}
	for i := range q.attempts {
		if i != n && !q.attempts[i].done {
			b.host.Cancel(q.ID, i)
		}
	}
}

// ClientDisconnected says that the client has left; attempts still out will end.
func (b *Balancer) ClientDisconnected(now time.Duration, id RequestID) {
	if q := b.requests[id]; q != nil && !q.finished {
		b.closeRequest(q)
	}
}

// finish gives q its final answer, a refusal where a retry is harmless.
func (b *Balancer) finish(q *request) {
	b.closeRequest(q)
	if q.class.Idempotency == Idempotent || q.class.Idempotency == IdempotencyKeyed && q.class.DedupScope == DedupScopeAll || q.firstPossiblyExecuted() == nil {
		// Those refused together must not return together.
		b.host.Reject(q.ID, time.Duration((0.5+b.rng.Float64()/2)*float64(b.config.MaxRetryAfter)))
	} else {
		b.host.Fail(q.ID)
	}
}

// closeRequest marks q as over and calls off what is out.
func (b *Balancer) closeRequest(q *request) {
	q.finished = true
	delete(b.timers, q.timer)
	b.cancelOthers(q, -1)
	b.forget(q)
}

// forget drops a request that has ended and has nothing out.
func (b *Balancer) forget(q *request) {
	if q.finished && q.pending == 0 {
		delete(b.requests, q.ID)
	}
}
