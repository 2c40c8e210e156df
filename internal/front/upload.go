package front

import (
	"errors"
	"io"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// streamMost is the longest body taken. Guards against clients that send without end.
	streamMost = 33 << 20
	// A body must come at paceLeast bytes a second after paceGrace, on the whole: a
	// client may be slow, but not stand still. Guards against half a request and
	// silence, which ends after the grace, and against a trickle, which would hold a
	// server's connection. It may do harm to a client below that pace.
	paceLeast = 40 << 10
	paceGrace = 2200 * time.Millisecond
	// takeMost is how long a client may take nothing of a streamed answer.
	takeMost = 10 * time.Second
)

// paced reads a body from a connection at the client's pace, within bounds.
type paced struct {
	c     *conn
	from  io.Reader
	began time.Time
	got   int64
}

// Read implements io.Reader. It ends where the connection was given up meanwhile: what
// that set as its deadline may have been before arm's.
func (p *paced) Read(b []byte) (int, error) {
	p.arm()
	s := p.c.srv
	s.mu.Lock()
	over := p.c.state == shut
	s.mu.Unlock()
	if over {
		return 0, os.ErrDeadlineExceeded
	}
	return p.take(b)
}

func (p *paced) arm() {
	p.c.nc.SetReadDeadline(p.began.Add(paceGrace + time.Duration(p.got)*time.Second/paceLeast))
}

func (p *paced) take(b []byte) (int, error) {
	n, err := p.from.Read(b)
	p.got += int64(n)
	return n, err
}

// upload is the part of a request's body that is not held. One attempt reads it.
type upload struct {
	from   *paced
	length int64 // of the whole body; -1: not known
	linger atomic.Bool

	mu      sync.Mutex
	claimed bool
	stopped bool // nobody may claim it any more
	whole   bool
	closed  bool // who claimed it reads no more
	once    sync.Once
	done    chan struct{} // closed when nobody reads it any more
}

// stream makes what is left of the body the request's stream, and completes the head.
func (x *Exchange) stream(length int64, from *paced) {
	x.up = &upload{from: from, length: length, done: make(chan struct{})}
	x.Request.Stream = x.up
	if length >= 0 {
		x.Request.Head = appendLength(x.Request.Head, length)
	} else {
		x.Request.Head = append(x.Request.Head, "Transfer-Encoding: chunked\r\n"...)
	}
}

// Uploads is how long the rest of the body may take at most.
func (x *Exchange) Uploads() time.Duration {
	if x.up == nil {
		return 0
	}
	length := x.up.length
	if length < 0 {
		length = streamMost
	}
	return paceGrace + time.Duration(length)*time.Second/paceLeast
}

// Claim implements upstream.Stream.
func (u *upload) Claim() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.claimed || u.stopped {
		return false
	}
	u.claimed = true
	return true
}

// Chunked implements upstream.Stream.
func (u *upload) Chunked() bool { return u.length < 0 }

// errStopped ends the reading of a body whose request has its answer.
var errStopped = errors.New("front: the request is over")

// Read implements upstream.Stream.
func (u *upload) Read(b []byte) (int, error) {
	u.mu.Lock()
	if u.stopped {
		u.mu.Unlock()
		return 0, errStopped
	}
	u.from.arm()
	u.mu.Unlock()
	n, err := u.from.take(b)
	if u.from.got > streamMost {
		return 0, io.ErrShortBuffer
	}
	if err == io.EOF {
		u.mu.Lock()
		u.whole = true
		u.mu.Unlock()
		u.from.c.nc.SetReadDeadline(time.Time{}) // the connection's goroutine watches again
	}
	return n, err
}

// Close implements upstream.Stream. The connection's goroutine may read again, but not
// before the request's answer where the body did not come whole: what the client still
// sends of it would pass for its next request.
func (u *upload) Close() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.closed = true
	if u.whole || u.stopped {
		u.free()
	}
	return nil
}

// unread says that nobody has begun to read the body, and may still.
func (u *upload) unread() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return !u.claimed && !u.stopped
}

func (u *upload) free() { u.once.Do(func() { close(u.done) }) }

// came says that the body has come whole.
func (u *upload) came() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.whole
}

// stop says that the request has its answer; true if its body has come whole. Whoever
// reads the body stops.
func (u *upload) stop() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.stopped = true
	u.linger.Store(!u.whole)
	switch {
	case u.whole: // freed, or about to be
	case u.claimed && !u.closed:
		u.from.c.nc.SetReadDeadline(time.Unix(1, 0))
	default:
		u.free()
	}
	return u.whole
}
