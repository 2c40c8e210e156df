// Package link runs a peers.Node on a UDP socket. It owns the socket, the clock, the reading
// goroutine and a timer, and leaves all decisions to the Node. A datagram's address identifies its
// sender; datagrams from addresses outside the fleet are counted and dropped.
package link

import (
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"martendrum/internal/peers"
)

// Config configures a Link.
type Config struct {
	Listen string   // address to receive datagrams at, host:port
	Peers  []string // addresses by rank, including this sidecar's own
	Node   peers.Config
	Seed   uint64 // of the Node's random numbers
}

// AddrError reports an address in a field of the configuration that can't be used.
type AddrError struct {
	Field, Addr string
	err         error
}

// Error implements error.
func (e *AddrError) Error() string {
	return fmt.Sprintf("peers: %s: %q: %v", e.Field, e.Addr, e.err)
}

// Unwrap returns the cause.
func (e *AddrError) Unwrap() error { return e.err }

// Advice returns the operator's next step.
func (e *AddrError) Advice() string {
	return "give " + e.Field + " as an IPv4 address and a port that no other process uses; to serve without peers, leave MARTENDRUM_SHARE unset"
}

// minTimerInterval is the minimum time between two timer events. Actions that are due within it are
// performed together.
const minTimerInterval = time.Millisecond

// Link is a running Node. It is safe for concurrent use.
type Link struct {
	conn  *net.UDPConn
	addrs []netip.AddrPort
	ranks map[netip.AddrPort]peers.Rank
	start time.Time // the Node's time is the time since start

	mu     sync.Mutex
	node   *peers.Node
	timer  *time.Timer
	closed bool

	goroutines     sync.WaitGroup
	unknownSenders atomic.Uint64 // datagrams from addresses outside the fleet
	unsent         atomic.Uint64 // datagrams that the socket rejected
	damaged        int           // since the last log line; used by the reading goroutine only, as is loggedAt
	loggedAt       time.Time
}

// Open starts a Link. The incarnation is the system clock's time in milliseconds unless it is
// configured. If the clock went back, the Node rises above its earlier incarnation. The error is an
// *AddrError or a *peers.ConfigError.
func Open(config Config) (*Link, error) {
	l := &Link{ranks: make(map[netip.AddrPort]peers.Rank), start: time.Now()}
	for r, text := range config.Peers {
		addr, err := netip.ParseAddrPort(text)
		if err == nil && !addr.Addr().Unmap().Is4() {
			err = errors.New("not an IPv4 address")
		}
		if err != nil {
			return nil, &AddrError{fmt.Sprintf("peers[%d]", r), text, err}
		}
		addr = netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())
		if _, duplicate := l.ranks[addr]; duplicate {
			return nil, &AddrError{fmt.Sprintf("peers[%d]", r), text, errors.New("another peer has the same address")}
		}
		l.addrs = append(l.addrs, addr)
		l.ranks[addr] = peers.Rank(r)
	}
	at, err := netip.ParseAddrPort(config.Listen)
	if err != nil {
		return nil, &AddrError{"peer_listen", config.Listen, err}
	}
	config.Node.Size = len(config.Peers)
	if config.Node.Incarnation == 0 {
		config.Node.Incarnation = uint64(max(1, l.start.UnixMilli()))
	}
	if l.node, err = peers.New(config.Node, 0, rand.New(rand.NewPCG(config.Seed, 3))); err != nil {
		return nil, err
	}
	if l.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at)); err != nil {
		return nil, &AddrError{"peer_listen", config.Listen, err}
	}
	l.timer = time.AfterFunc(time.Hour, l.tick)
	l.goroutines.Go(l.read)
	l.Do(func(time.Duration, *peers.Node) {}) // sets the timer
	return l, nil
}

// Do calls f with the Node and its current time, and sends the resulting datagrams. f must not block or
// call methods of l. After Close, Do does nothing.
func (l *Link) Do(f func(now time.Duration, n *peers.Node)) {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return
	}
	f(time.Since(l.start), l.node)
	out := l.node.Out()
	l.timer.Reset(max(l.node.Due()-time.Since(l.start), minTimerInterval))
	l.mu.Unlock()
	for _, d := range out {
		if _, err := l.conn.WriteToUDPAddrPort(d.Data, l.addrs[d.To]); err != nil {
			l.unsent.Add(1) // has the same effect as a lost datagram
		}
	}
}

// tick calls the Node's Tick if it is due. The timer runs it.
func (l *Link) tick() {
	l.Do(func(now time.Duration, n *peers.Node) {
		if now >= n.Due() {
			n.Tick(now)
		}
	})
}

// Counts counts datagrams that were dropped outside of the Node: those received from addresses outside
// the fleet, and those that the socket rejected.
type Counts struct{ UnknownSenders, Unsent uint64 }

// Counts returns the counts so far.
func (l *Link) Counts() Counts { return Counts{l.unknownSenders.Load(), l.unsent.Load()} }

// Close notifies some members that this one leaves, and closes the socket. All goroutines have
// ended when it returns.
func (l *Link) Close() {
	l.Do(func(now time.Duration, n *peers.Node) { n.Leave(now) })
	l.mu.Lock()
	l.closed = true
	l.timer.Stop()
	l.mu.Unlock()
	l.conn.Close()
	l.goroutines.Wait()
}

const (
	readErrorDelay = 10 * time.Millisecond // delay after a failed read
	logInterval    = time.Minute           // minimum interval between log lines about dropped datagrams
	readBufferSize = peers.MaxDatagram + 1 // shows that a datagram is too long
)

// read passes arriving datagrams to the Node until the socket is closed.
func (l *Link) read() {
	buf := make([]byte, readBufferSize)
	for {
		n, from, err := l.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(readErrorDelay)
			continue
		}
		rank, ok := l.ranks[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		if !ok {
			l.unknownSenders.Add(1)
			continue
		}
		l.Do(func(now time.Duration, node *peers.Node) { err = node.Receive(now, rank, buf[:n]) })
		if err != nil {
			l.logDropped(rank, err)
		}
	}
}

// logDropped logs dropped datagrams, at most once per logInterval.
func (l *Link) logDropped(from peers.Rank, err error) {
	l.damaged++
	if time.Since(l.loggedAt) < logInterval {
		return
	}
	l.loggedAt = time.Now()
	advice := ""
	if d, ok := errors.AsType[*peers.DecodeError](err); ok {
		advice = d.Advice()
	}
	slog.Warn("datagrams dropped", "from", from, "count", l.damaged, "err", err, "advice", advice)
	l.damaged = 0
}
