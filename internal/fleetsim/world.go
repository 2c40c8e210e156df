// Package fleetsim simulates a fleet: it runs the real state machines of many sidecars in
// simulated time, with a simulated network between them that delays, loses and duplicates
// messages and can be partitioned.
//
// A World controls the time, the order of events and all randomness. Each node has a random
// number generator with a seed of its own, so the same seed gives the same run with any number
// of workers. Nodes run in parallel within time windows no longer than the network's minimum
// delay, since no message that is sent in such a window can arrive within it. The package opens
// no socket and reads no clock. Experiments, such as PowerLoss, decide what is recorded of a
// run.
package fleetsim

import (
	"cmp"
	"container/heap"
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// Never is the time of an event that does not happen.
const Never = time.Duration(math.MaxInt64)

// Node is a state machine that a World runs. Its methods are called by one goroutine at a time.
// All times count from the beginning of the world.
type Node interface {
	// Due returns when Tick is to be called next, Never if it need not be called.
	Due() time.Duration
	// Tick carries out what is due at now.
	Tick(now time.Duration)
	// Receive handles the body msg of a message from the node at place from.
	Receive(now time.Duration, from int, msg any)
	// Out passes the messages that the node has to send to send, each once.
	Out(send func(Message))
}

// Message is a message from one node to another.
type Message struct {
	To   int // place of the receiver
	Body any // must not be changed once it is sent
	Size int // size of the datagram in bytes; 0: sent over a connection, where Loss and Duplication don't apply
}

// Network describes the network between the nodes.
type Network struct {
	MinDelay, MaxDelay time.Duration // bounds of a message's delay; MinDelay must be above 0
	Loss, Duplication  float64       // fractions of the datagrams that are lost or duplicated
	// Cut reports whether all messages that are sent now from one place to another are lost.
	// nil means that none are. Several goroutines call Cut at the same time.
	Cut func(now time.Duration, from, to int) bool
}

// World holds nodes and the network between them. A place is the address of a node: a number
// from 0 on, at which at most one node runs at a time. A World is not safe for concurrent use.
type World struct {
	Now     time.Duration // time since the beginning of the world
	network Network
	places  []place
	workers int
}

// place is the state of one place, at which a node may run.
type place struct {
	node      Node       // nil: no node runs here
	rng       *rand.Rand // randomness of the network for messages from here, and seeds of the nodes
	inbox     inbox
	outbox    []envelope // sent in the present window
	sent      uint64     // number of messages sent
	datagrams uint64     // number of those that were datagrams
	bytes     uint64     // size of the datagrams
}

// envelope is a message in transit.
type envelope struct {
	at       time.Duration // when it arrives
	from, to int           // places
	seq      uint64        // number of the message among those of the sender
	body     any
}

// inbox is a heap of envelopes, ordered by arrival time, then sender, then number.
type inbox []envelope

// Len implements heap.Interface.
func (b inbox) Len() int { return len(b) }

// Less implements heap.Interface.
func (b inbox) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(b[i].at, b[j].at), cmp.Compare(b[i].from, b[j].from), cmp.Compare(b[i].seq, b[j].seq)) < 0
}

// Swap implements heap.Interface.
func (b inbox) Swap(i, j int) { b[i], b[j] = b[j], b[i] }

// Push implements heap.Interface.
func (b *inbox) Push(x any) { *b = append(*b, x.(envelope)) }

// Pop implements heap.Interface.
func (b *inbox) Pop() any {
	old := *b
	x := old[len(old)-1]
	old[len(old)-1] = envelope{}
	*b = old[:len(old)-1]
	return x
}

// New returns a world with size places, at none of which a node runs. workers is the maximum
// number of goroutines of a run.
func New(size int, seed uint64, net Network, workers int) *World {
	w := &World{network: net, places: make([]place, size), workers: max(1, workers)}
	for i := range w.places {
		w.places[i].rng = rand.New(rand.NewPCG(seed, uint64(i)))
	}
	return w
}

// Rand returns a new source of random numbers for a node that starts at place i.
func (w *World) Rand(i int) *rand.Rand {
	return rand.New(rand.NewPCG(w.places[i].rng.Uint64(), w.places[i].rng.Uint64()))
}

// Start starts a node at place i, in place of one that may run there.
func (w *World) Start(i int, n Node) { w.places[i].node = n }

// Stop ends the node at place i as if its process were killed: the messages that it has not sent
// and those in transit to it are lost.
func (w *World) Stop(i int) {
	p := &w.places[i]
	p.node = nil
	p.inbox = nil
}

// Node returns the node at place i, nil if none runs there.
func (w *World) Node(i int) Node { return w.places[i].node }

// Sent returns the number and the total size in bytes of the datagrams that nodes at place i have
// sent so far.
func (w *World) Sent(i int) (datagrams, bytes uint64) {
	return w.places[i].datagrams, w.places[i].bytes
}

// nextEvent returns the time of the next event at the place, Never if there is none.
func (p *place) nextEvent() time.Duration {
	if p.node == nil {
		return Never
	}
	at := p.node.Due()
	if len(p.inbox) > 0 {
		at = min(at, p.inbox[0].at)
	}
	return at
}

// Run runs the world until the given time, or until done returns true. done may be nil; it is
// called after each window of events.
func (w *World) Run(until time.Duration, done func() bool) {
	for {
		first := Never
		for i := range w.places {
			first = min(first, w.places[i].nextEvent())
		}
		first = max(first, w.Now)
		if first >= until {
			w.Now = until
			return
		}
		end := min(first+w.network.MinDelay, until)
		w.runWindow(end)
		w.Now = end
		if done != nil && done() {
			return
		}
	}
}

// runWindow runs all events before end, and then puts the sent messages into the inboxes of their
// receivers. Messages to places without a node are lost.
func (w *World) runWindow(end time.Duration) {
	var wg sync.WaitGroup
	perWorker := (len(w.places) + w.workers - 1) / w.workers
	for from := 0; from < len(w.places); from += perWorker {
		chunk := w.places[from:min(from+perWorker, len(w.places))]
		work := func() {
			for i := range chunk {
				w.runPlace(&chunk[i], from+i, end)
			}
		}
		if w.workers == 1 {
			work()
		} else {
			wg.Go(work)
		}
	}
	wg.Wait()
	for i := range w.places {
		p := &w.places[i]
		for _, e := range p.outbox {
			if to := &w.places[e.to]; to.node != nil {
				heap.Push(&to.inbox, e)
			}
		}
		p.outbox = p.outbox[:0]
	}
}

// runPlace runs the events before end at the place p, in order of time. index is the number of
// the place.
func (w *World) runPlace(p *place, index int, end time.Duration) {
	for {
		now := p.nextEvent()
		if now >= end || p.node == nil {
			return
		}
		now = max(now, w.Now)
		if len(p.inbox) > 0 && p.inbox[0].at <= now {
			e := heap.Pop(&p.inbox).(envelope)
			p.node.Receive(now, e.from, e.body)
		} else {
			p.node.Tick(now)
		}
		p.node.Out(func(m Message) { w.send(p, index, now, m) })
	}
}

// send puts a message from the place p in transit, unless the network loses it. from is the
// number of the place.
func (w *World) send(p *place, from int, now time.Duration, m Message) {
	p.sent++
	deliveries := 1
	loss := 0.0
	if m.Size > 0 {
		p.datagrams++
		p.bytes += uint64(m.Size)
		loss = w.network.Loss
		if w.network.Duplication > 0 && p.rng.Float64() < w.network.Duplication {
			deliveries = 2
		}
	}
	for range deliveries {
		delay := w.network.MinDelay + time.Duration(p.rng.Float64()*float64(w.network.MaxDelay-w.network.MinDelay))
		lost := loss > 0 && p.rng.Float64() < loss
		if lost || w.network.Cut != nil && w.network.Cut(now, from, m.To) {
			continue
		}
		p.outbox = append(p.outbox, envelope{at: now + delay, from: from, to: m.To, seq: p.sent, body: m.Body})
	}
}
