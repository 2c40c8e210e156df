package downstream

import "time"

// Bounds of a lingering close. Closing a connection with unread input resets it, and the reset may
// discard the response before the client has read it. The sidecar therefore reads and discards what
// the client still sends, within these bounds.
const (
	lingerTimeout = 300 * time.Millisecond
	lingerBytes   = 256 << 10
)

// reject answers an invalid request with a status and ends the connection by a lingering close.
func (c *conn) reject(status int) {
	x := &Exchange{conn: c}
	c.write(x.appendResponse(nil, status, "", nil, nil))
	c.server.mu.Lock()
	evicted := c.state == stateClosed // another connection has its slot already
	if !evicted {
		c.enter(stateClosed)
	}
	c.server.mu.Unlock()
	if !evicted {
		c.linger()
	}
}

// linger makes a lingering close. It is called by the connection's goroutine.
func (c *conn) linger() {
	c.closeWrite()
	c.discardInput()
}

// closeWrite closes the sending side, so that the client sees the end of the connection after its
// last response. It is called once, by the goroutine that entered stateClosed; the connection's own
// goroutine then discards input and closes.
func (c *conn) closeWrite() {
	if half, ok := c.netConn.(interface{ CloseWrite() error }); ok {
		half.CloseWrite()
	}
	c.netConn.SetReadDeadline(time.Now().Add(lingerTimeout))
}

// discardInput reads and discards what the client still sends, within the bounds.
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

// resetOnClose makes the close of the connection a reset. A truncated response that ends with its
// connection would look complete otherwise.
func (c *conn) resetOnClose() {
	if tcp, ok := c.netConn.(interface{ SetLinger(int) error }); ok {
		tcp.SetLinger(0)
	}
}
