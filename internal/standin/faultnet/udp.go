package faultnet

import (
	"errors"
	"io"
	"net"
	"syscall"
	"time"
)

func isEOF(err error) bool { return errors.Is(err, io.EOF) }

// maxPeers is how many senders a UDP link answers; one more, and who has been
// there for longest is forgotten.
const maxPeers = 256

// datagrams relays from any sender to the address behind, and its answers back.
func (l *Link) datagrams() {
	buf := make([]byte, 64<<10)
	for {
		n, from, err := l.pc.ReadFrom(buf)
		if err != nil {
			return
		}
		l.carry(There, buf[:n], func(b []byte) {
			if to, err := l.peer(from); err == nil {
				to.Write(b)
			}
		})
	}
}

// fate draws what becomes of a datagram: how many copies arrive, and how late. Jitter may
// change their order, as on a real network.
func (n *Net) fate(f Fault, w Way) (copies int, wait time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if f.Drop || f.Stall&w != 0 || f.Loss > 0 && n.rng.Float64() < f.Loss {
		return 0, 0
	}
	copies = 1
	if f.Double > 0 && n.rng.Float64() < f.Double {
		copies = 2
	}
	return copies, f.Delay + time.Duration(float64(f.Jitter)*n.rng.Float64())
}

// later sends copies of a datagram after a wait.
func (n *Net) later(b []byte, copies int, wait time.Duration, send func([]byte)) {
	b = append([]byte(nil), b...)
	for range copies {
		if wait == 0 {
			send(b)
			continue
		}
		n.wg.Go(func() {
			time.Sleep(wait)
			send(b) // to a socket that may be closed by now: then it is lost
		})
	}
}

// carry sends a datagram on as the link's fault has it, and counts it if it is carried.
func (l *Link) carry(w Way, b []byte, send func([]byte)) {
	l.mu.Lock()
	f := l.fault
	l.mu.Unlock()
	copies, wait := l.net.fate(f, w)
	if copies == 0 {
		return
	}
	l.mu.Lock()
	l.carried[w>>1] += int64(len(b))
	l.mu.Unlock()
	l.net.later(b, copies, wait, send)
}

// peer is the socket that speaks for one sender.
func (l *Link) peer(from net.Addr) (net.Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.peers[from.String()]; c != nil {
		return c, nil
	}
	c, err := l.dial()
	if err != nil {
		return nil, err
	}
	l.net.mu.Lock()
	closed := l.net.closed
	l.net.mu.Unlock()
	if closed {
		c.Close()
		return nil, net.ErrClosed
	}
	if len(l.order) == maxPeers {
		l.peers[l.order[0]].Close()
		delete(l.peers, l.order[0])
		l.order = l.order[1:]
	}
	l.peers[from.String()] = c
	l.order = append(l.order, from.String())
	l.net.wg.Go(func() {
		buf := make([]byte, 64<<10)
		for {
			n, err := c.Read(buf)
			if err != nil && !errors.Is(err, syscall.ECONNREFUSED) { // nobody there so far
				return
			}
			if err == nil {
				l.carry(Back, buf[:n], func(b []byte) { l.pc.WriteTo(b, from) })
			}
		}
	})
	return c, nil
}
