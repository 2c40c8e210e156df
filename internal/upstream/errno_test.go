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

// socketErrnos are the errors with which any call on a socket may fail.
var socketErrnos = []syscall.Errno{
	syscall.ECONNABORTED, syscall.ECONNREFUSED, syscall.ECONNRESET, syscall.EPIPE, syscall.ETIMEDOUT, syscall.EHOSTUNREACH,
	syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EHOSTDOWN, syscall.ENFILE, syscall.EMFILE, syscall.ENOBUFS, syscall.ENOMEM,
	syscall.EADDRNOTAVAIL, syscall.EADDRINUSE, syscall.EACCES, syscall.EPERM, syscall.EPROTO, syscall.EIO, syscall.ENOTCONN, syscall.EINTR,
}

// scriptedConn is a connection whose calls fail by a test's script.
type scriptedConn struct {
	writeLimit    int    // bytes written before writes fail; below 0: no limit
	writeErr      error  // what a write beyond writeLimit fails with, and the last write if failLastWrite
	failLastWrite bool   // the write of the last byte reports an error
	input         string // what reads return before they fail
	readErr       error

	mu      sync.Mutex
	output  bytes.Buffer
	written chan struct{} // closed when a write has ended
	closed  chan struct{}
	once    sync.Once
	end     sync.Once
}

func newScripted() *scriptedConn {
	return &scriptedConn{writeLimit: -1, written: make(chan struct{}), closed: make(chan struct{})}
}

func (s *scriptedConn) Write(p []byte) (int, error) {
	defer s.once.Do(func() { close(s.written) })
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
	s.end.Do(func() { close(s.closed) })
	return nil
}

// arrived reports whether the server has the complete request.
func (s *scriptedConn) arrived() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.HasSuffix(s.output.String(), "\r\n\r\n")
}

func (*scriptedConn) LocalAddr() net.Addr              { return &net.TCPAddr{} }
func (*scriptedConn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (*scriptedConn) SetDeadline(time.Time) error      { return nil }
func (*scriptedConn) SetReadDeadline(time.Time) error  { return nil }
func (*scriptedConn) SetWriteDeadline(time.Time) error { return nil }

// What a failed call proves depends on the call and on how much of the request it accepted, not
// on its errno: the request was not executed if the server can't have all of it, and it may have
// been executed otherwise. There is one outcome, and no connection or slot is leaked.
func TestOutcomesOfFailedCalls(t *testing.T) {
	for name, test := range map[string]struct {
		want   martendrum.Outcome
		script func(s *scriptedConn, err error) (dialErr error)
	}{
		"dial": {martendrum.ConnectFailed, func(_ *scriptedConn, err error) error { return err }},
		"write of nothing": {martendrum.ConnectFailed, func(s *scriptedConn, err error) error {
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
		"read behind an answer": {martendrum.OK, func(s *scriptedConn, err error) error {
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
				e := sendOne(t, p)
				if e.outcome != test.want {
					t.Errorf("%v: outcome %v, want %v", errno, e.outcome, test.want)
				}
				if e.outcome.ProvablyNotExecuted() && s.arrived() {
					t.Errorf("%v: outcome %v, and the server has the request", errno, e.outcome)
				}
				eventually(t, "no connection", func() bool { return p.Conns() == 0 })
			}
		})
	}
}
