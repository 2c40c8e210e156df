// Package netconn reads sockets with buffers that exist only while needed, and queries socket
// state that the net package does not expose. The client and the server side of the sidecar
// use it; it parses no messages.
package netconn

import (
	"bufio"
	"cmp"
	"io"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"

	"martendrum/internal/framing"
)

// Lazy reads a connection through a buffer that it holds only while bytes of the peer are
// unread or being read, so that idle connections cost no buffer. Its methods are for one
// reading goroutine at a time, except Quiet, IfQuiet, Rest and Left; the first three decide
// together with the reader, under one lock, which of them acts first.
type Lazy struct {
	nc  net.Conn
	raw syscall.RawConn // nil: not a socket, read without polling
	now *buffer         // nil: none held

	mu    sync.Mutex // held while bytes are read off the socket, and while that must not happen
	found bool       // Wait has found something, and the reader may be about to act on it
}

// buffer is a pooled reader. Its source is a descriptor within a raw read, else the
// connection.
type buffer struct {
	br  *bufio.Reader
	src source
}

type source struct {
	nc  net.Conn
	fd  int
	raw bool
}

// Read implements io.Reader. On a descriptor it does not wait.
func (s *source) Read(p []byte) (int, error) {
	if !s.raw {
		return s.nc.Read(p)
	}
	for {
		n, err := syscall.Read(s.fd, p)
		switch {
		case err == syscall.EINTR:
			continue
		case err != nil:
			return 0, err
		case n == 0 && len(p) > 0:
			return 0, io.EOF
		}
		return n, nil
	}
}

var buffers = sync.Pool{New: func() any {
	b := new(buffer)
	b.br = bufio.NewReaderSize(&b.src, framing.MaxHead)
	return b
}}

func take(src source) *buffer {
	b := buffers.Get().(*buffer)
	b.src = src
	b.br.Reset(&b.src)
	return b
}

// put gives b back. Nothing of the connection stays in it.
func put(b *buffer) {
	b.src = source{}
	buffers.Put(b)
}

// NewLazy returns a Lazy of nc. It holds nothing yet.
func NewLazy(nc net.Conn) *Lazy {
	l := &Lazy{nc: nc}
	if sc, ok := nc.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			l.raw = raw
		}
	}
	return l
}

// Wait waits until there is a byte to read, under the connection's read deadline, and
// gives the buffer back meanwhile. It takes no system call more than a plain read: the
// buffer is taken when the socket is tried, and given back if there was nothing.
// Errors are those of a read; io.EOF is the connection's end.
func (l *Lazy) Wait() error {
	if l.now != nil {
		if l.now.br.Buffered() > 0 {
			return nil
		}
		l.drop()
	}
	l.Rest()
	if l.raw == nil {
		l.now = take(source{nc: l.nc})
		return l.peek()
	}
	var err error
	if waited := l.raw.Read(func(fd uintptr) (done bool) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.now = take(source{fd: int(fd), raw: true})
		if err = l.peek(); err == syscall.EAGAIN {
			return false
		}
		l.found = true
		return true
	}); waited != nil {
		l.drop()
		return waited
	}
	if err != nil {
		if _, ok := err.(syscall.Errno); ok {
			err = &net.OpError{Op: "read", Net: "tcp", Source: l.nc.LocalAddr(), Addr: l.nc.RemoteAddr(), Err: err}
		}
		return err
	}
	l.now.src = source{nc: l.nc}
	return nil
}

// peek fills the buffer by one read; without a byte it gives the buffer back.
func (l *Lazy) peek() error {
	_, err := l.now.br.Peek(1)
	if err != nil {
		l.drop()
	}
	return err
}

func (l *Lazy) drop() {
	if l.now != nil {
		put(l.now)
		l.now = nil
	}
}

// Rest says that what Wait found has been read: the reader owes it nothing more.
func (l *Lazy) Rest() {
	l.mu.Lock()
	l.found = false
	l.mu.Unlock()
}

// Quiet says that nothing has come that is not read yet, the connection's end included,
// and that the reader has found nothing since it was at rest. It does not wait, takes
// nothing, and may be called from any goroutine. What is no socket passes for quiet.
func (l *Lazy) Quiet() bool { return l.IfQuiet(func() {}) }

// IfQuiet calls f if the connection is quiet, and says whether it did. The reader takes
// nothing off the socket meanwhile: what it finds later came after f had begun. f must
// not wait.
func (l *Lazy) IfQuiet(f func()) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.found || !l.empty() {
		return false
	}
	f()
	return true
}

// empty says that the socket holds nothing unread.
func (l *Lazy) empty() bool {
	if l.raw == nil {
		return true
	}
	var one [1]byte
	still := false
	err := l.raw.Control(func(fd uintptr) {
		err := syscall.EINTR
		for err == syscall.EINTR {
			_, _, e := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			err, _ = e.(syscall.Errno)
		}
		still = err == syscall.EAGAIN
	})
	return err == nil && still
}

// WriteNow writes what the socket takes at once, and returns how much that was: less than
// all is no error. It may be called from any goroutine. What is no socket takes nothing.
func (l *Lazy) WriteNow(b []byte) (n int, err error) {
	if l.raw == nil {
		return 0, nil
	}
	failed := l.raw.Write(func(fd uintptr) (done bool) {
		for n < len(b) && err == nil {
			var m int
			if m, err = syscall.Write(int(fd), b[n:]); m > 0 {
				n += m
			}
			if err == syscall.EINTR {
				err = nil
			}
		}
		return true
	})
	if err == syscall.EAGAIN {
		err = nil
	}
	return n, cmp.Or(failed, err)
}

// Left says that the peer has closed its side or reset the connection, also where bytes
// lie unread before that. It does not wait, and may be called from any goroutine. Of what
// is no socket nothing is known.
func (l *Lazy) Left() bool {
	if l.raw == nil {
		return false
	}
	left := false
	err := l.raw.Control(func(fd uintptr) {
		p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(p, 0)
		for err == unix.EINTR {
			n, err = unix.Poll(p, 0)
		}
		left = err == nil && n > 0 && p[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return err != nil || left
}

// Reader is what Wait has found something in, good until the next Wait.
func (l *Lazy) Reader() *bufio.Reader { return l.now.br }

// Buffered is how many bytes have been read off the socket and not taken.
func (l *Lazy) Buffered() int {
	if l.now == nil {
		return 0
	}
	return l.now.br.Buffered()
}
