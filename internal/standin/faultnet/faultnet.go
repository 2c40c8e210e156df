// Package faultnet relays TCP connections and UDP datagrams on loopback and injects network
// faults, for tests. It needs no privileges. It can reset connections, new or open, stall them in one
// or both directions while they stay open, delay data, cut a connection in the middle of a
// message, lose and duplicate datagrams, and remove the faults again.
//
// A Net owns its listeners and connections and closes them all in Close. A test sets faults
// directly (Link.Set) or by a script. A script's steps are triggered by events that the test reports
// (Net.ReportEvent) or by the number of connections made over a link, never by a clock. All random
// decisions (such as which datagram is lost and how long a delay is) are drawn from one seed. The
// relay does not interpret the data that it relays.
package faultnet

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Direction is a direction of a link, or both directions.
type Direction uint8

// Directions of a link.
const (
	There Direction = 1 << iota // from the process that connects to the one that listens
	Back                        // from the process that listens to the one that connects
	Both  = There | Back
)

// Fault is the set of faults of a link, or of one direction between two members of a Mesh. The
// zero Fault has none.
type Fault struct {
	// Drop resets new connections right after they are accepted, and those that are open; datagrams
	// are lost.
	Drop bool
	// Stall keeps connections open and relays nothing in the given directions. Data that is sent
	// during the stall arrives after its end; datagrams are lost. In a Mesh, a Stall of either
	// direction loses all datagrams from the one member to the other.
	Stall Direction
	// Delay delays each piece of data that is read from a connection, and each datagram, by this
	// time plus a random time of up to Jitter. The order is preserved within a connection;
	// datagrams may overtake each other.
	Delay, Jitter time.Duration
	// Loss is the share of datagrams that are lost, from 0 to 1, and Double the share of the others
	// that arrive twice.
	Loss, Double float64
}

// Step is one step of a script. Each step is performed once, when its trigger occurs: it sets Fault
// or, with Cut, calls Link.Cut; after that, with Reset, it calls Link.Reset.
type Step struct {
	On    string // the event that triggers the step, see Net.ReportEvent
	Times int    // how many times the event must have been reported; 0: once
	// Conns triggers the step, in place of On, once this many connections were made over the link
	// or, if Link is empty, over any one link.
	Conns int
	Link  string // the name of the link that the step applies to; "": every link
	Fault Fault
	Cut   bool // cut a connection in the middle of a message, in place of setting Fault
	Reset bool // reset all connections that are open on the link
}

// Net is a set of links and meshes with one script and one source of random numbers. Its methods may be
// called from several goroutines.
type Net struct {
	mu     sync.Mutex
	rng    *rand.Rand
	links  map[string]*Link // by name
	meshes []*Mesh
	script []Step         // the steps that have not been performed
	counts map[string]int // how many times each event was reported
	wg     sync.WaitGroup
	closed bool
}

// New returns a Net without links.
func New(seed uint64, script ...Step) *Net {
	return &Net{rng: rand.New(rand.NewPCG(seed, 2)), links: make(map[string]*Link), script: script, counts: make(map[string]int)}
}

// dialTimeout bounds the time to connect to the address that a link relays to.
const dialTimeout = 5 * time.Second

// TCP makes a link that relays connections to an address, host:port or unix:path. It returns an
// error if the name is in use or the Net is closed.
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
	l.listener, l.addr = ln, ln.Addr().String()
	n.wg.Go(l.acceptConns)
	return l, nil
}

// UDP makes a link that relays datagrams to an address, host:port. It returns an error if the name
// is in use or the Net is closed.
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
	l.packetConn, l.addr, l.peers = pc, pc.LocalAddr().String(), make(map[string]net.Conn)
	n.wg.Go(l.relayDatagrams)
	return l, nil
}

// add adds a link that relays to an address in a network, or to a Unix socket if the address has the
// prefix unix:. The caller sets the link's listener.
func (n *Net) add(name, to, network string) (*Link, error) {
	if len(to) > 5 && to[:5] == "unix:" {
		network, to = "unix", to[5:]
	}
	l := &Link{net: n, name: name, faultChanged: make(chan struct{}), conns: make(map[*connPair]bool)}
	l.dial = func() (net.Conn, error) { return net.DialTimeout(network, to, dialTimeout) }
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed || n.links[name] != nil {
		return nil, fmt.Errorf("faultnet: link %s: the net is closed, or the name is in use", name)
	}
	n.links[name] = l
	return l, nil
}

// Close closes all links, meshes and connections, and returns once all their goroutines have ended.
func (n *Net) Close() {
	n.mu.Lock()
	n.closed = true
	links, meshes := n.links, n.meshes
	n.mu.Unlock()
	for _, m := range meshes {
		m.close()
	}
	for _, l := range links {
		if l.listener != nil {
			l.listener.Close()
		} else {
			l.packetConn.Close()
		}
		l.resetConns(nil)
		l.mu.Lock()
		for _, c := range l.peers {
			c.Close()
		}
		l.mu.Unlock()
	}
	n.wg.Wait()
}

// ReportEvent reports an event to the script. It performs the steps that the event triggers before it
// returns.
func (n *Net) ReportEvent(event string) {
	n.mu.Lock()
	n.counts[event]++
	n.mu.Unlock()
	n.performDue(func(s *Step) bool { return s.On == event && n.counts[event] >= max(1, s.Times) })
}

// performDue performs the steps that are due and removes them from the script. due is called with n.mu
// held.
func (n *Net) performDue(due func(s *Step) bool) {
	n.mu.Lock()
	var dueSteps []Step
	remaining := n.script[:0:0]
	for _, s := range n.script {
		if due(&s) {
			dueSteps = append(dueSteps, s)
		} else {
			remaining = append(remaining, s)
		}
	}
	n.script = remaining
	links := make([]*Link, 0, len(n.links))
	for _, l := range n.links {
		links = append(links, l)
	}
	n.mu.Unlock()
	for _, s := range dueSteps {
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

// randomFloat returns a random number in [0, 1) from the Net's seed.
func (n *Net) randomFloat() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rng.Float64()
}
