package netconn

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
)

// acceptErrnos are the errors that accept(2) documents, including the network errors that it passes on.
var acceptErrnos = []syscall.Errno{
	syscall.EAGAIN, syscall.ECONNABORTED, syscall.EINTR, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
	syscall.EPROTO, syscall.EPERM, syscall.ENETDOWN, syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET,
	syscall.EHOSTUNREACH, syscall.EOPNOTSUPP, syscall.ENETUNREACH, syscall.ETIMEDOUT, syscall.ESOCKTNOSUPPORT, syscall.EPROTONOSUPPORT,
}

// Accept retries after every temporary error, and returns an error only when its listener is closed.
func TestAcceptContinuesAfterErrors(t *testing.T) {
	for _, errno := range acceptErrnos {
		t.Run(errno.Error(), func(t *testing.T) {
			calls, failures := 0, 0
			accept := func() (int, error) {
				calls++
				switch calls {
				case 1, 2:
					return 0, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", errno)}
				case 3:
					return 42, nil
				}
				return 0, &net.OpError{Op: "accept", Net: "tcp", Err: net.ErrClosed}
			}
			failed := func(err error) {
				failures++
				if full := IsTableFull(err); full != (errno == syscall.EMFILE || errno == syscall.ENFILE) {
					t.Errorf("IsTableFull(%v) = %v, want %v", err, full, !full)
				}
			}
			if conn, err := Accept("test", accept, failed); conn != 42 || err != nil {
				t.Errorf("Accept() = %v, %v; want 42 and no error", conn, err)
			}
			if failures != 2 {
				t.Errorf("%d failures were reported, want 2", failures)
			}
			if _, err := Accept("test", accept, nil); !errors.Is(err, net.ErrClosed) {
				t.Errorf("Accept() on a closed listener: got error %v, want %v", err, net.ErrClosed)
			}
		})
	}
}
