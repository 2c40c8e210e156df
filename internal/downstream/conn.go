package downstream

import (
	"errors"
	"log/slog"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync"
	"time"

	"martendrum/internal/netconn"
	"martendrum/internal/shutdown"
)

const (
	// A connection's first request must be complete within firstRequestTimeout of its
	// acceptance, a later one within requestTimeout of its first byte. Guards against
	// clients that connect and send nothing, or never finish: a total, not a limit for
	// each read, so that a trickle ends too. Its cost: a client that takes longer for a
	// head is cut off. Bodies have a minimum rate of their own, see pacedReader.
	firstRequestTimeout = 2600 * time.Millisecond
	requestTimeout      = 2600 * time.Millisecond
	// keepAliveTimeout is how long an idle connection stays open. Guards against clients
	// that send one request and keep their connection for good. A client whose next
	// request races with the close sends it again.
	keepAliveTimeout = 5 * time.Second
	// disconnectCheckInterval is how often a client whose body nobody reads yet is
	// checked for having disconnected: no attempt must begin 0.1 s after that.
	disconnectCheckInterval = 40 * time.Millisecond
)

// connState is the state of a client connection.
type connState int

const (
	stateNew     connState = iota // no byte has arrived yet
	stateReading                  // a request is being read
	stateWaiting                  // a request waits for its response
	stateIdle                     // between requests
	stateClosed                   // closed by the sidecar, or about to be: it takes no request
)

// conn is one client connection. Its goroutine reads; responses are written by
// whoever has them.
type conn struct {
	server   *Server
	netConn  net.Conn
	input    *netconn.Lazy
	answered sync.Cond // signals that exchange became nil
	accepted time.Time // when the connection was accepted
	requests int       // registered so far; its goroutine's

	// Guarded by the server's lock.
	state      connState
	stateSince time.Time
	exchange   *Exchange // the request that waits for its response; nil: none
}

// enter changes the state. The server's lock is held.
func (c *conn) enter(state connState) { c.state, c.stateSince = state, time.Now() }

// isBusy reports whether a stopping sidecar waits for the connection. The server's lock
// is held.
func (c *conn) isBusy() bool {
	switch c.state {
	case stateReading, stateWaiting, stateClosed:
		return true
	case stateNew:
		return time.Since(c.stateSince) < shutdown.MaxIdleConnection
	}
	return false
}

// serve is the connection's goroutine. On a crowded server it refuses the connection's
// one request.
func (c *conn) serve(crowded bool) {
	defer c.close()
	defer c.recoverPanic()
	for c.awaitRequest() && c.serveRequest(crowded) {
	}
}

// recoverPanic keeps a panic to its connection, whose request fails. It is deferred.
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

// serveRequest reads one request and hands it to the handler. It returns false if the
// connection is over.
func (c *conn) serveRequest(crowded bool) bool {
	x, status := c.readRequest(crowded)
	switch {
	case status == statusDisconnected:
		return false
	case status != statusNone:
		c.reject(status)
		return false
	case x == nil: // answered already
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
	if x.upload.linger.Load() {
		c.linger()
		return false
	}
	return true
}

// register makes x the connection's open request. It returns the status to end the
// connection with if the id of x is in use or the connection was closed meanwhile.
// Guards against a response that goes to the wrong client, and a second send under the
// same id. Its cost: a client that reuses ids, which the protocol forbids, is rejected.
func (c *conn) register(x *Exchange) (status int) {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.state == stateClosed {
		return http.StatusServiceUnavailable
	}
	if !s.ids.open(x.id) {
		return http.StatusConflict
	}
	c.requests++
	x.acceptedDuringShutdown = s.drainingSince
	c.exchange = x
	c.enter(stateWaiting)
	c.netConn.SetReadDeadline(time.Time{}) // the reader notices a disconnect
	return statusNone
}

// logAcceptedDuringShutdown logs a request that is accepted during a shutdown: when, and on
// which kind of connection.
func (c *conn) logAcceptedDuringShutdown(x *Exchange) {
	slog.Info("request accepted during shutdown", "class", x.Class, "after", time.Since(x.acceptedDuringShutdown),
		"conn_age", time.Since(c.accepted), "first_on_conn", c.requests == 1)
}

// awaitUpload waits until nobody reads the body of x any more. Until somebody begins
// to, it checks whether the client has disconnected, which an unread body hides.
func (c *conn) awaitUpload(x *Exchange) {
	check := time.NewTicker(disconnectCheckInterval)
	defer check.Stop()
	for {
		select {
		case <-x.upload.done:
			return
		case <-check.C:
			if x.upload.unclaimed() && c.input.Left() && c.server.handler.ClientDisconnected(x) {
				x.upload.stop()
			}
		}
	}
}

// awaitRequest waits for the next request's first byte, and for the response to the last
// request; it returns false if the connection is over. A client that sends its next
// request early, before the response, is rejected: the protocol does not say which of its
// requests it would take a response for.
func (c *conn) awaitRequest() bool {
	for {
		err := c.input.Wait()
		c.server.mu.Lock()
		early := c.exchange != nil && !c.exchange.answering
		if early && c.cancelExchange() {
			c.server.mu.Unlock()
			if err == nil {
				c.reject(http.StatusBadRequest)
			}
			return false
		}
		for c.exchange != nil {
			c.answered.Wait()
		}
		if err == nil && !early && c.state != stateClosed {
			c.beginRequest()
			c.server.mu.Unlock()
			return true
		}
		if !c.endWait(err, early) {
			return false
		}
	}
}

// cancelExchange reports to the handler that the client of the open request has left; it
// returns false if the response is being written. The server's lock is held, but not
// during the handler's call.
func (c *conn) cancelExchange() bool {
	x := c.exchange
	c.server.mu.Unlock()
	defer c.server.mu.Lock()
	return c.server.handler.ClientDisconnected(x)
}

// beginRequest notes that a request's first byte has arrived. The server's lock is held.
func (c *conn) beginRequest() {
	if c.state != stateNew { // the first request's deadline counts from the accept
		c.netConn.SetReadDeadline(time.Now().Add(requestTimeout))
	}
	c.enter(stateReading)
}

// endWait ends a connection on which no request is taken: the wait failed with err, the
// client sent early, or the connection was closed meanwhile. It returns true if the wait
// must be repeated, because bytes arrived just as it timed out. The server's lock is held
// when it is called, and released.
func (c *conn) endWait(err error, early bool) (repeat bool) {
	timedOut := c.state != stateClosed && errors.Is(err, os.ErrDeadlineExceeded)
	if timedOut && c.input.Quiet() {
		c.enter(stateClosed)
	}
	closed := c.state == stateClosed
	c.server.mu.Unlock()
	switch {
	case timedOut && !closed:
		c.netConn.SetReadDeadline(time.Now().Add(requestTimeout))
		return true
	case timedOut, early && err == nil:
		c.linger()
	case closed && err == nil:
		c.discardInput()
	}
	return false
}

// close ends the connection for good.
func (c *conn) close() {
	s := c.server
	s.mu.Lock()
	if c.exchange != nil {
		s.ids.close(c.exchange.id)
		c.exchange = nil
	}
	c.enter(stateClosed)
	delete(s.conns, c)
	s.mu.Unlock()
	c.netConn.Close()
}
