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
	"errors"
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

// Link is a relay to one address.
type Link struct {
	net  *Net
	name string
	addr string
	dial func() (net.Conn, error)
	ln   net.Listener   // of TCP
	pc   net.PacketConn // of UDP

	mu      sync.Mutex
	fault   Fault
	change  chan struct{} // closed at the next change of fault
	cut     bool
	conns   map[*pair]bool
	made    int
	carried [2]int64 // bytes, There and Back
	peers   map[string]net.Conn
	order   []string // of peers, the oldest first
}

// pair is a relayed connection: from who connected, and to who listens.
type pair struct {
	from, to net.Conn
	once     sync.Once
	done     chan struct{}
}

// end closes both sides, by a reset if requested.
func (p *pair) end(reset bool) {
	p.once.Do(func() {
		for _, c := range []net.Conn{p.from, p.to} {
			if tc, ok := c.(*net.TCPConn); ok && reset {
				tc.SetLinger(0)
			}
			c.Close()
		}
		close(p.done)
	})
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

// Addr is where to connect in place of the address behind the link.
func (l *Link) Addr() string { return l.addr }

// Set sets a fault in place of the one before; the zero Fault heals.
func (l *Link) Set(f Fault) {
	l.mu.Lock()
	l.fault = f
	close(l.change)
	l.change = make(chan struct{})
	l.mu.Unlock()
	if f.Drop {
		l.reset(nil)
	}
}

// Reset breaks all connections that are open now.
func (l *Link) Reset() { l.reset(nil) }

// Cut lets half of the next piece pass, in either way, and resets its connection.
func (l *Link) Cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = true
}

// Made is how many connections were made, Open how many of them are, Carried how
// many bytes have passed.
func (l *Link) Made() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.made
}

// Open returns the number of connections that are open now.
func (l *Link) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// Carried returns the bytes relayed so far in each direction.
func (l *Link) Carried() (there, back int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.carried[0], l.carried[1]
}

func (l *Link) reset(only *pair) {
	l.mu.Lock()
	var ps []*pair
	for p := range l.conns {
		if only == nil || p == only {
			ps = append(ps, p)
		}
	}
	l.mu.Unlock()
	for _, p := range ps {
		p.end(true)
	}
}

func (l *Link) accept() {
	for {
		from, err := l.ln.Accept()
		if err != nil {
			return
		}
		l.mu.Lock()
		drop := l.fault.Drop
		l.mu.Unlock()
		if drop {
			from.(*net.TCPConn).SetLinger(0)
			from.Close()
			continue
		}
		l.net.wg.Go(func() { l.relay(from) })
	}
}

func (l *Link) relay(from net.Conn) {
	to, err := l.dial()
	if err != nil {
		from.(*net.TCPConn).SetLinger(0)
		from.Close()
		return
	}
	p := &pair{from: from, to: to, done: make(chan struct{})}
	l.mu.Lock()
	l.conns[p] = true
	l.made++
	made := l.made
	l.mu.Unlock()
	l.net.play(func(s *Step) bool { return s.Conns > 0 && s.Conns <= made && (s.Link == "" || s.Link == l.name) })
	l.net.mu.Lock()
	closed := l.net.closed
	l.net.mu.Unlock()
	if closed {
		p.end(true)
	}
	var wg sync.WaitGroup
	wg.Go(func() { l.pump(p, There) })
	wg.Go(func() { l.pump(p, Back) })
	wg.Wait()
	p.end(false)
	l.mu.Lock()
	delete(l.conns, p)
	l.mu.Unlock()
}

// wait returns once a piece may pass this way; false if the connection ended before.
func (l *Link) wait(w Way, done <-chan struct{}) bool {
	for {
		l.mu.Lock()
		f, change := l.fault, l.change
		l.mu.Unlock()
		if f.Stall&w == 0 {
			if f.Delay == 0 && f.Jitter == 0 {
				return true
			}
			t := time.NewTimer(f.Delay + time.Duration(float64(f.Jitter)*l.net.chance()))
			defer t.Stop()
			select {
			case <-t.C:
				return true
			case <-done:
				return false
			}
		}
		select {
		case <-change:
		case <-done:
			return false
		}
	}
}

func (l *Link) pump(p *pair, w Way) {
	from, to, at := p.from, p.to, 0
	if w == Back {
		from, to, at = p.to, p.from, 1
	}
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if !l.wait(w, p.done) {
				return
			}
			l.mu.Lock()
			cut := l.cut
			l.cut = false
			if cut {
				n /= 2
			}
			l.carried[at] += int64(n)
			l.mu.Unlock()
			if _, e := to.Write(buf[:n]); e != nil {
				p.end(false)
				return
			}
			if cut {
				p.end(true)
				return
			}
		}
		if err != nil {
			// An end passes on as an end, after a stall too; a break as a break.
			if half, ok := to.(interface{ CloseWrite() error }); ok && !errors.Is(err, net.ErrClosed) && l.wait(w, p.done) && isEOF(err) {
				half.CloseWrite()
				return
			}
			p.end(!isEOF(err))
			return
		}
	}
}
