package netconn

import (
	"errors"
	"log/slog"
	"net"
	"syscall"
	"time"
)

// acceptBackoff is the pause after an accept that failed.
const acceptBackoff = 5 * time.Millisecond

// Accept returns the next connection that accept brings. Whatever error accept returns, but
// net.ErrClosed, is one of the moment: Linux hands on what is wrong with the network at that
// connection, and a full table of descriptors or a lack of memory passes. It is logged under
// the listener's name, given to failed if that is not nil, and accept is called again after
// a pause. So a loop over Accept ends with its listener, and for nothing else.
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
