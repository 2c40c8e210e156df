// Package link runs a peers.Node on a UDP socket: it owns the socket, the clock and two
// goroutines, the reader's and a timer's. It decides nothing. Who sent a datagram is told
// by its address, which has to be one of the fleet's; others are counted and dropped.
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

// Config is what a Link is told.
type Config struct {
	Listen string   // where datagrams arrive, host:port
	Peers  []string // by rank, this sidecar's own among them
	Node   peers.Config
	Seed   uint64
}

// AddrError says which address can't be used.
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

// Advice says what an operator can do.
func (e *AddrError) Advice() string {
	return "give " + e.Field + " as an IPv4 address and a port that no other process has; to serve without the others, leave MARTENDRUM_SHARE unset"
}

// minTimerInterval is the shortest time between two looks at the Node's clock: what is due within it
// shares one.
const minTimerInterval = time.Millisecond

// Link is a running Node.
type Link struct {
	conn  *net.UDPConn
	addrs []netip.AddrPort
	ranks map[netip.AddrPort]peers.Rank
	start time.Time

	mu     sync.Mutex
	node   *peers.Node
	timer  *time.Timer
	closed bool

	goroutines     sync.WaitGroup
	unknownSenders atomic.Uint64 // datagrams from no address of the fleet
	unsent         atomic.Uint64 // the socket did not take them
	damaged        int           // since the last one logged; the reader's, as is loggedAt
	loggedAt       time.Time
}

// Open begins the life of a sidecar among its peers. The number of the life is drawn from
// the system's clock; where that went back, the Node goes above it.
func Open(config Config) (*Link, error) {
	l := &Link{ranks: make(map[netip.AddrPort]peers.Rank), start: time.Now()}
	for r, text := range config.Peers {
		a, err := netip.ParseAddrPort(text)
		if err == nil && !a.Addr().Unmap().Is4() {
			err = errors.New("no IPv4 address")
		}
		if err != nil {
			return nil, &AddrError{fmt.Sprintf("peers[%d]", r), text, err}
		}
		a = netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
		if _, twice := l.ranks[a]; twice {
			return nil, &AddrError{fmt.Sprintf("peers[%d]", r), text, errors.New("it is another one's too")}
		}
		l.addrs = append(l.addrs, a)
		l.ranks[a] = peers.Rank(r)
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

// Do lets f use the Node, and sends what it wants sent. f must not block.
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
			l.unsent.Add(1) // as good as lost on the way
		}
	}
}

func (l *Link) tick() {
	l.Do(func(now time.Duration, n *peers.Node) {
		if now >= n.Due() {
			n.Tick(now)
		}
	})
}

// Counts is what the socket itself has seen.
type Counts struct{ UnknownSenders, Unsent uint64 }

// Counts returns it.
func (l *Link) Counts() Counts { return Counts{l.unknownSenders.Load(), l.unsent.Load()} }

// Close tells some that this sidecar leaves, and ends the link. Nothing of it runs when it
// returns.
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
	readErrorDelay = 10 * time.Millisecond // after a read that failed
	logInterval    = time.Minute           // damaged datagrams are logged so often
	readBufferSize = peers.MaxDatagram + 1
)

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

// logDropped logs datagrams that were dropped, not each.
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
