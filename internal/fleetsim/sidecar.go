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

// Sidecar is a Node that models a sidecar. It has a real Balancer, for which it implements
// martendrum.Host; simulated clients; and optionally a real peers.Node for gossip.
type Sidecar struct {
	Tally Tally

	config     martendrum.Config
	limits     []time.Duration // by class: how long a client waits for an answer, including its retries
	clients    Clients
	balancer   *martendrum.Balancer
	peer       *peers.Node      // nil: no gossip
	controller BoundsController // nil: no bounds
	rng        *rand.Rand

	now      time.Duration
	requests map[martendrum.RequestID]*clientRequest
	lastID   martendrum.RequestID
	timers   timerQueue
	deferred []func() // calls to the Balancer, which must not be called from within methods of martendrum.Host
	outbox   []Message
	servers  map[string]int // places of servers by name
}

// burstSpread is the time from a sidecar's start within which the requests that wait for it
// arrive (see Clients.Burst).
const burstSpread = 200 * time.Millisecond

// NewSidecar returns a sidecar that starts at now. limits is how long a client waits for an
// answer, by class, including its retries. peer and controller may be nil.
func NewSidecar(now time.Duration, cfg martendrum.Config, limits []time.Duration, clients Clients, rng *rand.Rand, peer *peers.Node, controller BoundsController) *Sidecar {
	s := &Sidecar{
		config:     cfg,
		limits:     limits,
		clients:    clients,
		peer:       peer,
		controller: controller,
		rng:        rng,
		now:        now,
		requests:   make(map[martendrum.RequestID]*clientRequest),
		servers:    make(map[string]int),
	}
	var err error
	if s.balancer, err = martendrum.New(cfg, rng.Uint64(), s); err != nil {
		panic(err) // only if the caller's configuration is invalid
	}
	for range int(clients.Burst * clients.Rate) {
		at := now + time.Duration(rng.Float64()*float64(burstSpread))
		s.timers.set(at, func() { s.arrive(s.drawClass(), s.now) })
	}
	s.nextClient()
	return s
}

// Peer returns the sidecar's peers.Node, nil if it has none.
func (s *Sidecar) Peer() *peers.Node { return s.peer }

// SetBounds sets the bounds that the Balancer must keep to.
func (s *Sidecar) SetBounds(bounds martendrum.Bounds) { s.balancer.SetBounds(bounds) }

// Arrivals returns how many requests have arrived so far, including retries by clients.
func (s *Sidecar) Arrivals() uint64 { return uint64(s.lastID) }

// serverName returns the name of the server at a place.
func serverName(place int) string { return "s" + strconv.Itoa(place) }

// ReceiveList passes a complete server list to the sidecar after a delay. places holds the place
// of each server on the list.
func (s *Sidecar) ReceiveList(after time.Duration, list []martendrum.Endpoint, places []int) {
	s.timers.set(s.now+after, func() {
		for i, endpoint := range list {
			s.servers[endpoint.Name] = places[i]
		}
		s.balancer.ServersListed(Epoch+s.now, list)
	})
}

// Due implements Node.
func (s *Sidecar) Due() time.Duration {
	due := s.timers.due()
	if s.peer != nil {
		due = min(due, s.peer.Due())
	}
	if s.controller != nil {
		due = min(due, s.controller.Due())
	}
	return due
}

// Tick implements Node.
func (s *Sidecar) Tick(now time.Duration) {
	s.now = now
	if s.peer != nil && now >= s.peer.Due() {
		s.peer.Tick(now)
	}
	if s.controller != nil && now >= s.controller.Due() {
		s.controller.Tick(now, s)
	}
	for s.timers.Len() > 0 && s.timers.due() <= now {
		heap.Pop(&s.timers).(timer).run()
		s.runDeferred()
	}
}

// runDeferred makes the deferred calls to the Balancer, and those that are deferred meanwhile.
func (s *Sidecar) runDeferred() {
	for len(s.deferred) > 0 {
		run := s.deferred[0]
		s.deferred = s.deferred[1:]
		run()
	}
}

// outcomes maps the status of an attempt to the outcome that is reported to the Balancer.
var outcomes = [...]martendrum.Outcome{
	executed:      martendrum.OK,
	rejected:      martendrum.Rejected,
	connectFailed: martendrum.ConnectFailed,
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
		request := s.requests[martendrum.RequestID(m.id)]
		if request == nil {
			return
		}
		s.finishAttempt(request, m.attempt, outcomes[m.status])
		s.runDeferred()
	default:
		panic(fmt.Sprintf("fleetsim: a sidecar received a message of type %T", msg))
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
	request := s.requests[id]
	s.Tally.Sends++
	attempt := attemptID{uint64(id), len(request.attemptsDone)}
	s.outbox = append(s.outbox, Message{To: s.servers[server], Body: attempt})
	request.attemptsDone = append(request.attemptsDone, false)
	request.inFlight++
}

// Cancel implements martendrum.Host. The server still executes the attempt: the model
// assumes the worst case.
func (s *Sidecar) Cancel(id martendrum.RequestID, index int) {
	if request := s.requests[id]; request != nil && index < len(request.attemptsDone) {
		s.deferred = append(s.deferred, func() { s.finishAttempt(request, index, martendrum.Cancelled) })
	}
}

// Reject implements martendrum.Host. The client retries with the probability
// Clients.RetryFraction, if its deadline allows.
func (s *Sidecar) Reject(id martendrum.RequestID, retryAfter time.Duration) {
	request := s.requests[id]
	if request == nil || request.finished {
		return
	}
	request.finished = true
	retryAt := s.now + max(retryAfter, time.Millisecond)
	if s.rng.Float64() < s.clients.RetryFraction && retryAt < request.deadline {
		s.timers.set(retryAt, func() { s.arrive(request.class, request.firstArrived) })
	}
	s.forget(request)
}

// Fail implements martendrum.Host.
func (s *Sidecar) Fail(id martendrum.RequestID) {
	if request := s.requests[id]; request != nil && !request.finished {
		request.finished = true
		s.forget(request)
	}
}

// SetTimer implements martendrum.Host.
func (s *Sidecar) SetTimer(cookie uint64, after time.Duration) {
	s.timers.set(s.now+max(after, time.Microsecond), func() { s.balancer.TimerFired(Epoch+s.now, cookie) })
}

// CloseIdle implements martendrum.Host. It does nothing: the model has no connections.
func (*Sidecar) CloseIdle(string) {}

// Probe implements martendrum.Host. It does nothing: the model has no probes.
func (*Sidecar) Probe(string) {}

// Subscribe implements martendrum.Host. It does nothing: ReceiveList passes the server list to
// the sidecar without a subscription.
func (*Sidecar) Subscribe() {}
