package netconn

import (
	"errors"
	"log/slog"
	"net"
	"syscall"
	"time"
)

// acceptBackoff is the wait after a failed accept.
const acceptBackoff = 5 * time.Millisecond

// Accept returns the next connection of accept. Every error but net.ErrClosed is treated as
// temporary: Linux reports pending network errors of the new connection, and a full descriptor
// table or a lack of memory passes. Such an error is logged under the listener's name, given
// to failed if that is not nil, and accept is called again after a short backoff. A loop over
// Accept therefore ends only with its listener.
func Accept[C any](listener string, accept func() (C, error), failed func(error)) (C, error) {
	for {
		conn, err := accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return conn, err
		}
		slog.Warn("can't accept", "listener", listener, "err", err)
		if failed != nil {
			failed(err)
		}
		time.Sleep(acceptBackoff)
	}
}

// IsTableFull reports whether a call failed because there was no descriptor left, in the
// process or on the machine: closing a connection helps.
func IsTableFull(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}
