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
	Rate    float64   // a second, of those that come for the first time
	Mix     []float64 // shares of the classes
	Burst   float64   // seconds' worth of requests that wait when it starts
	Returns float64   // share of those turned away who come back when told, within their time
	Patient bool      // an answer after the aim counts as one in time
}

// Sidecar hosts a real Balancer, and a real peers.Node where it has one.
type Sidecar struct {
	Tally Tally

	cfg     martendrum.Config
	limits  []time.Duration // by class: how long a client waits in all its tries
	clients Clients
	b       *martendrum.Balancer
	peer    *peers.Node // nil: it tells nobody anything
	guide   Guide       // nil: none
	rng     *rand.Rand

	now     time.Duration
	held    map[martendrum.RequestID]*request
	last    martendrum.RequestID
	alarms  alarms
	later   []func()
	out     []Message
	servers map[string]int // places by name
}

// Guide is what a sidecar asks, at ticks, for what its Balancer has to keep to.
type Guide interface {
	Due() time.Duration
	Tick(now time.Duration, s *Sidecar)
}

// Tally counts what became of requests, by class and second of the first arrival.
type Tally struct {
	Offered, Served [][]float64 // in time; by class, then second
	Late, Lost      int
	Sends           int
}

func (t *Tally) add(list *[][]float64, class int, at time.Duration) {
	for len(*list) <= class {
		*list = append(*list, nil)
	}
	row := &(*list)[class]
	for s := int(at / time.Second); len(*row) <= s; {
		*row = append(*row, 0)
	}
	(*row)[int(at/time.Second)]++
}

type request struct {
	id       martendrum.RequestID
	class    int
	began    time.Duration // its client's first try
	deadline time.Duration
	sent     []bool // by attempt: done
	out      int
	over     bool
}

// alarm is something due: a timer of the Balancer's, a deadline, a client.
type alarm struct {
	at  time.Duration
	seq int
	do  func()
}

type alarms struct {
	list []alarm
	seq  int
}

func (a *alarms) Len() int { return len(a.list) }
func (a *alarms) Less(i, j int) bool {
	return a.list[i].at < a.list[j].at || a.list[i].at == a.list[j].at && a.list[i].seq < a.list[j].seq
}
func (a *alarms) Swap(i, j int) { a.list[i], a.list[j] = a.list[j], a.list[i] }
func (a *alarms) Push(x any)    { a.list = append(a.list, x.(alarm)) }
func (a *alarms) Pop() any {
	x := a.list[len(a.list)-1]
	a.list = a.list[:len(a.list)-1]
	return x
}

func (s *Sidecar) at(when time.Duration, do func()) {
	s.alarms.seq++
	heap.Push(&s.alarms, alarm{when, s.alarms.seq, do})
}

// NewSidecar returns a sidecar that starts at now.
func NewSidecar(now time.Duration, cfg martendrum.Config, limits []time.Duration, c Clients, rng *rand.Rand, peer *peers.Node, guide Guide) *Sidecar {
	s := &Sidecar{
		cfg: cfg, limits: limits, clients: c, peer: peer, guide: guide, rng: rng, now: now,
		held: make(map[martendrum.RequestID]*request), servers: make(map[string]int),
	}
	var err error
	if s.b, err = martendrum.New(cfg, rng.Uint64(), s); err != nil {
		panic(err) // of this package's own making
	}
	for range int(c.Burst * c.Rate) {
		s.at(now+time.Duration(rng.Float64()*float64(200*time.Millisecond)), func() { s.arrive(s.class(), s.now) })
	}
	s.nextClient()
	return s
}

// Peer is the sidecar's peers.Node, nil if it has none.
func (s *Sidecar) Peer() *peers.Node { return s.peer }

// Bound passes on what a Guide found to its Balancer.
func (s *Sidecar) Bound(x martendrum.Bounds) { s.b.SetBounds(x) }

// serverName is the name of the server at a place.
func serverName(place int) string { return "s" + strconv.Itoa(place) }

// Listed brings the sidecar a list of servers, each with its place, after a delay.
func (s *Sidecar) Listed(after time.Duration, list []martendrum.Endpoint, places []int) {
	s.at(s.now+after, func() {
		for i, e := range list {
			s.servers[e.Name] = places[i]
		}
		s.b.ServersListed(Epoch+s.now, list)
	})
}

func (s *Sidecar) nextClient() {
	wait := time.Duration(s.rng.ExpFloat64() / s.clients.Rate * float64(time.Second))
	s.at(s.now+wait, func() {
		s.arrive(s.class(), s.now)
		s.nextClient()
	})
}

func (s *Sidecar) class() int {
	x := s.rng.Float64()
	for c, share := range s.clients.Mix {
		if x -= share; x < 0 {
			return c
		}
	}
	return 0
}

func (s *Sidecar) arrive(class int, began time.Duration) {
	if began == s.now {
		s.Tally.add(&s.Tally.Offered, class, began)
	}
	s.last++
	q := &request{id: s.last, class: class, began: began, deadline: began + s.limits[class]}
	s.held[q.id] = q
	s.at(q.deadline, func() { s.expire(q) })
	s.b.Arrive(Epoch+s.now, martendrum.Request{ID: q.id, Class: class, Tenant: -1, Deadline: Epoch + q.deadline})
}

// Arrivals is how many requests have come so far, those that came again among them.
func (s *Sidecar) Arrivals() uint64 { return uint64(s.last) }

func (s *Sidecar) expire(q *request) {
	if s.held[q.id] == nil {
		return
	}
	for n := range q.sent {
		s.done(q, n, martendrum.TimedOut)
	}
	if !q.over {
		s.b.ClientDisconnected(Epoch+s.now, q.id)
		q.over = true
		s.Tally.Lost++
		s.forget(q)
	}
}

func (s *Sidecar) done(q *request, n int, o martendrum.Outcome) {
	if q.sent[n] {
		return
	}
	q.sent[n] = true
	q.out--
	if o == martendrum.OK && !q.over {
		q.over = true
		if s.now-q.began <= s.cfg.Classes[q.class].LatencyObjective || s.clients.Patient {
			s.Tally.add(&s.Tally.Served, q.class, q.began)
		} else {
			s.Tally.Late++
		}
	}
	s.b.AttemptFinished(Epoch+s.now, q.id, n, o, q.over, martendrum.LoadReport{})
	s.forget(q)
}

func (s *Sidecar) forget(q *request) {
	if q.over && q.out == 0 {
		delete(s.held, q.id)
	}
}

// Due implements Node.
func (s *Sidecar) Due() time.Duration {
	due := Never
	if s.alarms.Len() > 0 {
		due = s.alarms.list[0].at
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
	for s.alarms.Len() > 0 && s.alarms.list[0].at <= now {
		heap.Pop(&s.alarms).(alarm).do()
		s.settle()
	}
}

// settle does what the Balancer asked for and may not be called back with at once.
func (s *Sidecar) settle() {
	for len(s.later) > 0 {
		do := s.later[0]
		s.later = s.later[1:]
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
		q := s.held[martendrum.RequestID(m.id)]
		if q == nil {
			return
		}
		s.done(q, m.attempt, [...]martendrum.Outcome{served: martendrum.OK, full: martendrum.Rejected, refused: martendrum.ConnectFailed}[m.what])
		s.settle()
	default:
		panic(fmt.Sprintf("fleetsim: a sidecar got a %T", msg))
	}
}

// Out implements Node.
func (s *Sidecar) Out(send func(Message)) {
	if s.peer != nil {
		datagrams(s.peer, send)
	}
	for _, m := range s.out {
		send(m)
	}
	s.out = s.out[:0]
}

// Send implements martendrum.Host.
func (s *Sidecar) Send(id martendrum.RequestID, server string, _, _ time.Duration) {
	q := s.held[id]
	s.Tally.Sends++
	s.out = append(s.out, Message{To: s.servers[server], Body: try{uint64(id), len(q.sent)}})
	q.sent = append(q.sent, false)
	q.out++
}

// Cancel implements martendrum.Host. The server goes on with it: that is the dearer case.
func (s *Sidecar) Cancel(id martendrum.RequestID, n int) {
	if q := s.held[id]; q != nil && n < len(q.sent) {
		s.later = append(s.later, func() { s.done(q, n, martendrum.Cancelled) })
	}
}

// Reject implements martendrum.Host: the client may come back.
func (s *Sidecar) Reject(id martendrum.RequestID, after time.Duration) {
	q := s.held[id]
	if q == nil || q.over {
		return
	}
	q.over = true
	back := s.now + max(after, time.Millisecond)
	if s.rng.Float64() < s.clients.Returns && back < q.deadline {
		s.at(back, func() { s.arrive(q.class, q.began) })
	}
	s.forget(q)
}

// Fail implements martendrum.Host.
func (s *Sidecar) Fail(id martendrum.RequestID) {
	if q := s.held[id]; q != nil && !q.over {
		q.over = true
		s.forget(q)
	}
}

// SetTimer implements martendrum.Host.
func (s *Sidecar) SetTimer(cookie uint64, after time.Duration) {
	s.at(s.now+max(after, time.Microsecond), func() { s.b.TimerFired(Epoch+s.now, cookie) })
}

// CloseIdle implements martendrum.Host; the model has no connections.
func (*Sidecar) CloseIdle(string) {}

// Probe implements martendrum.Host; the model has no probes.
func (*Sidecar) Probe(string) {}

// Subscribe implements martendrum.Host; the model pushes lists.
func (*Sidecar) Subscribe() {}
