// Package faultnet is a relay between named processes, for tests: it drops, stalls
// (open, silent), passes one way only, delays, resets, cuts in mid-message and
// heals, over TCP and UDP, on loopback and without privileges.
//
// It owns its listeners and connections and ends them all in Close. Faults come by
// hand (Link.Set) or from a script whose steps are set off by marks that the test
// makes, or by what a link has carried: by events and counts, never by a clock of
// its own. What chance decides (a datagram lost, a delay's length) it draws from
// one seed. It does not look into what it carries.
package faultnet

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Way is a direction on a link, from who connects to who listens or back.
type Way uint8

// The directions.
const (
	There Way = 1 << iota
	Back
	Both = There | Back
)

// Fault is what a link does wrong; the zero value is a sound one.
type Fault struct {
	// Drop refuses new connections and resets those that are open; datagrams are lost.
	Drop bool
	// Stall keeps connections open and passes nothing these ways. What was sent
	// meanwhile arrives once it ends; datagrams are lost.
	Stall Way
	// Delay holds back each piece for so long, and up to Jitter more. The order is preserved.
	Delay, Jitter time.Duration
	// Loss is the share of datagrams lost, Double of those that come twice.
	Loss, Double float64
}

// Step is one step of a script: once its event has come, its fault is set.
type Step struct {
	On    string // a mark, as often as Times says (0: once)
	Times int
	// Conns, in place of On: so many connections were made over the link.
	Conns int
	Link  string // "": every link
	Fault Fault
	Cut   bool // in mid-message: half of the next piece passes, then a reset
	Reset bool // all that is open on the link
}

// Net is a set of links.
type Net struct {
	mu     sync.Mutex
	rng    *rand.Rand
	links  map[string]*Link
	meshes []*Mesh
	script []Step
	marks  map[string]int
	wg     sync.WaitGroup
	closed bool
}

// New returns a net without links.
func New(seed uint64, script ...Step) *Net {
	return &Net{rng: rand.New(rand.NewPCG(seed, 2)), links: make(map[string]*Link), script: script, marks: make(map[string]int)}
}

// maxDial is how long a connection to the address behind a link may take.
const maxDial = 5 * time.Second

// TCP makes a link to an address: host:port, or unix:path.
func (n *Net) TCP(name, to string) (*Link, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("faultnet: link %s: %w", name, err)
	}
	l, err := n.add(name, to, "tcp")
	if err != nil {
		ln.Close()
		return nil, err
	}
	l.ln, l.addr = ln, ln.Addr().String()
	n.wg.Go(l.accept)
	return l, nil
}

// UDP makes a link to an address for datagrams.
func (n *Net) UDP(name, to string) (*Link, error) {
	pc, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("faultnet: link %s: %w", name, err)
	}
	l, err := n.add(name, to, "udp")
	if err != nil {
		pc.Close()
		return nil, err
	}
	l.pc, l.addr, l.peers = pc, pc.LocalAddr().String(), make(map[string]net.Conn)
	n.wg.Go(l.datagrams)
	return l, nil
}

func (n *Net) add(name, to, network string) (*Link, error) {
	if len(to) > 5 && to[:5] == "unix:" {
		network, to = "unix", to[5:]
	}
	l := &Link{net: n, name: name, change: make(chan struct{}), conns: make(map[*pair]bool)}
	l.dial = func() (net.Conn, error) { return net.DialTimeout(network, to, maxDial) }
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed || n.links[name] != nil {
		return nil, fmt.Errorf("faultnet: link %s: the net is closed, or the name is taken", name)
	}
	n.links[name] = l
	return l, nil
}

// Close ends all links and connections, and returns once nothing runs.
func (n *Net) Close() {
	n.mu.Lock()
	n.closed = true
	links, meshes := n.links, n.meshes
	n.mu.Unlock()
	for _, m := range meshes {
		m.close()
	}
	for _, l := range links {
		if l.ln != nil {
			l.ln.Close()
		} else {
			l.pc.Close()
		}
		l.reset(nil)
		l.mu.Lock()
		for _, c := range l.peers {
			c.Close()
		}
		l.mu.Unlock()
	}
	n.wg.Wait()
}

// Mark notifies the script of an event.
func (n *Net) Mark(event string) {
	n.mu.Lock()
	n.marks[event]++
	n.mu.Unlock()
	n.play(func(s *Step) bool { return s.On == event && n.marks[event] >= max(1, s.Times) })
}

// play sets off the steps whose event has come, each once.
func (n *Net) play(due func(s *Step) bool) {
	n.mu.Lock()
	var now []Step
	rest := n.script[:0:0]
	for _, s := range n.script {
		if due(&s) {
			now = append(now, s)
		} else {
			rest = append(rest, s)
		}
	}
	n.script = rest
	links := make([]*Link, 0, len(n.links))
	for _, l := range n.links {
		links = append(links, l)
	}
	n.mu.Unlock()
	for _, s := range now {
		for _, l := range links {
			if s.Link == "" || s.Link == l.name {
				if s.Cut {
					l.Cut()
				} else {
					l.Set(s.Fault)
				}
				if s.Reset {
					l.Reset()
				}
			}
		}
	}
}

func (n *Net) chance() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rng.Float64()
}
