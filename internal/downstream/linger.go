package downstream

import "time"

// A connection that is closed after a response is first read off within these bounds:
// closing it over unread bytes resets it, and the reset may destroy the response.
const (
	lingerTimeout = 300 * time.Millisecond
	lingerBytes   = 256 << 10
)

// reject answers what is not a valid request and closes the connection, after reading
// off some of what the client still sends.
func (c *conn) reject(status int) {
	x := &Exchange{conn: c}
	c.write(x.appendResponse(nil, status, "", nil, nil))
	c.server.mu.Lock()
	evicted := c.state == stateClosed // another connection has its place already
	if !evicted {
		c.enter(stateClosed)
	}
	c.server.mu.Unlock()
	if !evicted {
		c.linger()
	}
}

// linger ends the connection gracefully, on its goroutine: nothing more is written, and
// some of what the client still sends is read off.
func (c *conn) linger() {
	c.closeWrite()
	c.discardInput()
}

// closeWrite closes the sending side: the client sees the end after its last response.
// Whoever entered stateClosed calls it, once; the connection's goroutine reads off and
// closes.
func (c *conn) closeWrite() {
	if half, ok := c.netConn.(interface{ CloseWrite() error }); ok {
		half.CloseWrite()
	}
	c.netConn.SetReadDeadline(time.Now().Add(lingerTimeout))
}

// discardInput reads what the client still sends, within bounds, up to its end.
func (c *conn) discardInput() {
	buf := buffers.Get().(*[]byte)
	defer buffers.Put(buf)
	for left := lingerBytes; left > 0; {
		n, err := c.netConn.Read((*buf)[:cap(*buf)])
		if left -= n; err != nil {
			return
		}
	}
}

// resetOnClose makes closing the connection a reset: a response that ends with its
// connection would otherwise look complete.
func (c *conn) resetOnClose() {
	if tcp, ok := c.netConn.(interface{ SetLinger(int) error }); ok {
		tcp.SetLinger(0)
	}
}
