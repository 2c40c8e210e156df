package netconn

import (
	"errors"
	"log/slog"
	"net"
	"syscall"
	"time"
)

// acceptBackoff is the time between a failed accept and the next one.
const acceptBackoff = 5 * time.Millisecond

// Accept calls accept until it returns a connection, and returns that. Every error except net.ErrClosed is
// treated as temporary: Linux reports network errors that are pending on the new connection, and a full
// descriptor table or a lack of memory may pass. Such an error is logged with the listener's name and passed
// to failed, if that is not nil, and accept is called again after a short backoff. A loop over Accept
// therefore ends only when its listener is closed.
func Accept[C any](listener string, accept func() (C, error), failed func(error)) (C, error) {
	for {
		conn, err := accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		slog.Warn("cannot accept a connection", "listener", listener, "err", err)
		if failed != nil {
			failed(err)
		}
		time.Sleep(acceptBackoff)
	}
}

// IsTableFull reports whether a call failed because no file descriptor was free, in the process or on the
// machine. Closing a connection frees one.
func IsTableFull(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}
