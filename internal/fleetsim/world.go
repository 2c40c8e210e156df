// Package fleetsim is a model of the fleet: the real state machines of many sidecars in
// simulated time, with a network between them that loses, delays, duplicates and cuts.
//
// It owns the clock, the order of events and all randomness, which each node draws from a
// seed of its own: the same seed gives the same run, whatever the number of workers. Nodes
// run in parallel within windows as short as the network's shortest delay, in which none can
// receive what another sends. It opens no socket and reads no clock. What is recorded of a
// run is up to the experiment, such as PowerLoss.
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

// Node is a state machine that the world drives. All its methods are called by one
// goroutine at a time.
type Node interface {
	// Due is when Tick is to be called, Never if not.
	Due() time.Duration
	// Tick carries out what is due.
	Tick(now time.Duration)
	// Receive takes the body of a message.
	Receive(now time.Duration, from int, msg any)
	// Out hands over the messages that are to be sent.
	Out(send func(Message))
}

// Message is what a node sends.
type Message struct {
	To   int // place
	Body any // immutable once sent
	Size int // of the datagram, in bytes; 0: sent over a connection, and not lost
}

// Network describes the network between the nodes.
type Network struct {
	MinDelay, MaxDelay time.Duration // of a message; MinDelay must be above 0
	Loss, Duplication  float64       // fractions of datagrams
	// Cut reports whether messages between two places are lost now; nil: none are. It is
	// called by several goroutines at once.
	Cut func(now time.Duration, from, to int) bool
}

// World is the nodes at their places and the network between them. It is not safe for
// concurrent use.
type World struct {
	Now     time.Duration
	network Network
	places  []place
	workers int
}

// place is where a node runs, or none at the time.
type place struct {
	node      Node
	rng       *rand.Rand
	inbox     inbox
	outbox    []envelope
	sent      uint64 // messages
	datagrams uint64 // of the messages
	bytes     uint64 // of the datagrams
}

// envelope is a message in transit.
type envelope struct {
	at       time.Duration
	from, to int
	seq      uint64
	body     any
}

// inbox is a heap of envelopes by the time at which they arrive.
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

// New returns a world of size places at which no node runs. workers bounds the goroutines of
// a run.
func New(size int, seed uint64, net Network, workers int) *World {
	w := &World{network: net, places: make([]place, size), workers: max(1, workers)}
	for i := range w.places {
		w.places[i].rng = rand.New(rand.NewPCG(seed, uint64(i)))
	}
	return w
}

// Rand returns a new source of random numbers for the node that starts at a place.
func (w *World) Rand(i int) *rand.Rand {
	return rand.New(rand.NewPCG(w.places[i].rng.Uint64(), w.places[i].rng.Uint64()))
}

// Start puts a node at a place.
func (w *World) Start(i int, n Node) { w.places[i].node = n }

// Stop ends the node of a place as a kill does: what it has not sent and what is in transit to
// it is lost.
func (w *World) Stop(i int) {
	p := &w.places[i]
	p.node = nil
	p.inbox = nil
}

// Node returns the node at a place, nil if there is none.
func (w *World) Node(i int) Node { return w.places[i].node }

// Sent returns how many datagrams and bytes a place has sent so far.
func (w *World) Sent(i int) (datagrams, bytes uint64) {
	return w.places[i].datagrams, w.places[i].bytes
}

// nextEvent is the time of the next event at a place.
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

// Run runs the world until the given time, or until done, called after each window of events,
// returns true.
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

// runWindow runs all events before end and delivers what was sent.
func (w *World) runWindow(end time.Duration) {
	var wg sync.WaitGroup
	perWorker := (len(w.places) + w.workers - 1) / w.workers
	for from := 0; from < len(w.places); from += perWorker {
		part := w.places[from:min(from+perWorker, len(w.places))]
		work := func() {
			for i := range part {
				w.runPlace(&part[i], from+i, end)
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

// runPlace runs the events of a place before end, in order.
func (w *World) runPlace(p *place, at int, end time.Duration) {
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
		p.node.Out(func(m Message) { w.send(p, at, now, m) })
	}
}

// send puts a message in transit, unless the network loses it.
func (w *World) send(p *place, at int, now time.Duration, m Message) {
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
		if lost || w.network.Cut != nil && w.network.Cut(now, at, m.To) {
			continue
		}
		p.outbox = append(p.outbox, envelope{at: now + delay, from: at, to: m.To, seq: p.sent, body: m.Body})
	}
}
