package upstream

import (
	"bytes"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"martendrum"
)

// socketErrnos are the errors that calls on a socket may return.
var socketErrnos = []syscall.Errno{
	syscall.ECONNABORTED, syscall.ECONNREFUSED, syscall.ECONNRESET, syscall.EPIPE, syscall.ETIMEDOUT, syscall.EHOSTUNREACH,
	syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EHOSTDOWN, syscall.ENFILE, syscall.EMFILE, syscall.ENOBUFS, syscall.ENOMEM,
	syscall.EADDRNOTAVAIL, syscall.EADDRINUSE, syscall.EACCES, syscall.EPERM, syscall.EPROTO, syscall.EIO, syscall.ENOTCONN, syscall.EINTR,
}

// scriptedConn is a connection whose calls fail as its fields say. Reads block until a write has ended.
type scriptedConn struct {
	writeLimit    int    // how many bytes of a write are accepted before it fails; below 0: all
	writeErr      error  // the error of a write beyond writeLimit, or of every write if failLastWrite
	failLastWrite bool   // a write of all bytes returns an error nevertheless
	input         string // what reads return before they fail
	readErr       error  // the error of reads once input has been read

	mu        sync.Mutex
	output    bytes.Buffer  // what has been written
	written   chan struct{} // closed when a write has ended
	closed    chan struct{} // closed by Close
	writeOnce sync.Once     // closes written
	closeOnce sync.Once     // closes closed
}

// newScripted returns a connection whose writes succeed and whose reads return nothing.
func newScripted() *scriptedConn {
	return &scriptedConn{writeLimit: -1, written: make(chan struct{}), closed: make(chan struct{})}
}

func (s *scriptedConn) Write(p []byte) (int, error) {
	defer s.writeOnce.Do(func() { close(s.written) })
	s.mu.Lock()
	defer s.mu.Unlock()
	n := len(p)
	if s.writeLimit >= 0 {
		n = min(n, s.writeLimit)
	}
	s.output.Write(p[:n])
	if n < len(p) || s.failLastWrite {
		return n, &net.OpError{Op: "write", Net: "tcp", Err: s.writeErr}
	}
	return n, nil
}

func (s *scriptedConn) Read(p []byte) (int, error) {
	select {
	case <-s.written:
	case <-s.closed:
		return 0, net.ErrClosed
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := copy(p, s.input); n > 0 {
		s.input = s.input[n:]
		return n, nil
	}
	return 0, &net.OpError{Op: "read", Net: "tcp", Err: s.readErr}
}

func (s *scriptedConn) Close() error {
	s.closeOnce.Do(func() { close(s.closed) })
	return nil
}

// requestWritten reports whether the complete request has been written, so that the server has it.
func (s *scriptedConn) requestWritten() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.HasSuffix(s.output.String(), "\r\n\r\n")
}

func (*scriptedConn) LocalAddr() net.Addr              { return &net.TCPAddr{} }
func (*scriptedConn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (*scriptedConn) SetDeadline(time.Time) error      { return nil }
func (*scriptedConn) SetReadDeadline(time.Time) error  { return nil }
func (*scriptedConn) SetWriteDeadline(time.Time) error { return nil }

// The outcome of an attempt with a failed system call depends on the call and on how much of the request
// was written, not on the errno: the request was not executed if the server can't have all of it, and may
// have been executed otherwise. No connection stays open or counted.
func TestOutcomesOfFailedCalls(t *testing.T) {
	for name, test := range map[string]struct {
		want   martendrum.Outcome
		script func(s *scriptedConn, err error) (dialErr error)
	}{
		"dial": {martendrum.ConnectFailed, func(_ *scriptedConn, err error) error { return err }},
		"write of no byte": {martendrum.ConnectFailed, func(s *scriptedConn, err error) error {
			s.writeLimit, s.writeErr, s.readErr = 0, err, err
			return nil
		}},
		"write of a part": {martendrum.ConnectFailed, func(s *scriptedConn, err error) error {
			s.writeLimit, s.writeErr, s.readErr = 20, err, err
			return nil
		}},
		"write of the last byte": {martendrum.Reset, func(s *scriptedConn, err error) error {
			s.failLastWrite, s.writeErr, s.readErr = true, err, err
			return nil
		}},
		"read before an answer": {martendrum.Reset, func(s *scriptedConn, err error) error {
			s.readErr = err
			return nil
		}},
		"read within a head": {martendrum.Reset, func(s *scriptedConn, err error) error {
			s.input, s.readErr = goodAnswer[:20], err
			return nil
		}},
		"read within a body": {martendrum.Reset, func(s *scriptedConn, err error) error {
			s.input, s.readErr = goodAnswer[:len(goodAnswer)-1], err
			return nil
		}},
		"read after an answer": {martendrum.OK, func(s *scriptedConn, err error) error {
			s.input, s.readErr = goodAnswer, err
			return nil
		}},
	} {
		t.Run(name, func(t *testing.T) {
			for _, errno := range socketErrnos {
				s := newScripted()
				dialErr := test.script(s, os.NewSyscallError("call", errno))
				p := newPool("127.0.0.1:1")
				p.dial = func(string, time.Duration) (net.Conn, error) {
					if dialErr != nil {
						return nil, &net.OpError{Op: "dial", Net: "tcp", Err: dialErr}
					}
					return s, nil
				}
				got := sendOne(t, p)
				if got.outcome != test.want {
					t.Errorf("%v: got outcome %v, want %v", errno, got.outcome, test.want)
				}
				if got.outcome.ProvablyNotExecuted() && s.requestWritten() {
					t.Errorf("%v: got outcome %v, which says that the request was not executed, but the server has all of it", errno, got.outcome)
				}
				eventually(t, "no open connection", func() bool { return p.Conns() == 0 })
			}
		})
	}
}
