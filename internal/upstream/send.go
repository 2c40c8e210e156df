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
	// maxDirectWrite is a number of bytes that always fits a connection's empty send buffer, so
	// that writing them does not block. A separate goroutine writes the rest of longer requests.
	maxDirectWrite = 8 << 10
	// streamTimeout is how long a streamed request body or answer may pause.
	streamTimeout = 10 * time.Second
)

// headBuffers are the write buffers of request heads.
var headBuffers = sync.Pool{New: func() any { b := make([]byte, 0, 4<<10); return &b }}

// streamBuffers are the read buffers of streamed request bodies.
var streamBuffers = sync.Pool{New: func() any { b := make([]byte, 16<<10); return &b }}

// errClaimed reports that another attempt has claimed the streamed body.
var errClaimed = errors.New("upstream: another attempt has claimed the body")

// send writes the request, or only its head if more might not fit the connection's send buffer. A
// goroutine then writes the body, because the caller must not block. If bytes or the end of the connection
// have arrived on c already, send closes c and returns false: nothing was sent, and the request can be sent
// on another connection. If it returns true, the attempt's outcome is reported to its Sink.
func (a *Attempt) send(c *conn) bool {
	buf := headBuffers.Get().(*[]byte)
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
	headBuffers.Put(buf)
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

// appendHead appends the request's complete head, whose deadline field has the time left in milliseconds,
// at least 1.
func (a *Attempt) appendHead(b []byte) []byte {
	b = append(b, a.Request.Head...)
	b = append(b, protocol.RequestDeadline+": "...)
	left := time.Until(a.Deadline)
	if a.MaxSentTimeout > 0 {
		left = min(left, a.MaxSentTimeout)
	}
	b = strconv.AppendInt(b, max(1, left.Milliseconds()), 10)
	return append(b, "\r\n\r\n"...)
}

// sendBody writes the request's body.
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

// sendStream writes a body that is not buffered completely. It claims the stream once the buffered part has
// been written. Until then, another attempt can send the request.
func (a *Attempt) sendStream(c *conn, stream Stream) error {
	c.SetWriteDeadline(time.Now().Add(streamTimeout))
	var destination io.Writer = c
	var chunks io.WriteCloser // nil: not chunked
	if stream.Chunked() {
		chunks = httputil.NewChunkedWriter(c)
		destination = chunks
	}
	if _, err := destination.Write(a.Request.Body); err != nil {
		return err
	}
	if !stream.Claim() {
		return errClaimed
	}
	defer stream.Close()
	if a.OnClaimed != nil {
		a.OnClaimed()
	}
	if err := copyStream(c, destination, stream); err != nil || chunks == nil {
		return err
	}
	if err := chunks.Close(); err != nil {
		return err
	}
	_, err := io.WriteString(c, "\r\n") // no trailers
	return err
}

// copyStream copies a stream to destination, which writes to c, until the stream ends.
func copyStream(c *conn, destination io.Writer, stream Stream) error {
	buf := streamBuffers.Get().(*[]byte)
	defer streamBuffers.Put(buf)
	for {
		n, err := stream.Read(*buf)
		if n > 0 {
			c.SetWriteDeadline(time.Now().Add(streamTimeout))
			if _, err := destination.Write((*buf)[:n]); err != nil {
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

// endWrite handles the end of writing the request; complete says that all of it was written. If the
// connection broke before, the server can't have executed the request. If it breaks later, the server may
// have executed it.
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
		slog.Debug("cannot write the complete request to the server", "server", a.Server, "err", err)
		a.pool.discard(c)
		a.done(martendrum.ConnectFailed)
	case readFailed:
		a.done(martendrum.Reset)
	}
}
