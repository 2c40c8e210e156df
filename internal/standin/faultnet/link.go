package faultnet

import (
	"errors"
	"net"
	"sync"
	"time"
)

// Link relays connections or datagrams to one address. Its methods may be called from several
// goroutines.
type Link struct {
	net        *Net
	name       string
	addr       string
	dial       func() (net.Conn, error) // connects to the address that the link relays to
	listener   net.Listener             // nil for UDP
	packetConn net.PacketConn           // nil for TCP

	mu           sync.Mutex
	fault        Fault
	faultChanged chan struct{} // closed at the next change of fault
	cut          bool          // the next piece of data is cut, see Cut
	conns        map[*connPair]bool
	made         int
	carried      [2]int64            // bytes relayed There and Back
	peers        map[string]net.Conn // for UDP, the socket of each sender by the sender's address
	order        []string            // the addresses in peers, the oldest first
}

// connPair is a relayed connection: the one that was accepted (from) and the one to the link's target
// (to).
type connPair struct {
	from, to net.Conn
	once     sync.Once
	done     chan struct{} // closed when both are closed
}

// close closes both connections, by a reset if requested.
func (p *connPair) close(reset bool) {
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

// Addr returns the link's own address, host:port, to which the relayed process connects or sends.
func (l *Link) Addr() string { return l.addr }

// Set replaces the link's fault; the zero Fault removes it. Drop resets the open connections at once.
func (l *Link) Set(f Fault) {
	l.mu.Lock()
	l.fault = f
	close(l.faultChanged)
	l.faultChanged = make(chan struct{})
	l.mu.Unlock()
	if f.Drop {
		l.resetConns(nil)
	}
}

// Reset resets all connections that are open now.
func (l *Link) Reset() { l.resetConns(nil) }

// Cut makes the link relay only half of the next piece of data that it reads, in either direction, and
// then reset that connection.
func (l *Link) Cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = true
}

// AcceptedConns returns the number of connections made so far.
func (l *Link) AcceptedConns() int {
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

// RelayedBytes returns the number of bytes relayed so far in each direction. A datagram that is duplicated
// counts once.
func (l *Link) RelayedBytes() (there, back int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.carried[0], l.carried[1]
}

// resetConns resets one connection, or all if only is nil.
func (l *Link) resetConns(only *connPair) {
	l.mu.Lock()
	var ps []*connPair
	for p := range l.conns {
		if only == nil || p == only {
			ps = append(ps, p)
		}
	}
	l.mu.Unlock()
	for _, p := range ps {
		p.close(true)
	}
}

// acceptConns accepts connections until the listener is closed.
func (l *Link) acceptConns() {
	for {
		from, err := l.listener.Accept()
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

// relay connects to the link's target and relays between it and from until both directions have ended.
func (l *Link) relay(from net.Conn) {
	to, err := l.dial()
	if err != nil {
		from.(*net.TCPConn).SetLinger(0)
		from.Close()
		return
	}
	p := &connPair{from: from, to: to, done: make(chan struct{})}
	l.mu.Lock()
	l.conns[p] = true
	l.made++
	made := l.made
	l.mu.Unlock()
	l.net.performDue(func(s *Step) bool { return s.Conns > 0 && s.Conns <= made && (s.Link == "" || s.Link == l.name) })
	l.net.mu.Lock()
	closed := l.net.closed
	l.net.mu.Unlock()
	if closed {
		p.close(true)
	}
	var wg sync.WaitGroup
	wg.Go(func() { l.copyData(p, There) })
	wg.Go(func() { l.copyData(p, Back) })
	wg.Wait()
	p.close(false)
	l.mu.Lock()
	delete(l.conns, p)
	l.mu.Unlock()
}

// waitToRelay waits until a piece of data may be relayed in a direction. It returns false if the
// connection was closed before.
func (l *Link) waitToRelay(direction Direction, done <-chan struct{}) bool {
	for {
		l.mu.Lock()
		f, faultChanged := l.fault, l.faultChanged
		l.mu.Unlock()
		if f.Stall&direction == 0 {
			if f.Delay == 0 && f.Jitter == 0 {
				return true
			}
			t := time.NewTimer(f.Delay + time.Duration(float64(f.Jitter)*l.net.randomFloat()))
			defer t.Stop()
			select {
			case <-t.C:
				return true
			case <-done:
				return false
			}
		}
		select {
		case <-faultChanged:
		case <-done:
			return false
		}
	}
}

// copyData relays data in one direction of a connection until that direction has ended.
func (l *Link) copyData(p *connPair, direction Direction) {
	from, to, carriedIndex := p.from, p.to, 0
	if direction == Back {
		from, to, carriedIndex = p.to, p.from, 1
	}
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if !l.waitToRelay(direction, p.done) {
				return
			}
			l.mu.Lock()
			cut := l.cut
			l.cut = false
			if cut {
				n /= 2
			}
			l.carried[carriedIndex] += int64(n)
			l.mu.Unlock()
			if _, writeErr := to.Write(buf[:n]); writeErr != nil {
				p.close(false)
				return
			}
			if cut {
				p.close(true)
				return
			}
		}
		if err != nil {
			// The end of the data is relayed as such, after a stall if there is one. Any other error is
			// relayed as a reset.
			if writeSide, ok := to.(interface{ CloseWrite() error }); ok && !errors.Is(err, net.ErrClosed) && l.waitToRelay(direction, p.done) && isEOF(err) {
				writeSide.CloseWrite()
				return
			}
			p.close(!isEOF(err))
			return
		}
	}
}
