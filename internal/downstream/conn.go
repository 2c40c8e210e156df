package downstream

import (
	"errors"
	"log/slog"
	"net"
	"net/http"
	"os"
	"runtime"
	"runtime/debug"
	"sync"
	"time"

	"martendrum/internal/metrics"
	"martendrum/internal/netconn"
	"martendrum/internal/shutdown"
)

const (
	// The head of a connection's first request must be complete within firstRequestTimeout of
	// the accept, the head of a later request within requestTimeout of its first byte. Both bound
	// the whole head and not each read, so that a client that sends slowly is disconnected too.
	// For bodies see package transfer.
	firstRequestTimeout = 2600 * time.Millisecond
	requestTimeout      = 2600 * time.Millisecond
	// keepAliveTimeout is how long an idle connection stays open. A client whose next request
	// races with the close sends it again.
	keepAliveTimeout = 5 * time.Second
)

// connState is the state of a client connection.
type connState int

const (
	stateNew     connState = iota // no byte has arrived yet
	stateReading                  // a request is being read
	stateWaiting                  // a request waits for its response
	stateIdle                     // between a response and the next request
	stateClosed                   // closed by the sidecar, or about to be: no request is accepted
)

// conn is one client connection. The connection's own goroutine, serve, reads requests. Responses are
// written by whichever goroutine answers the request.
type conn struct {
	server   *Server
	netConn  net.Conn
	input    *netconn.LazyReader
	answered sync.Cond // signals that exchange became nil
	accepted time.Time // when the connection was accepted

	// Guarded by the server's lock.
	requests   int // number of requests registered
	state      connState
	stateSince time.Time
	exchange   *Exchange // the request that waits for its response; nil: none
	writeBegan time.Time // of the piece of a streamed response that is being written; zero: none
}

// setState changes the connection's state. The server's lock is held.
func (c *conn) setState(state connState) { c.state, c.stateSince = state, time.Now() }

// isBusy reports whether a shutdown waits for the connection. The server's lock is held.
func (c *conn) isBusy() bool {
	switch c.state {
	case stateReading, stateWaiting, stateClosed:
		return true
	case stateNew:
		return time.Since(c.stateSince) < shutdown.MaxIdleConnection
	}
	return false
}

// serve reads and hands over requests until the connection ends. It runs in the connection's own
// goroutine. If crowded, the server has too many connections, and the first request is rejected.
func (c *conn) serve(crowded bool) {
	defer c.close()
	defer c.recoverPanic()
	for c.awaitRequest() && c.serveRequest(crowded) {
	}
}

// recoverPanic confines a panic to its connection: it logs the panic and fails the open request. It
// must be called by defer.
func (c *conn) recoverPanic() {
	p := recover()
	if p == nil {
		return
	}
	slog.Error("panic at a client connection", "panic", p, "stack", string(debug.Stack()))
	c.server.mu.Lock()
	x := c.exchange
	c.server.mu.Unlock()
	if x != nil && c.server.handler.ClientDisconnected(x) {
		x.Fail()
	}
}

// serveRequest reads one request and hands it to the handler. It returns false if no further
// request may be read from the connection.
func (c *conn) serveRequest(crowded bool) bool {
	x, status := c.readRequest(crowded)
	switch {
	case status == statusDisconnected:
		return false
	case status != statusNone:
		c.reject(status)
		return false
	case x == nil: // the request has been answered
		runtime.Gosched() // if the next one is waiting already, other connections go first
		return true
	}
	if status := c.register(x); status != statusNone {
		x.Release()
		c.reject(status)
		return false
	}
	if !x.acceptedDuringShutdown.IsZero() {
		c.logAcceptedDuringShutdown(x)
	}
	c.server.handler.Arrive(x)
	if x.upload == nil {
		return true
	}
	c.awaitUpload(x)
	if x.upload.linger.Load() && !x.upload.isEvicted() {
		c.linger()
	}
	return !x.upload.linger.Load()
}

// register makes x the connection's open request. It returns statusNone, or the status to end the
// connection with: 503 if the connection has been closed meanwhile or there is no room, 409 if the id of x
// is known. With a reused id, which the protocol forbids, a response could reach the wrong client, or a
// request could be sent twice.
func (c *conn) register(x *Exchange) (status int) {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.state == stateClosed {
		return http.StatusServiceUnavailable
	}
	now := time.Now()
	if x.upload != nil && !s.reserveUpload(now) {
		s.meter.Limited(metrics.ConnectionLimit)
		return http.StatusServiceUnavailable
	}
	if status := s.ids.register(x, now); status != statusNone {
		if status == http.StatusServiceUnavailable {
			s.meter.Limited(metrics.IDLimit)
		}
		return status
	}
	c.requests++
	x.acceptedDuringShutdown = s.drainingSince
	c.exchange = x
	c.setState(stateWaiting)
	c.netConn.SetReadDeadline(time.Time{}) // the next read waits for a disconnect
	return statusNone
}

// logAcceptedDuringShutdown logs that a request was accepted during a shutdown, how long after its
// start, and on what kind of connection.
func (c *conn) logAcceptedDuringShutdown(x *Exchange) {
	c.server.mu.Lock()
	first := c.requests == 1
	c.server.mu.Unlock()
	slog.Info("request accepted during shutdown", "class", x.Class, "after", time.Since(x.acceptedDuringShutdown),
		"conn_age", time.Since(c.accepted), "first_on_conn", first)
}

// awaitUpload waits until the body of x will not be read any more. Meanwhile it observes the arrival of the
// body, so that the client's time counts from when it can have written the last byte, however slowly a
// server takes the body. Until an attempt claims the body, it also polls whether the client has
// disconnected: a read would return the unread bytes of the body instead of the disconnect.
func (c *conn) awaitUpload(x *Exchange) {
	next := time.NewTimer(0)
	defer next.Stop()
	evicted := x.upload.evicted
	for waitFrom := x.WaitFrom(); ; {
		ended := false
		select {
		case <-x.upload.done:
			ended = true
		case <-evicted:
			evicted = nil // it stays closed
		case <-next.C:
		}
		interval, paused := x.upload.sample()
		paused = paused || evicted == nil
		next.Reset(interval)
		if from := x.WaitFrom(); from != waitFrom {
			waitFrom = from
			c.server.handler.WaitMoved(x)
		}
		if ended {
			return
		}
		left := x.upload.unclaimed() && c.input.PeerClosed()
		if !left && !paused || !c.server.handler.ClientDisconnected(x) {
			continue // a response that is being written ends the upload
		}
		x.upload.stop()
		if paused {
			x.logPause()
			return
		}
	}
}

// awaitRequest waits for the first byte of the next request and for the end of the response to the
// previous one. It returns false if the connection has ended. A client that sends a request before the
// response to its previous one (pipelining) is rejected with 400, because the protocol does not
// define the order of responses.
func (c *conn) awaitRequest() bool {
	for {
		err := c.input.Wait()
		c.server.mu.Lock()
		// If err is not nil, the client has disconnected instead of sending another request.
		pipelined := c.exchange != nil && !c.exchange.answering
		if pipelined && c.cancelExchange() {
			c.server.mu.Unlock()
			if err == nil {
				c.reject(http.StatusBadRequest)
			}
			return false
		}
		for c.exchange != nil {
			c.answered.Wait()
		}
		if err == nil && !pipelined && c.state != stateClosed {
			c.beginRequest()
			c.server.mu.Unlock()
			return true
		}
		if !c.endWait(err, pipelined) {
			return false
		}
	}
}

// cancelExchange makes the handler end the open request, because its client has disconnected or has
// pipelined a request. It returns false if the response is being written. The server's lock is held on
// entry and on return, but released while the handler is called.
func (c *conn) cancelExchange() bool {
	x := c.exchange
	c.server.mu.Unlock()
	defer c.server.mu.Lock()
	return c.server.handler.ClientDisconnected(x)
}

// beginRequest records that the first byte of a request has arrived, and sets the deadline of its
// head. The server's lock is held.
func (c *conn) beginRequest() {
	if c.state != stateNew { // the first request's deadline counts from the accept
		c.netConn.SetReadDeadline(time.Now().Add(requestTimeout))
	}
	c.setState(stateReading)
}

// endWait ends a connection on which awaitRequest accepts no request, because the wait failed with
// err, the client pipelined a request, or the connection has been closed meanwhile. It returns true if
// bytes arrived just as the wait timed out: then awaitRequest must wait again. It is called with the
// server's lock held and releases it.
func (c *conn) endWait(err error, pipelined bool) (repeat bool) {
	timedOut := c.state != stateClosed && errors.Is(err, os.ErrDeadlineExceeded)
	if timedOut && c.input.Quiet() {
		c.setState(stateClosed)
	}
	closed := c.state == stateClosed
	c.server.mu.Unlock()
	switch {
	case timedOut && !closed:
		c.netConn.SetReadDeadline(time.Now().Add(requestTimeout))
		return true
	case timedOut, pipelined && err == nil:
		c.linger()
	case closed && err == nil:
		c.discardInput()
	}
	return false
}

// close removes the connection and its open request from the server, and closes it.
func (c *conn) close() {
	s := c.server
	s.mu.Lock()
	if c.exchange != nil {
		s.ids.end(c.exchange, time.Now())
		c.exchange = nil
	}
	c.setState(stateClosed)
	delete(s.conns, c)
	s.mu.Unlock()
	c.netConn.Close()
}
