package fleetsim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"martendrum"
	"martendrum/internal/peers"
)

// Clients is the requests that come to one sidecar.
type Clients struct {
	Rate           float64   // a second, of those that come for the first time
	ClassFractions []float64 // shares of the classes
	Burst          float64   // seconds' worth of requests that wait when it starts
	RetryFraction  float64   // share of those turned away who come back when told, within their time
	AcceptLate     bool      // an answer after the aim counts as one in time
}

// Sidecar hosts a real Balancer, and a real peers.Node where it has one.
type Sidecar struct {
	Tally Tally

	config   martendrum.Config
	limits   []time.Duration // by class: how long a client waits in all its tries
	clients  Clients
	balancer *martendrum.Balancer
	peer     *peers.Node // nil: it tells nobody anything
	guide    Guide       // nil: none
	rng      *rand.Rand

	now      time.Duration
	requests map[martendrum.RequestID]*clientRequest
	lastID   martendrum.RequestID
	timers   timerQueue
	deferred []func()
	outbox   []Message
	servers  map[string]int // places by name
}

// Guide is what a sidecar asks, at ticks, for what its Balancer has to keep to.
type Guide interface {
	Due() time.Duration
	Tick(now time.Duration, s *Sidecar)
}

// Tally counts what became of requests, by class and second of the first arrival.
type Tally struct {
	Offered, Served      [][]float64 // in time; by class, then second
	LateAnswers, Expired int
	Sends                int
}

func (t *Tally) count(list *[][]float64, class int, at time.Duration) {
	for len(*list) <= class {
		*list = append(*list, nil)
	}
	row := &(*list)[class]
	for s := int(at / time.Second); len(*row) <= s; {
		*row = append(*row, 0)
	}
	(*row)[int(at/time.Second)]++
}

type clientRequest struct {
	id           martendrum.RequestID
	class        int
	firstArrived time.Duration // its client's first try
	deadline     time.Duration
	attemptsDone []bool // by attempt: done
	inFlight     int
	finished     bool
}

// timer is something due: a timer of the Balancer's, a deadline, a client.
type timer struct {
	at  time.Duration
	seq int
	run func()
}

type timerQueue struct {
	list []timer
	seq  int
}

func (a *timerQueue) Len() int { return len(a.list) }
func (a *timerQueue) Less(i, j int) bool {
	return a.list[i].at < a.list[j].at || a.list[i].at == a.list[j].at && a.list[i].seq < a.list[j].seq
}
func (a *timerQueue) Swap(i, j int) { a.list[i], a.list[j] = a.list[j], a.list[i] }
func (a *timerQueue) Push(x any)    { a.list = append(a.list, x.(timer)) }
func (a *timerQueue) Pop() any {
	x := a.list[len(a.list)-1]
	a.list = a.list[:len(a.list)-1]
	return x
}

func (s *Sidecar) schedule(when time.Duration, do func()) {
	s.timers.seq++
	heap.Push(&s.timers, timer{when, s.timers.seq, do})
}

// NewSidecar returns a sidecar that starts at now.
func NewSidecar(now time.Duration, cfg martendrum.Config, limits []time.Duration, c Clients, rng *rand.Rand, peer *peers.Node, guide Guide) *Sidecar {
	s := &Sidecar{
		config: cfg, limits: limits, clients: c, peer: peer, guide: guide, rng: rng, now: now,
		requests: make(map[martendrum.RequestID]*clientRequest), servers: make(map[string]int),
	}
	var err error
	if s.balancer, err = martendrum.New(cfg, rng.Uint64(), s); err != nil {
		panic(err) // of this package's own making
	}
	for range int(c.Burst * c.Rate) {
		s.schedule(now+time.Duration(rng.Float64()*float64(200*time.Millisecond)), func() { s.arrive(s.drawClass(), s.now) })
	}
	s.nextClient()
	return s
}

// Peer is the sidecar's peers.Node, nil if it has none.
func (s *Sidecar) Peer() *peers.Node { return s.peer }

// SetBounds passes on what a Guide found to its Balancer.
func (s *Sidecar) SetBounds(x martendrum.Bounds) { s.balancer.SetBounds(x) }

// serverName is the name of the server at a place.
func serverName(place int) string { return "s" + strconv.Itoa(place) }

// ReceiveList brings the sidecar a list of servers, each with its place, after a delay.
func (s *Sidecar) ReceiveList(after time.Duration, list []martendrum.Endpoint, places []int) {
	s.schedule(s.now+after, func() {
		for i, e := range list {
			s.servers[e.Name] = places[i]
		}
		s.balancer.ServersListed(Epoch+s.now, list)
	})
}

func (s *Sidecar) nextClient() {
	wait := time.Duration(s.rng.ExpFloat64() / s.clients.Rate * float64(time.Second))
	s.schedule(s.now+wait, func() {
		s.arrive(s.drawClass(), s.now)
		s.nextClient()
	})
}

func (s *Sidecar) drawClass() int {
	x := s.rng.Float64()
	for c, share := range s.clients.ClassFractions {
		if x -= share; x < 0 {
			return c
		}
	}
	return 0
}

func (s *Sidecar) arrive(class int, began time.Duration) {
	if began == s.now {
		s.Tally.count(&s.Tally.Offered, class, began)
	}
	s.lastID++
	q := &clientRequest{id: s.lastID, class: class, firstArrived: began, deadline: began + s.limits[class]}
	s.requests[q.id] = q
	s.schedule(q.deadline, func() { s.expire(q) })
	s.balancer.Arrive(Epoch+s.now, martendrum.Request{ID: q.id, Class: class, Tenant: -1, Deadline: Epoch + q.deadline})
}

// Arrivals is how many requests have come so far, those that came again among them.
func (s *Sidecar) Arrivals() uint64 { return uint64(s.lastID) }

func (s *Sidecar) expire(q *clientRequest) {
	if s.requests[q.id] == nil {
		return
	}
	for n := range q.attemptsDone {
		s.finishAttempt(q, n, martendrum.TimedOut)
	}
	if !q.finished {
		s.balancer.ClientDisconnected(Epoch+s.now, q.id)
		q.finished = true
		s.Tally.Expired++
		s.forget(q)
	}
}

func (s *Sidecar) finishAttempt(q *clientRequest, n int, o martendrum.Outcome) {
	if q.attemptsDone[n] {
		return
	}
	q.attemptsDone[n] = true
	q.inFlight--
	if o == martendrum.OK && !q.finished {
		q.finished = true
		if s.now-q.firstArrived <= s.config.Classes[q.class].LatencyObjective || s.clients.AcceptLate {
			s.Tally.count(&s.Tally.Served, q.class, q.firstArrived)
		} else {
			s.Tally.LateAnswers++
		}
	}
	s.balancer.AttemptFinished(Epoch+s.now, q.id, n, o, q.finished, martendrum.LoadReport{})
	s.forget(q)
}

func (s *Sidecar) forget(q *clientRequest) {
	if q.finished && q.inFlight == 0 {
		delete(s.requests, q.id)
	}
}

// Due implements Node.
func (s *Sidecar) Due() time.Duration {
	due := Never
	if s.timers.Len() > 0 {
		due = s.timers.list[0].at
	}
	if s.peer != nil {
		due = min(due, s.peer.Due())
	}
	if s.guide != nil {
		due = min(due, s.guide.Due())
	}
	return due
}

// Tick implements Node.
func (s *Sidecar) Tick(now time.Duration) {
	s.now = now
	if s.peer != nil && now >= s.peer.Due() {
		s.peer.Tick(now)
	}
	if s.guide != nil && now >= s.guide.Due() {
		s.guide.Tick(now, s)
	}
	for s.timers.Len() > 0 && s.timers.list[0].at <= now {
		heap.Pop(&s.timers).(timer).run()
		s.runDeferred()
	}
}

// runDeferred does what the Balancer asked for and may not be called back with at once.
func (s *Sidecar) runDeferred() {
	for len(s.deferred) > 0 {
		do := s.deferred[0]
		s.deferred = s.deferred[1:]
		do()
	}
}

// Receive implements Node.
func (s *Sidecar) Receive(now time.Duration, from int, msg any) {
	s.now = now
	switch m := msg.(type) {
	case []byte:
		if s.peer != nil {
			s.peer.Receive(now, peers.Rank(from), m)
		}
	case result:
		q := s.requests[martendrum.RequestID(m.id)]
		if q == nil {
			return
		}
		s.finishAttempt(q, m.attempt, [...]martendrum.Outcome{executed: martendrum.OK, rejected: martendrum.Rejected, connectFailed: martendrum.ConnectFailed}[m.status])
		s.runDeferred()
	default:
		panic(fmt.Sprintf("fleetsim: a sidecar got a %T", msg))
	}
}

// Out implements Node.
func (s *Sidecar) Out(send func(Message)) {
	if s.peer != nil {
		sendDatagrams(s.peer, send)
	}
	for _, m := range s.outbox {
		send(m)
	}
	s.outbox = s.outbox[:0]
}

// Send implements martendrum.Host.
func (s *Sidecar) Send(id martendrum.RequestID, server string, _, _ time.Duration) {
	q := s.requests[id]
	s.Tally.Sends++
	s.outbox = append(s.outbox, Message{To: s.servers[server], Body: attemptID{uint64(id), len(q.attemptsDone)}})
	q.attemptsDone = append(q.attemptsDone, false)
	q.inFlight++
}

// Cancel implements martendrum.Host. The server goes on with it: that is the dearer case.
func (s *Sidecar) Cancel(id martendrum.RequestID, n int) {
	if q := s.requests[id]; q != nil && n < len(q.attemptsDone) {
		s.deferred = append(s.deferred, func() { s.finishAttempt(q, n, martendrum.Cancelled) })
	}
}

// Reject implements martendrum.Host: the client may come back.
func (s *Sidecar) Reject(id martendrum.RequestID, after time.Duration) {
	q := s.requests[id]
	if q == nil || q.finished {
		return
	}
	q.finished = true
	back := s.now + max(after, time.Millisecond)
	if s.rng.Float64() < s.clients.RetryFraction && back < q.deadline {
		s.schedule(back, func() { s.arrive(q.class, q.firstArrived) })
	}
	s.forget(q)
}

// Fail implements martendrum.Host.
func (s *Sidecar) Fail(id martendrum.RequestID) {
	if q := s.requests[id]; q != nil && !q.finished {
		q.finished = true
		s.forget(q)
	}
}

// SetTimer implements martendrum.Host.
func (s *Sidecar) SetTimer(cookie uint64, after time.Duration) {
	s.schedule(s.now+max(after, time.Microsecond), func() { s.balancer.TimerFired(Epoch+s.now, cookie) })
}

// CloseIdle implements martendrum.Host; the model has no connections.
func (*Sidecar) CloseIdle(string) {}

// Probe implements martendrum.Host; the model has no probes.
func (*Sidecar) Probe(string) {}

// Subscribe implements martendrum.Host; the model pushes lists.
func (*Sidecar) Subscribe() {}
