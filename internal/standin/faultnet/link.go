package faultnet

import (
	"errors"
	"net"
	"sync"
	"time"
)

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
