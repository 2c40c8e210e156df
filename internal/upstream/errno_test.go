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

// socketErrnos are what calls on a socket may fail with, whatever the call.
var socketErrnos = []syscall.Errno{
	syscall.ECONNABORTED, syscall.ECONNREFUSED, syscall.ECONNRESET, syscall.EPIPE, syscall.ETIMEDOUT, syscall.EHOSTUNREACH,
	syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EHOSTDOWN, syscall.ENFILE, syscall.EMFILE, syscall.ENOBUFS, syscall.ENOMEM,
	syscall.EADDRNOTAVAIL, syscall.EADDRINUSE, syscall.EACCES, syscall.EPERM, syscall.EPROTO, syscall.EIO, syscall.ENOTCONN, syscall.EINTR,
}

// scripted is a connection whose calls fail as a test says.
type scripted struct {
	takes    int    // bytes that writes take before they fail; below 0: all
	writeErr error  // what a write that takes less fails with, and one that takes all if failsWhole
	whole    bool   // the write that takes the last byte fails all the same
	gives    string // what reads give before they fail
	readErr  error

	mu      sync.Mutex
	got     bytes.Buffer
	written chan struct{} // closed when a write has ended
	closed  chan struct{}
	once    sync.Once
	end     sync.Once
}

func newScripted() *scripted {
	return &scripted{takes: -1, written: make(chan struct{}), closed: make(chan struct{})}
}

func (s *scripted) Write(p []byte) (int, error) {
	defer s.once.Do(func() { close(s.written) })
	s.mu.Lock()
	defer s.mu.Unlock()
	n := len(p)
	if s.takes >= 0 {
		n = min(n, s.takes)
	}
	s.got.Write(p[:n])
	if n < len(p) || s.whole {
		return n, &net.OpError{Op: "write", Net: "tcp", Err: s.writeErr}
	}
	return n, nil
}

func (s *scripted) Read(p []byte) (int, error) {
	select {
	case <-s.written:
	case <-s.closed:
		return 0, net.ErrClosed
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if n := copy(p, s.gives); n > 0 {
		s.gives = s.gives[n:]
		return n, nil
	}
	return 0, &net.OpError{Op: "read", Net: "tcp", Err: s.readErr}
}

func (s *scripted) Close() error {
	s.end.Do(func() { close(s.closed) })
	return nil
}

// arrived reports whether the server has the complete request.
func (s *scripted) arrived() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.HasSuffix(s.got.String(), "\r\n\r\n")
}

func (*scripted) LocalAddr() net.Addr              { return &net.TCPAddr{} }
func (*scripted) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (*scripted) SetDeadline(time.Time) error      { return nil }
func (*scripted) SetReadDeadline(time.Time) error  { return nil }
func (*scripted) SetWriteDeadline(time.Time) error { return nil }

// What a failed call proves depends on the call and on how much of the request it accepted, not
// on its errno: nothing ran if the server can't have the complete request, and it may have run
// otherwise. There is one outcome, and no connection or slot is leaked.
func TestOutcomesOfFailedCalls(t *testing.T) {
	for name, test := range map[string]struct {
		want   martendrum.Outcome
		script func(s *scripted, err error) (dialErr error)
	}{
		"dial": {martendrum.ConnectFailed, func(_ *scripted, err error) error { return err }},
		"write, nothing taken": {martendrum.ConnectFailed, func(s *scripted, err error) error {
			s.takes, s.writeErr, s.readErr = 0, err, err
			return nil
		}},
		"write, a part taken": {martendrum.ConnectFailed, func(s *scripted, err error) error {
			s.takes, s.writeErr, s.readErr = 20, err, err
			return nil
		}},
		"write, all taken": {martendrum.Reset, func(s *scripted, err error) error {
			s.whole, s.writeErr, s.readErr = true, err, err
			return nil
		}},
		"read before an answer": {martendrum.Reset, func(s *scripted, err error) error {
			s.readErr = err
			return nil
		}},
		"read within a head": {martendrum.Reset, func(s *scripted, err error) error {
			s.gives, s.readErr = good[:20], err
			return nil
		}},
		"read within a body": {martendrum.Reset, func(s *scripted, err error) error {
			s.gives, s.readErr = good[:len(good)-1], err
			return nil
		}},
		"read behind an answer": {martendrum.OK, func(s *scripted, err error) error {
			s.gives, s.readErr = good, err
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
				e := ask(t, p)
				if e.o != test.want {
					t.Errorf("%v: outcome %v, want %v", errno, e.o, test.want)
				}
				if e.o.ProvablyNotExecuted() && s.arrived() {
					t.Errorf("%v: outcome %v, and the server has the request", errno, e.o)
				}
				eventually(t, "no connection", func() bool { return p.Conns() == 0 })
			}
		})
	}
}
