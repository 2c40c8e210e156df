package upstream

import (
	"errors"
	"log/slog"
	"os"
	"syscall"
	"time"
)

const (
	// pauseNotice is how long an answer that has begun may pause before its attempt's owner is told,
	// so that it can hedge while there is time. The pause does not end the attempt.
	pauseNotice = 600 * time.Millisecond
	// closeAllowance is how long after its Deadline an attempt's owner may take to abandon it. After
	// that the read fails.
	closeAllowance = time.Second
)

// Read implements io.Reader for an answer of which at least one byte has arrived. It is the only place
// that limits the time of such a read: a streamed answer may pause for streamTimeout, a buffered one
// until the attempt's owner abandons it at its deadline. The first byte is awaited by LazyReader.Wait,
// which reads from the socket itself.
func (c *conn) Read(b []byte) (int, error) {
	a := c.answering
	switch {
	case a == nil:
		return c.Conn.Read(b)
	case c.streaming:
		return c.readWithin(b, time.Now().Add(streamTimeout))
	case !a.hasPaused():
		n, err := c.readWithin(b, time.Now().Add(pauseNotice))
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		a.reportPause()
	}
	n, err := c.readWithin(b, a.Deadline.Add(closeAllowance))
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && a.isForwarded() {
		c.streaming = true
		return c.Read(b)
	}
	return n, err
}

// readWithin reads from the socket until the deadline.
func (c *conn) readWithin(b []byte, deadline time.Time) (int, error) {
	c.hasReadDeadline = true
	c.SetReadDeadline(deadline)
	return c.Conn.Read(b)
}

// clearReadDeadline removes the read deadline of the last answer, if it had one.
func (c *conn) clearReadDeadline() {
	if c.hasReadDeadline {
		c.hasReadDeadline = false
		c.SetReadDeadline(time.Time{})
	}
}

// SyscallConn implements syscall.Conn.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return socket.SyscallConn()
}

// hasPaused reports whether the answer has paused for pauseNotice.
func (a *Attempt) hasPaused() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.paused
}

// reportPause records that the answer has paused, and tells the attempt's owner.
func (a *Attempt) reportPause() {
	a.mu.Lock()
	a.paused = true
	closed := a.closed
	a.mu.Unlock()
	if closed {
		return
	}
	slog.Info("answer paused", "server", a.Server, "id", a.Request.ID, "since_start", time.Since(a.startedAt), "deadline_in", time.Until(a.Deadline))
	if a.OnPaused != nil {
		a.OnPaused()
	}
}
