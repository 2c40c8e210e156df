// Package fleetsim is the product's model of the fleet: many sidecars' real state machines
// in simulated time, with a network between them that loses, delays, doubles and cuts.
//
// It owns the clock, the order of events and all chance, each node's drawn from a seed of
// its own: a run is the same to the byte whatever the number of workers. Nodes are worked
// on side by side within windows as short as the network's shortest way, in which none can
// hear of what another does. What is measured of a run is the experiment's, not the
// world's; it opens no socket and reads no clock.
package fleetsim

import (
	"cmp"
	"container/heap"
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// Never is the time of what is not going to happen.
const Never = time.Duration(math.MaxInt64)

// Node is a state machine that the world drives. All its methods are called by one
// goroutine at a time.
type Node interface {
	// Due is when Tick wants to be called, Never if not.
	Due() time.Duration
	Tick(now time.Duration)
	Receive(now time.Duration, from int, msg any)
	// Out hands over what is to be sent.
	Out(send func(Message))
}

// Message is one on its way from a node.
type Message struct {
	To   int
	Body any // not changed once sent
	Size int // bytes that a datagram has; 0: it goes over a connection, and is not lost
}

// Network is what lies between the nodes.
type Network struct {
	MinDelay, MaxDelay time.Duration // of a datagram's way; Shortest must be above 0
	Loss, Duplication  float64       // shares of datagrams
	// Cut says whether a message that is sent now is lost on this way; nil: none is.
	// It is called from several goroutines and must only read.
	Cut func(now time.Duration, from, to int) bool
}

// World is nodes and their network.
type World struct {
	Now     time.Duration
	network Network
	places  []place
	workers int
}

// place is where a node runs, or none does at the time.
type place struct {
	node        Node
	incarnation int // of the nodes here: what was sent to one before does not reach the next
	rng         *rand.Rand
	inbox       inbox
	outbox      []envelope
	sent        uint64
	datagrams   uint64 // datagrams among them
	bytes       uint64 // of these
}

// envelope is a message on its way.
type envelope struct {
	at       time.Duration
	from, to int
	seq      uint64
	body     any
}

// inbox is a heap of letters by the time at which they arrive.
type inbox []envelope

func (b inbox) Len() int { return len(b) }
func (b inbox) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(b[i].at, b[j].at), cmp.Compare(b[i].from, b[j].from), cmp.Compare(b[i].seq, b[j].seq)) < 0
}
func (b inbox) Swap(i, j int) { b[i], b[j] = b[j], b[i] }
func (b *inbox) Push(x any)   { *b = append(*b, x.(envelope)) }
func (b *inbox) Pop() any {
	old := *b
	x := old[len(old)-1]
	old[len(old)-1] = envelope{}
	*b = old[:len(old)-1]
	return x
}

// New returns a world of size places at which nothing runs. workers bounds the goroutines
// of a run.
func New(size int, seed uint64, net Network, workers int) *World {
	w := &World{network: net, places: make([]place, size), workers: max(1, workers)}
	for i := range w.places {
		w.places[i].rng = rand.New(rand.NewPCG(seed, uint64(i)))
	}
	return w
}

// Rand is a place's own source of chance, for the node that starts there.
func (w *World) Rand(i int) *rand.Rand {
	return rand.New(rand.NewPCG(w.places[i].rng.Uint64(), w.places[i].rng.Uint64()))
}

// Start puts a node at a place, Stop takes it away as a kill does: what it had not sent is
// lost, and so is what is on its way to it.
func (w *World) Start(i int, n Node) { w.places[i].node = n }

// Stop ends the node of a place; what is on its way to it is lost.
func (w *World) Stop(i int) {
	p := &w.places[i]
	p.node, p.inbox = nil, nil
	p.incarnation++
}

// Node is what runs at a place, nil if nothing does.
func (w *World) Node(i int) Node { return w.places[i].node }

// Sent is how many datagrams and bytes a place has sent so far.
func (w *World) Sent(i int) (datagrams, bytes uint64) {
	return w.places[i].datagrams, w.places[i].bytes
}

// SetNetwork replaces the network for what is sent from now on.
func (w *World) SetNetwork(n Network) { w.network = n }

// Network is the one in force.
func (w *World) Network() Network { return w.network }

// nextEvent is when something happens at a place.
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

// Run lets time pass until the given moment, or until done, asked after each window of
// events, says so.
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

// runWindow works on all that happens before end.
func (w *World) runWindow(end time.Duration) {
	var wg sync.WaitGroup
	each := (len(w.places) + w.workers - 1) / w.workers
	for from := 0; from < len(w.places); from += each {
		part := w.places[from:min(from+each, len(w.places))]
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
		for _, l := range p.outbox {
			if to := &w.places[l.to]; to.node != nil {
				heap.Push(&to.inbox, l)
			}
		}
		p.outbox = p.outbox[:0]
	}
}

// runPlace brings a node what happens before end, in order.
func (w *World) runPlace(p *place, at int, end time.Duration) {
	for {
		now := p.nextEvent()
		if now >= end || p.node == nil {
			return
		}
		now = max(now, w.Now)
		if len(p.inbox) > 0 && p.inbox[0].at <= now {
			l := heap.Pop(&p.inbox).(envelope)
			p.node.Receive(now, l.from, l.body)
		} else {
			p.node.Tick(now)
		}
		p.node.Out(func(m Message) { w.send(p, at, now, m) })
	}
}

func (w *World) send(p *place, at int, now time.Duration, m Message) {
	p.sent++
	copies, loss := 1, 0.0
	if m.Size > 0 {
		p.datagrams++
		p.bytes += uint64(m.Size)
		loss = w.network.Loss
		if w.network.Duplication > 0 && p.rng.Float64() < w.network.Duplication {
			copies = 2
		}
	}
	for range copies {
		way := w.network.MinDelay + time.Duration(p.rng.Float64()*float64(w.network.MaxDelay-w.network.MinDelay))
		lost := loss > 0 && p.rng.Float64() < loss
		if lost || w.network.Cut != nil && w.network.Cut(now, at, m.To) {
			continue
		}
		p.outbox = append(p.outbox, envelope{at: now + way, from: at, to: m.To, seq: p.sent, body: m.Body})
	}
}
