package faultnet

import (
	"errors"
	"io"
	"net"
	"syscall"
	"time"
)

// isEOF reports whether err is the regular end of the data.
func isEOF(err error) bool { return errors.Is(err, io.EOF) }

// maxPeers is the number of senders to which a UDP link can relay the target's answers. A further
// sender replaces the one that was added first.
const maxPeers = 256

// relayDatagrams relays datagrams from any sender to the link's target until the link is closed. Each
// sender gets a socket, by which the target's answers are relayed back.
func (l *Link) relayDatagrams() {
	buf := make([]byte, 64<<10)
	for {
		n, from, err := l.packetConn.ReadFrom(buf)
		if err != nil {
			return
		}
		l.relayDatagram(There, buf[:n], func(b []byte) {
			if to, err := l.socketFor(from); err == nil {
				to.Write(b)
			}
		})
	}
}

// drawDelivery draws how many copies of a datagram are delivered, 0 if it is lost, and after which delay.
// Jitter may change the order of datagrams, as on a real network.
func (n *Net) drawDelivery(f Fault, direction Direction) (copies int, delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if f.Drop || f.Stall&direction != 0 || f.Loss > 0 && n.rng.Float64() < f.Loss {
		return 0, 0
	}
	copies = 1
	if f.Double > 0 && n.rng.Float64() < f.Double {
		copies = 2
	}
	return copies, f.Delay + time.Duration(float64(f.Jitter)*n.rng.Float64())
}

// sendCopies sends copies of a datagram after a delay. It does not wait for the delay, and may be called
// with a buffer that is reused.
func (n *Net) sendCopies(b []byte, copies int, delay time.Duration, send func([]byte)) {
	b = append([]byte(nil), b...)
	for range copies {
		if delay == 0 {
			send(b)
			continue
		}
		n.wg.Go(func() {
			time.Sleep(delay)
			send(b) // the datagram is lost if the socket has been closed meanwhile
		})
	}
}

// relayDatagram sends a datagram as the link's fault determines, and counts its bytes unless it is
// lost.
func (l *Link) relayDatagram(direction Direction, b []byte, send func([]byte)) {
	l.mu.Lock()
	f := l.fault
	l.mu.Unlock()
	copies, delay := l.net.drawDelivery(f, direction)
	if copies == 0 {
		return
	}
	l.mu.Lock()
	l.carried[direction>>1] += int64(len(b))
	l.mu.Unlock()
	l.net.sendCopies(b, copies, delay, send)
}

// socketFor returns the socket that relays a sender's datagrams to the link's target. It makes one at
// the first datagram of a sender.
func (l *Link) socketFor(from net.Addr) (net.Conn, error) {
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
			if err != nil && !errors.Is(err, syscall.ECONNREFUSED) { // ECONNREFUSED: no process listens at the target yet
				return
			}
			if err == nil {
				l.relayDatagram(Back, buf[:n], func(b []byte) { l.packetConn.WriteTo(b, from) })
			}
		}
	})
	return c, nil
}
