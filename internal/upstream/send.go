package upstream

import (
	"errors"
	"io"
	"log/slog"
	"net/http/httputil"
	"strconv"
	"sync"
	"time"

	"martendrum"
	"martendrum/internal/protocol"
)

const (
	// maxDirectWrite is how many bytes certainly fit a connection's empty send buffer. Longer
	// requests are written by a separate goroutine.
	maxDirectWrite = 8 << 10
	// streamTimeout is how long a streamed body or answer may pause.
	streamTimeout = 10 * time.Second
)

// buffers are the buffers of request heads.
var buffers = sync.Pool{New: func() any { b := make([]byte, 0, 4<<10); return &b }}

// streamBuffers are the read buffers of streamed bodies.
var streamBuffers = sync.Pool{New: func() any { b := make([]byte, 16<<10); return &b }}

// errClaimed reports that another attempt sends the body.
var errClaimed = errors.New("upstream: another attempt sends the body")

// send writes the request, or the part that certainly fits the connection's send buffer; a
// goroutine writes the rest, because the caller must not block. If anything had arrived on c
// before, including its end, send closes c and returns false: nothing was sent, and the request
// can go on another connection.
func (a *Attempt) send(c *conn) bool {
	buf := buffers.Get().(*[]byte)
	head := a.appendHead((*buf)[:0])
	small := a.Request.Stream == nil && len(head)+len(a.Request.Body) <= maxDirectWrite
	if small {
		head = append(head, a.Request.Body...)
	}
	begun := false
	var n int
	var err error
	quiet := c.input.IfQuiet(func() {
		if begun = a.begin(c); begun {
			n, err = c.Write(head)
		}
	})
	complete := n == len(head)
	*buf = head
	buffers.Put(buf)
	switch {
	case !quiet:
		a.pool.discard(c)
		return false
	case !begun:
		a.pool.discard(c)
		a.done(martendrum.NotSent)
	case small || !complete:
		a.endWrite(c, complete, err)
	default:
		go a.sendBody(c)
	}
	return true
}

// appendHead appends the request's head, with the time left until the deadline.
func (a *Attempt) appendHead(b []byte) []byte {
	b = append(b, a.Request.Head...)
	b = append(b, protocol.RequestDeadline+": "...)
	left := time.Until(a.Deadline)
	if a.Patience > 0 {
		left = min(left, a.Patience)
	}
	b = strconv.AppendInt(b, max(1, left.Milliseconds()), 10)
	return append(b, "\r\n\r\n"...)
}

// sendBody writes what follows the head.
func (a *Attempt) sendBody(c *conn) {
	defer a.recoverPanic()
	var err error
	if a.Request.Stream != nil {
		err = a.sendStream(c, a.Request.Stream)
	} else {
		c.SetWriteDeadline(a.sendDeadline())
		_, err = c.Write(a.Request.Body)
	}
	c.SetWriteDeadline(time.Time{})
	a.endWrite(c, err == nil, err)
}

// sendStream writes a body that is not buffered completely. It claims the stream once the buffered
// part has been written; until then, another attempt can send the request.
func (a *Attempt) sendStream(c *conn, from Stream) error {
	c.SetWriteDeadline(time.Now().Add(streamTimeout))
	var to io.Writer = c
	var chunks io.WriteCloser // nil: not chunked
	if from.Chunked() {
		chunks = httputil.NewChunkedWriter(c)
		to = chunks
	}
	if _, err := to.Write(a.Request.Body); err != nil {
		return err
	}
	if !from.Claim() {
		return errClaimed
	}
	defer from.Close()
	if a.OnClaimed != nil {
		a.OnClaimed()
	}
	if err := sendStream(c, to, from); err != nil || chunks == nil {
		return err
	}
	if err := chunks.Close(); err != nil {
		return err
	}
	_, err := io.WriteString(c, "\r\n") // no trailers
	return err
}

// sendStream copies from until its end to to, which writes to c.
func sendStream(c *conn, to io.Writer, from Stream) error {
	buf := streamBuffers.Get().(*[]byte)
	defer streamBuffers.Put(buf)
	for {
		n, err := from.Read(*buf)
		if n > 0 {
			c.SetWriteDeadline(time.Now().Add(streamTimeout))
			if _, err := to.Write((*buf)[:n]); err != nil {
				return err
			}
		}
		switch {
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		}
	}
}

// endWrite handles the end of the writing. A connection that breaks before the last byte was
// written proves that the request was not executed; a later break proves nothing.
func (a *Attempt) endWrite(c *conn, complete bool, err error) {
	a.mu.Lock()
	a.written = complete // from now on, connBroken reports a broken connection
	readFailed := a.readFailed
	a.mu.Unlock()
	if complete && a.OnWritten != nil {
		a.OnWritten()
	}
	switch {
	case !complete:
		slog.Debug("request not written", "server", a.Server, "err", err)
		a.pool.discard(c)
		a.done(martendrum.ConnectFailed)
	case readFailed:
		a.done(martendrum.Reset)
	}
}
