// Package netconn reads sockets through buffers that are held only while they are needed, and queries socket
// state that package net does not expose. It is used for connections to clients and to servers, and parses
// no messages.
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

// LazyReader reads a connection through a pooled buffer, which it holds only while bytes of the peer are unread or
// being read, so that idle connections need no buffer.
//
// Only one goroutine at a time, the reader, may call its methods, except Quiet, IfQuiet, MarkHandled, WriteNow
// Unread and PeerClosed, which any goroutine may call. One lock puts Quiet, IfQuiet and MarkHandled in order with the
// reads of Wait.
type LazyReader struct {
	conn net.Conn
	raw  syscall.RawConn // nil: conn is not a socket and is read directly
	held *buffer         // nil: no buffer is held

	mu    sync.Mutex // held while Wait reads from the socket, and by others to keep Wait from reading
	found bool       // Wait has found bytes or an error that the reader may not have handled yet
}

// buffer is a pooled buffered reader with its source.
type buffer struct {
	reader *bufio.Reader
	source source
}

// source is what a buffer reads from: the descriptor fd during a raw read, otherwise conn.
type source struct {
	conn net.Conn
	fd   int
	raw  bool
}

// Read implements io.Reader. A raw read does not block, and returns EAGAIN if there is nothing to read.
func (s *source) Read(p []byte) (int, error) {
	if !s.raw {
		return s.conn.Read(p)
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

// buffers holds unused buffers.
var buffers = sync.Pool{New: func() any {
	b := new(buffer)
	b.reader = bufio.NewReaderSize(&b.source, framing.MaxHead)
	return b
}}

// getBuffer returns an empty buffer that reads from src.
func getBuffer(src source) *buffer {
	b := buffers.Get().(*buffer)
	b.source = src
	b.reader.Reset(&b.source)
	return b
}

// putBuffer returns b to the pool, without a reference to the connection.
func putBuffer(b *buffer) {
	b.source = source{}
	buffers.Put(b)
}

// NewLazyReader returns a LazyReader that reads conn. It holds no buffer yet.
func NewLazyReader(conn net.Conn) *LazyReader {
	l := &LazyReader{conn: conn}
	if socket, ok := conn.(syscall.Conn); ok {
		if raw, err := socket.SyscallConn(); err == nil {
			l.raw = raw
		}
	}
	return l
}

// Wait waits until there is a byte to read, or until the connection's read deadline. It holds no buffer
// meanwhile. It needs no more system calls than a plain read: it gets a buffer for each try to read the
// socket, and returns it to the pool if there was nothing to read. Its errors are those of a read; io.EOF is
// the end of the connection.
func (l *LazyReader) Wait() error {
	if l.held != nil {
		if l.held.reader.Buffered() > 0 {
			return nil
		}
		l.releaseBuffer()
	}
	l.MarkHandled()
	if l.raw == nil {
		l.held = getBuffer(source{conn: l.conn})
		return l.peek()
	}
	var err error
	if waitErr := l.raw.Read(func(fd uintptr) (done bool) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.held = getBuffer(source{fd: int(fd), raw: true})
		if err = l.peek(); err == syscall.EAGAIN {
			return false
		}
		l.found = true
		return true
	}); waitErr != nil {
		l.releaseBuffer()
		return waitErr
	}
	if err != nil {
		if _, ok := err.(syscall.Errno); ok {
			err = &net.OpError{Op: "read", Net: "tcp", Source: l.conn.LocalAddr(), Addr: l.conn.RemoteAddr(), Err: err}
		}
		return err
	}
	l.held.source = source{conn: l.conn}
	return nil
}

// peek fills the buffer with one read. If that returns no byte, the buffer is released.
func (l *LazyReader) peek() error {
	_, err := l.held.reader.Peek(1)
	if err != nil {
		l.releaseBuffer()
	}
	return err
}

// releaseBuffer returns the buffer to the pool, if one is held.
func (l *LazyReader) releaseBuffer() {
	if l.held != nil {
		putBuffer(l.held)
		l.held = nil
	}
}

// MarkHandled records that the reader has handled what Wait has found, so that the connection can be quiet
// again.
func (l *LazyReader) MarkHandled() {
	l.mu.Lock()
	l.found = false
	l.mu.Unlock()
}

// Quiet reports whether the connection is quiet: neither bytes nor the end of the connection are waiting in
// the socket, and Wait has found nothing since the last MarkHandled. It does not block, consumes nothing, and
// may be called from any goroutine. A connection that is not a socket always counts as quiet.
func (l *LazyReader) Quiet() bool { return l.IfQuiet(func() {}) }

// IfQuiet calls f if the connection is quiet (see Quiet), and reports whether it did. While f runs, the reader
// does not read from the socket, so that anything it finds later has arrived after the check. f must not
// block. IfQuiet may be called from any goroutine.
func (l *LazyReader) IfQuiet(f func()) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.found || !l.isSocketEmpty() {
		return false
	}
	f()
	return true
}

// isSocketEmpty reports whether the socket holds neither unread bytes nor the end of the connection. It
// returns true if the connection is not a socket.
func (l *LazyReader) isSocketEmpty() bool {
	if l.raw == nil {
		return true
	}
	var peeked [1]byte
	empty := false
	err := l.raw.Control(func(fd uintptr) {
		err := syscall.EINTR
		for err == syscall.EINTR {
			_, _, recvErr := syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			err, _ = recvErr.(syscall.Errno)
		}
		empty = err == syscall.EAGAIN
	})
	return err == nil && empty
}

// Unread returns the number of bytes that are waiting in the socket; 1 if only that some are waiting is known,
// 0 if the connection is not a socket. It does not block, consumes nothing, and may be called from any
// goroutine.
func (l *LazyReader) Unread() (n int) {
	if l.raw == nil {
		return 0
	}
	var ioctlErr error
	err := l.raw.Control(func(fd uintptr) { n, ioctlErr = unix.IoctlGetInt(int(fd), unix.SIOCINQ) })
	if err == nil && ioctlErr == nil {
		return n
	}
	if l.isSocketEmpty() {
		return 0
	}
	return 1
}

// WriteNow writes as much of b as the socket's send buffer accepts without blocking, and returns how many
// bytes that was. It is not an error if that is less than all of b. It may be called from any goroutine. To a
// connection that is not a socket, it writes nothing.
func (l *LazyReader) WriteNow(b []byte) (n int, err error) {
	if l.raw == nil {
		return 0, nil
	}
	rawErr := l.raw.Write(func(fd uintptr) (done bool) {
		for n < len(b) && err == nil {
			var written int
			if written, err = syscall.Write(int(fd), b[n:]); written > 0 {
				n += written
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
	return n, cmp.Or(rawErr, err)
}

// PeerClosed reports whether the peer has closed its side of the connection or reset it, even if bytes that arrived
// before are still unread. It does not block, and may be called from any goroutine. It returns false if the
// connection is not a socket, and true if this side has closed it.
func (l *LazyReader) PeerClosed() bool {
	if l.raw == nil {
		return false
	}
	closed := false
	err := l.raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(fds, 0)
		for err == unix.EINTR {
			n, err = unix.Poll(fds, 0)
		}
		closed = err == nil && n > 0 && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return err != nil || closed
}

// Reader returns the reader of the connection, which holds what Wait has found. It is valid until the next
// Wait. It must be called only after a Wait that returned no error.
func (l *LazyReader) Reader() *bufio.Reader { return l.held.reader }

// Buffered returns the number of bytes that have been read from the socket and not from Reader.
func (l *LazyReader) Buffered() int {
	if l.held == nil {
		return 0
	}
	return l.held.reader.Buffered()
}
