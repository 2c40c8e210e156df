package downstream

import "time"

// Bounds of a lingering close. Closing a connection with unread input resets it, and the reset may
// discard the response before the client has read it. The sidecar therefore reads and discards what
// the client still sends, for at most lingerTimeout and at most lingerBytes.
const (
	lingerTimeout = 300 * time.Millisecond
	lingerBytes   = 256 << 10
)

// reject answers with a status and ends the connection by a lingering close. It is called by the
// connection's goroutine.
func (c *conn) reject(status int) {
	x := &Exchange{conn: c}
	c.write(x.appendResponse(nil, status, "", nil, nil))
	c.server.mu.Lock()
	alreadyClosed := c.state == stateClosed // if it was evicted, another connection may have taken its place
	if !alreadyClosed {
		c.setState(stateClosed)
	}
	c.server.mu.Unlock()
	if !alreadyClosed {
		c.linger()
	}
}

// linger ends the connection by a lingering close. It is called by the connection's goroutine.
func (c *conn) linger() {
	c.closeWrite()
	c.discardInput()
}

// closeWrite closes the sending side, so that the client sees the end of the connection after its
// last response. It is called once, by the goroutine that changed the state to stateClosed. The
// connection's own goroutine then discards the remaining input and closes the connection.
func (c *conn) closeWrite() {
	if half, ok := c.netConn.(interface{ CloseWrite() error }); ok {
		half.CloseWrite()
	}
	c.netConn.SetReadDeadline(time.Now().Add(lingerTimeout))
}

// discardInput reads and discards what the client still sends, up to the read deadline and lingerBytes.
func (c *conn) discardInput() {
	buf := writeBuffers.Get().(*[]byte)
	defer writeBuffers.Put(buf)
	for left := lingerBytes; left > 0; {
		n, err := c.netConn.Read((*buf)[:cap(*buf)])
		if left -= n; err != nil {
			return
		}
	}
}

// resetOnClose makes the next close of the connection a reset. A response without a length ends where the
// connection is closed normally, so the client could take a truncated one for a complete one.
func (c *conn) resetOnClose() {
	if tcp, ok := c.netConn.(interface{ SetLinger(int) error }); ok {
		tcp.SetLinger(0)
	}
}
