package faultnet

import (
	"errors"
	"io"
	"net"
	"syscall"
	"time"
)

func isEOF(err error) bool { return errors.Is(err, io.EOF) }

// peersMost is how many senders a UDP link answers; one more, and who has been
// there for longest is forgotten.
const peersMost = 256

// datagrams relays from any sender to the address behind, and its answers back.
func (l *Link) datagrams() {
	buf := make([]byte, 64<<10)
	for {
		n, from, err := l.pc.ReadFrom(buf)
		if err != nil {
			return
		}
		if !l.passes(There, n) {
			continue
		}
		to, err := l.peer(from)
		if err == nil {
			l.later(append([]byte(nil), buf[:n]...), func(b []byte) { to.Write(b) })
		}
	}
}

// passes decides whether a datagram is carried, and counts it.
func (l *Link) passes(w Way, n int) bool {
	l.mu.Lock()
	f := l.fault
	l.mu.Unlock()
	if f.Drop || f.Stall&w != 0 || f.Loss > 0 && l.net.chance() < f.Loss {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.carried[w>>1] += int64(n)
	return true
}

// later sends a datagram after the link's delay. Jitter may change their order, as
// on a real network.
func (l *Link) later(b []byte, send func([]byte)) {
	l.mu.Lock()
	f := l.fault
	l.mu.Unlock()
	if f.Delay == 0 && f.Jitter == 0 {
		send(b)
		return
	}
	wait := f.Delay + time.Duration(float64(f.Jitter)*l.net.chance())
	l.net.wg.Go(func() {
		time.Sleep(wait)
		send(b) // to a socket that may be closed by now: then it is lost
	})
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
	if len(l.order) == peersMost {
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
			if err == nil && l.passes(Back, n) {
				l.later(append([]byte(nil), buf[:n]...), func(b []byte) { l.pc.WriteTo(b, from) })
			}
		}
	})
	return c, nil
}
