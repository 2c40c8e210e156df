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
	// Refuse ends a request and tells the client that a retry is harmless,
	// preferably not before retryAfter.
	Refuse(id RequestID, retryAfter time.Duration)
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

// Effect says what repeating a request does.
type Effect int

const (
	Safe   Effect = iota // may be repeated at will
	Keyed                // repeats are dropped by a group of servers for a time
	Unsafe               // must not run twice
)

// String implements fmt.Stringer.
func (e Effect) String() string {
	switch e {
	case Safe:
		return "safe"
	case Keyed:
		return "keyed"
	}
	return "unsafe"
}

// Scope is the group of servers that drops repeats of a keyed request.
type Scope int

const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeGroup
)

// Class describes one class of requests.
type Class struct {
	Aim       time.Duration // an answer within it earns the full worth
	LateWorth float64       // share of the worth that a later answer earns
	Worth     float64
	Effect    Effect
	Scope     Scope         // for Keyed
	Window    time.Duration // for Keyed: how long repeats are dropped
}

// Config is what a Balancer is told of its site.
type Config struct {
	Instances      int // balancers in the tier, this one included
	Classes        []Class
	Tenants        []float64 // requests a second of all balancers that are within the tenant's share
	OverShareWorth float64   // share of its worth that a request above it has
	Zone           string
	MaxAttempts    int
	MayCancel      bool
	SecondCopies   bool // two attempts of a request may be out together
	MaxRetryAfter  time.Duration
	CrossZoneCost  float64
	ConnectionCost float64 // points lost for 100 open connections a server
	WasteCost      float64 // points lost if as much work is wasted as is asked for
	Probes         bool    // servers report their load when probed, and only then
	ProbeCost      float64 // points lost for a probe a request

	// AskWithin, where above 0, says that the server list comes only to those
	// who subscribe, and that one who has not asked for so long counts as told.
	AskWithin time.Duration
	AskAgain  time.Duration // a failed call is repeated within it; 0: by AskWithin

	ColdFrom       float64       // share of its capacity that a fresh server has
	ColdFor        time.Duration // a server is warm after this
	OverloadFactor float64       // multiple of its capacity that fells a cold server
	OverloadFor    time.Duration // when sent for this long
}

// State is a server's state on the list.
type State int

const (
	Serving State = iota
	Draining
	Gone
)

// Endpoint is one entry of the server list.
type Endpoint struct {
	Name    string
	Zone    string
	Group   int           // cell that shares which keys it has seen
	Hint    float64       // capacity hint; only comparisons mean anything
	Started time.Duration // time of its last start; 0: long ago
	State   State
}

// Request is a client's request.
type Request struct {
	ID       RequestID
	Class    int    // index into Config.Classes
	Rules    *Class // the class as it was when the request was read; nil: as it is now
	Tenant   int    // index into Config.Tenants, -1: none
	Deadline time.Duration
	Large    bool // its body is sent on as it comes: no copies, and times that tell nothing
}

// Outcome is how an attempt ended.
type Outcome int

const (
	OK            Outcome = iota
	ServerError           // the server answered with an error
	Full                  // turned away unseen
	TimedOut              // no answer in time
	ConnectFailed         // no connection in time
	Reset                 // the connection broke
	Cancelled             // called off
	NotSent               // the request was over or its attempts used up
)

// NeverRan says whether the outcome proves that the attempt had no effect.
func (o Outcome) NeverRan() bool { return o == Full || o == ConnectFailed || o == NotSent }

// Report is a server's load report: the fields it carried, by meaning.
type Report struct {
	HasInFlight, HasUtil bool
	InFlight             float64
	Util                 float64
}

// attempt is one send of a request.
type attempt struct {
	to                               *server
	sent                             time.Duration
	done, neverRan, isCopy, censored bool
	held                             float64 // what its server held by report, with it
	took                             float64 // for answered attempts, in fractions of the aim
}

const (
	// A first send earns retryBudget retries, to retriesMax; dearFactor times the mean worth needs none.
	retryBudget = 0.3
	retriesMax  = 10.0
	dearFactor  = 2.0
	// Where only probes tell loads, an arrival sends probesEach and waits for them
	// this share of its aim, if they cost probePrice points at most. Guards against
	// sends on word from an arrival ago.
	probesEach = 3
	probePrice = 0.01
	probeWait  = 0.04
)

// request is one that the balancer still owes an answer or attempts' ends.
type request struct {
	Request
	class            *Class
	rank             int // for shedding
	most             int // attempts, as the configuration stood
	arrived          time.Duration
	attempts         []attempt
	out              int  // attempts without an outcome
	wholePair        bool // the loser runs on, to log both times
	ended, streamed  bool
	copyDue, overdue bool // the timer is for a copy, not for the aim; counted as late
	timer            uint64
}

// Balancer makes one client process's decisions.
type Balancer struct {
	cfg      Config
	host     Host
	rng      *rand.Rand
	fleet    fleet
	reissue  reissuer
	admit    admitter
	requests map[RequestID]*request
	timers   map[uint64]*request
	retries  float64 // further attempts in the budget
	bounds   Bounds

	cookies, askCookie uint64 // the last timer's; that of the next call to discovery
	askBack            time.Duration
}

// New returns a Balancer for cfg that draws its random numbers from seed.
func New(cfg Config, seed uint64, host Host) (*Balancer, error) {
	b := &Balancer{
		host:     host,
		rng:      rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)),
		reissue:  newReissuer(cfg.WasteCost),
		requests: make(map[RequestID]*request),
		timers:   make(map[uint64]*request),
		retries:  retriesMax,
	}
	b.fleet = fleet{cfg: &b.cfg, taken: 1, byName: make(map[string]*server), rand: b.rng.Float64}
	b.admit = admitter{cfg: &b.cfg}
	if err := b.Retune(cfg); err != nil {
		return nil, err
	}
	if cfg.AskWithin > 0 {
		// All balancers may start at once, and discovery serves them in turn:
		// the first calls spread over the time it may take.
		b.askBack, b.askCookie = cfg.AskWithin/2, b.setTimer(time.Duration(b.rng.Float64()*0.8*float64(cfg.AskWithin)))
	}
	return b, nil
}

// Retune takes a new configuration for requests to come; those open keep their class and
// attempts. Classes and tenants keep their places: new ones follow, or take a dropped one's.
func (b *Balancer) Retune(cfg Config) error {
	switch {
	case cfg.Instances < 1 || len(cfg.Classes) == 0 || cfg.MaxAttempts < 1: // the rest is the settings' to check
		return errors.New("martendrum: config: Instances, Classes and MaxAttempts must be above 0")
	case len(cfg.Classes) < len(b.cfg.Classes), len(cfg.Tenants) < len(b.cfg.Tenants):
		return errors.New("martendrum: config: classes and tenants must keep their places")
	}
	b.cfg = cfg
	b.cfg.Probes = cfg.Probes && probesEach*cfg.ProbeCost <= probePrice
	b.admit.configure()
	b.fleet.dirty = true
	return nil
}

// setTimer asks the host for a timer and returns its cookie.
func (b *Balancer) setTimer(after time.Duration) uint64 {
	b.cookies++
	b.host.SetTimer(b.cookies, after)
	return b.cookies
}

// ServersChanged takes changed entries of the server list.
func (b *Balancer) ServersChanged(now time.Duration, changed []Endpoint) {
	b.askBack = b.cfg.AskWithin / 2
	b.fleet.change(changed, now)
	b.fleet.told = true
}

// ServersListed takes the whole server list.
func (b *Balancer) ServersListed(now time.Duration, list []Endpoint) {
	b.askBack = b.cfg.AskWithin / 2
	b.fleet.replace(list, now)
	b.fleet.told = true
}

// ServersKnown takes a list that was known before discovery told one. It may be old: its
// starts, and those of the first list that is told, may be of long ago.
func (b *Balancer) ServersKnown(now time.Duration, list []Endpoint) {
	b.fleet.replace(list, now)
}

// Servers counts the servers on the list, and those that get nothing for their failures.
func (b *Balancer) Servers(now time.Duration) (listed, avoided int) {
	for _, s := range b.fleet.members {
		if now < s.ejectedUntil {
			avoided++
		}
	}
	return len(b.fleet.byName), avoided
}

// DiscoveryFailed says that a call to discovery failed or the subscription broke.
func (b *Balancer) DiscoveryFailed(now time.Duration) {
	if b.cfg.AskWithin == 0 {
		return
	}
	back := min(b.askBack, cmp.Or(b.cfg.AskAgain*2/3, 2*b.cfg.AskWithin))
	b.askCookie = b.setTimer(back/2 + time.Duration(b.rng.Float64()*float64(back)))
	b.askBack = min(b.askBack*2, 2*b.cfg.AskWithin)
}

// Arrive takes a client's request; the balancer owes it one final answer.
func (b *Balancer) Arrive(now time.Duration, r Request) {
	if b.requests[r.ID] != nil {
		return
	}
	if r.Class < 0 || r.Class >= len(b.cfg.Classes) {
		b.host.Refuse(r.ID, 0)
		return
	}
	q := &request{Request: r, class: cmp.Or(r.Rules, &b.cfg.Classes[r.Class]), most: b.cfg.MaxAttempts, arrived: now}
	b.requests[r.ID] = q
	q.rank = b.admit.arrived(r.Class, r.Tenant, now)
	if b.rng.Float64() < b.admit.odds(q.rank, now) {
		b.end(q)
		return
	}
	if b.cfg.Probes && !b.bounds.Spare {
		b.fleet.refresh(now)
		for range probesEach {
			if s := b.fleet.draw(); s != nil {
				b.host.Probe(s.name)
			}
		}
		b.timerFor(q, min(time.Duration(probeWait*float64(q.class.Aim)), (q.Deadline-now)/2))
		return
	}
	b.first(q, now)
}

// first makes q's first send.
func (b *Balancer) first(q *request, now time.Duration) {
	if !b.try(q, now, false) {
		b.end(q)
		return
	}
	b.reissue.tokens = min(b.reissue.tokens+b.reissue.budget, hedgeTokensMax)
	b.retries = min(b.retries+retryBudget, retriesMax)
	b.planCopy(q, now)
}

// timerFor sets q's timer.
func (b *Balancer) timerFor(q *request, after time.Duration) {
	q.timer = b.setTimer(after)
	b.timers[q.timer] = q
}

// planCopy draws whether q gets a copy and sets its timer, else the one for its aim.
func (b *Balancer) planCopy(q *request, now time.Duration) {
	after := q.arrived + q.class.Aim - now
	if q.class.Effect != Unsafe && !q.Large {
		b.reissue.recompute(now, b.rng.Float64())
		d := time.Duration(b.reissue.d * float64(q.class.Aim))
		if q.copyDue = b.rng.Float64() < b.reissue.q && d < after; q.copyDue { // later it would not help
			after = d
		}
	}
	b.timerFor(q, after)
}

// Timer takes a timer that came due. Stale ones are ignored.
func (b *Balancer) Timer(now time.Duration, cookie uint64) {
	if cookie == b.askCookie && cookie != 0 {
		b.askCookie = 0
		b.host.Subscribe()
		return
	}
	if q := b.timers[cookie]; q != nil {
		delete(b.timers, cookie)
		switch {
		case len(q.attempts) == 0:
			b.first(q, now)
		case q.Large: // it takes its time
		case q.copyDue:
			q.copyDue = false
			b.hedge(q, now)
			b.timerFor(q, q.arrived+q.class.Aim-now)
		default:
			// Guards against hearing only by time-outs of a jam, or of a machine that hung
			// or was cut off. It may do harm to a slow one asked once in an aim.
			q.overdue = true
			calm := b.admit.faded(now) < shedSlack
			b.admit.outcome(false, true, b.fleet.rate(now), now)
			for i := range q.attempts {
				if a := &q.attempts[i]; !a.done && calm && a.to.heardAt < a.sent {
					b.fleet.failed(a.to, now)
				}
			}
		}
	}
}

// hedge sends q's copy if it is still unanswered and the budget allows.
func (b *Balancer) hedge(q *request, now time.Duration) {
	if q.out == 1 && !b.bounds.Spare && b.reissue.tokens >= 1 && b.admit.faded(now) < shedSlack && b.try(q, now, true) {
		b.reissue.tokens--
		q.wholePair = b.rng.Float64() < pairShare
	}
}

// anchor is the first attempt that may have run, nil if all proved not to have.
func (q *request) anchor() *attempt {
	for i := range q.attempts {
		if a := &q.attempts[i]; !a.done || !a.neverRan {
			return a
		}
	}
	return nil
}

// mayTry says whether q may have one more attempt: a keyed request that may have
// run goes on inside its anchor's group and window only.
func (b *Balancer) mayTry(q *request, anchor *attempt, now time.Duration) bool {
	switch {
	case q.ended || q.streamed || len(q.attempts) >= min(q.most, b.cfg.MaxAttempts) || now >= q.Deadline,
		q.out > 0 && !b.cfg.SecondCopies:
		return false
	case q.class.Effect == Safe || anchor == nil:
		return true
	}
	return q.class.Effect == Keyed && now-anchor.sent < q.class.Window
}

// try sends q's next attempt, if it may have one and a server is to be had.
func (b *Balancer) try(q *request, now time.Duration, isCopy bool) bool {
	anchor := q.anchor()
	if !b.mayTry(q, anchor, now) {
		return false
	}
	sound := true // asks for a server that does not fail the class
	may := func(s *server) bool {
		if sound && s.ails(q.Class, now) > sickMost {
			return false
		}
		for i := range q.attempts {
			if q.attempts[i].to == s {
				return false
			}
		}
		return anchor == nil || q.class.Effect != Keyed || q.class.Scope == ScopeAll ||
			anchor.to.zone == s.zone && (q.class.Scope == ScopeZone || anchor.to.group == s.group)
	}
	s := b.fleet.pick(now, may)
	if sound = s != nil; !sound {
		s = b.fleet.pick(now, may)
	}
	if s == nil {
		return false
	}
	held := s.held(now)
	if b.cfg.Probes && q.class.LateWorth == 0 && // work that must come late only delays others
		b.fleet.perHeld*held*float64(q.class.Aim) > float64(q.arrived+q.class.Aim-now) {
		return false
	}
	b.fleet.noteSend(s, now)
	q.attempts = append(q.attempts, attempt{to: s, sent: now, isCopy: isCopy, held: held})
	q.out++
	within := q.Deadline - now
	if anchor != nil && q.class.Effect == Keyed {
		within = min(within, anchor.sent+q.class.Window-now)
	}
	b.host.Send(q.ID, s.name, q.Deadline-now, within)
	return true
}

// Probed takes the load report that a probe brought.
func (b *Balancer) Probed(now time.Duration, server string, rep Report) {
	if s := b.fleet.byName[server]; s != nil {
		s.heed(rep, now)
	}
}

// Started says that the answer or the body of attempt n streams: no other one can follow.
func (b *Balancer) Started(now time.Duration, id RequestID, n int) {
	q := b.requests[id]
	if q == nil || n < 0 || n >= len(q.attempts) {
		return
	}
	q.streamed = true
	b.cancelOthers(q, n)
}

// Done takes an attempt's outcome; over says that the request has ended.
func (b *Balancer) Done(now time.Duration, id RequestID, n int, o Outcome, over bool, rep Report) {
	q := b.requests[id]
	if q == nil || n < 0 || n >= len(q.attempts) || q.attempts[n].done {
		return
	}
	a := &q.attempts[n]
	a.done, a.neverRan = true, o.NeverRan()
	q.out--
	a.to.inFlight--
	b.note(q, a, o, now, rep)
	if over {
		q.ended = true
		delete(b.timers, q.timer)
		if !q.wholePair || o != OK {
			b.cancelOthers(q, n)
		}
		b.forget(q)
		return
	}
	switch {
	case q.ended:
		b.forget(q)
	case q.out > 0: // another attempt may still answer
	case q.class.LateWorth == 0 && now >= q.arrived+q.class.Aim: // nothing to win any more
		b.end(q)
	case !b.mayRetry(q, o) || !b.try(q, now, false): // a planned copy keeps its time
		b.end(q)
	}
}

// mayRetry spends the retry budget, which binds all but the dearest work. Guards
// against retries that only push others out where all queues are full.
func (b *Balancer) mayRetry(q *request, o Outcome) bool {
	if o != Full { // what broke on the way says nothing of queues
		return true
	} else if b.retries < 1 {
		return b.admit.worth(q.rank) >= dearFactor*b.admit.meanWorth()
	}
	b.retries--
	return true
}

// note logs what an outcome tells of the server and of response times.
func (b *Balancer) note(q *request, a *attempt, o Outcome, now time.Duration, rep Report) {
	s, took := a.to, float64(now-a.sent)/float64(q.class.Aim)
	if o != Cancelled && o != NotSent && !q.overdue && !q.Large {
		b.admit.outcome(o == Full, now-q.arrived > q.class.Aim, b.fleet.rate(now), now)
	}
	if b.fleet.taken *= 1 - meanStep; o != Full {
		b.fleet.taken += meanStep
	}
	switch o {
	case OK:
		s.heardAt, s.failures, s.ejections = now, 0, 0
	case Full:
		s.heardAt = now
	case ServerError, Reset, TimedOut, ConnectFailed:
		b.fleet.failed(s, now)
	}
	if o == ServerError {
		s.sick[q.Class] = bucket{s.ails(q.Class, now)*(1-sickStep) + sickStep, now}
	}
	if (o == OK || o == TimedOut) && !q.Large { // not after an error: failing fast is not being fast
		b.fleet.report(s, o, rep, took, a.held, now)
	}
	if b.cfg.ConnectionCost > 0 && !s.inSet && s.inFlight == 0 {
		b.host.CloseIdle(s.name) // a guest's connection would stand open unused
	}
	if !a.isCopy && o != NotSent {
		b.reissue.lose(o == TimedOut, o == Cancelled && len(q.attempts) > 1)
	}
	if q.class.Effect == Unsafe || q.Large || (o != OK && o != Cancelled && o != TimedOut) {
		return
	}
	a.took, a.censored = took, o != OK
	if a.isCopy {
		b.reissue.copies.add(sample{took, a.censored}, copyWindow)
	} else {
		b.reissue.addPrimary(sample{took, a.censored})
	}
	if q.wholePair && q.out == 0 && len(q.attempts) == 2 {
		x, y := &q.attempts[0], &q.attempts[1]
		if !x.censored && !y.censored && x.took > 0 && y.took > 0 {
			b.reissue.pairs.add(pair{x.took, y.took}, pairWindow)
		}
	}
}

// cancelOthers calls off what is out beside attempt n.
func (b *Balancer) cancelOthers(q *request, n int) {
	if !b.cfg.MayCancel || q.out == 0 {
		return
	}
	for i := range q.attempts {
		if i != n && !q.attempts[i].done {
			b.host.Cancel(q.ID, i)
		}
	}
}

// ClientGone says that the client has left; attempts still out will end.
func (b *Balancer) ClientGone(now time.Duration, id RequestID) {
	if q := b.requests[id]; q != nil && !q.ended {
		b.close(q)
	}
}

// end gives q its final answer, a refusal where a retry is harmless.
func (b *Balancer) end(q *request) {
	b.close(q)
	if q.class.Effect == Safe || q.class.Effect == Keyed && q.class.Scope == ScopeAll || q.anchor() == nil {
		// Those refused together must not return together.
		b.host.Refuse(q.ID, time.Duration((0.5+b.rng.Float64()/2)*float64(b.cfg.MaxRetryAfter)))
	} else {
		b.host.Fail(q.ID)
	}
}

// close marks q as over and calls off what is out.
func (b *Balancer) close(q *request) {
	q.ended = true
	delete(b.timers, q.timer)
	b.cancelOthers(q, -1)
	b.forget(q)
}

// forget drops a request that has ended and has nothing out.
func (b *Balancer) forget(q *request) {
	if q.ended && q.out == 0 {
		delete(b.requests, q.ID)
	}
}
