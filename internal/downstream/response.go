package downstream

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"martendrum/internal/protocol"
	"martendrum/internal/upstream"
)

const (
	// writeTimeout bounds the writing of a buffered response to a client that reads slowly or not at all.
	writeTimeout = 2 * time.Second
	// streamWriteTimeout bounds each write of a streamed response.
	streamWriteTimeout = 10 * time.Second
	// maxPooledBuffer is the capacity in bytes of the largest buffer that is returned to writeBuffers.
	maxPooledBuffer = 80 << 10
)

// streamBuffers are the read buffers of streamed responses.
var streamBuffers = sync.Pool{New: func() any { b := make([]byte, 16<<10); return &b }}

// writeBuffers are the write buffers of buffered responses, also used to discard input.
var writeBuffers = sync.Pool{New: func() any { b := make([]byte, 0, 4<<10); return &b }}

// Reject answers 503: the request was not executed and may be retried. The response has a Retry-After
// if retryAfter is above 0.
func (x *Exchange) Reject(retryAfter time.Duration) {
	x.answer(http.StatusServiceUnavailable, retryAfterField(retryAfter), nil, nil)
}

// Fail answers 502: the request failed. Unlike Reject, it does not promise that the request was not
// executed.
func (x *Exchange) Fail() { x.answer(http.StatusBadGateway, "", nil, nil) }

// Deny answers that the idempotency store does not permit the request to be executed: with a status,
// the reason in a header field, and a Retry-After if retryAfter is above 0. The reason must be a single
// line.
func (x *Exchange) Deny(status int, reason string, retryAfter time.Duration) {
	x.answer(status, protocol.RecordState+": "+reason+"\r\n"+retryAfterField(retryAfter), nil, nil)
}

// retryAfterField returns a Retry-After header line in seconds, empty if retryAfter is not above 0.
func retryAfterField(retryAfter time.Duration) string {
	if retryAfter <= 0 {
		return ""
	}
	return protocol.RetryAfter + ": " + strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64) + "\r\n"
}

// Serve forwards a server's response. If the rest of the response is still arriving, Serve returns when
// it has been forwarded completely or forwarding has failed. Otherwise Serve does not wait for a slow
// client.
func (x *Exchange) Serve(answer *upstream.Answer) {
	if answer.Rest == nil {
		x.answer(http.StatusOK, "", answer.Header, answer.Body)
		return
	}
	x.beginAnswer(http.StatusOK)
	x.endAnswer(x.writeStream(answer))
}

// answer writes a buffered response and prepares the connection for the next request. The headerLines,
// each with its line end, precede the fields of header. If the request was handed to the handler,
// answer does not block on a slow client, because the caller may have other requests to answer.
func (x *Exchange) answer(status int, headerLines string, header http.Header, body []byte) {
	buf := writeBuffers.Get().(*[]byte)
	registered := x.beginAnswer(status)
	*buf = x.appendResponse((*buf)[:0], status, headerLines, header, body)
	if !registered { // called by the connection's own goroutine, which may block
		x.endAnswer(x.conn.write(*buf))
		putBuffer(buf)
		return
	}
	n, err := x.conn.input.WriteNow(*buf)
	if err != nil || n == len(*buf) {
		x.endAnswer(err)
		putBuffer(buf)
		return
	}
	go x.finishAnswer(buf, n)
}

// finishAnswer writes the rest of a response, from byte n on, to a slow client, and ends the exchange.
func (x *Exchange) finishAnswer(buf *[]byte, n int) {
	defer x.conn.recoverPanic()
	x.endAnswer(x.conn.write((*buf)[n:]))
	putBuffer(buf)
}

// putBuffer returns a buffer to the pool, unless it is too large.
func putBuffer(buf *[]byte) {
	if cap(*buf) <= maxPooledBuffer {
		writeBuffers.Put(buf)
	}
}

// beginAnswer records that the response is being written. It reports whether the request has been
// registered, and so handed to the handler.
func (x *Exchange) beginAnswer(status int) (registered bool) {
	s := x.conn.server
	s.mu.Lock()
	x.answering = true
	registered = x.conn.exchange == x
	x.keepAlive = x.keepAlive && s.drainingSince.IsZero() && (x.upload == nil || x.upload.isComplete())
	s.mu.Unlock()
	if x.id != "" { // a request, not a health check
		s.meter.Answered(x.Class, status)
	}
	return registered
}

// endAnswer ends the exchange after its response has been written; err is the error of writing it. If
// the response is incomplete, endAnswer resets the connection, so that the client notices.
func (x *Exchange) endAnswer(err error) {
	c := x.conn
	if err != nil {
		c.resetOnClose()
	}
	s := c.server
	uploading := x.upload != nil && !x.upload.stop() // the rest of the body is unread
	keepAlive := err == nil && x.keepAlive && !uploading
	s.mu.Lock()
	if c.exchange == x {
		s.ids.end(x, time.Now())
		c.exchange = nil
	}
	if keepAlive {
		c.setState(stateIdle)
		c.netConn.SetReadDeadline(time.Now().Add(keepAliveTimeout))
	} else {
		c.setState(stateClosed)
	}
	s.mu.Unlock()
	switch {
	case err != nil:
		c.netConn.Close()
	case keepAlive, uploading: // the connection's goroutine continues to read
	default:
		c.closeWrite()
	}
	c.answered.Signal()
}

// appendResponse appends a complete response with its body.
func (x *Exchange) appendResponse(b []byte, status int, headerLines string, header http.Header, body []byte) []byte {
	b = appendLength(x.appendHead(b, status, headerLines, header), int64(len(body)))
	b = append(b, "\r\n"...)
	return append(b, body...)
}

// write writes to the client within writeTimeout. It clears the deadline afterwards, because an
// expired one would make the next WriteNow fail.
func (c *conn) write(b []byte) error {
	c.netConn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := c.netConn.Write(b)
	c.netConn.SetWriteDeadline(time.Time{})
	return err
}

// writeStream writes a response that is still arriving, piece by piece. If reading the rest fails, it
// returns the error and does not write the end of the response, so that the client can tell that it is
// incomplete.
func (x *Exchange) writeStream(answer *upstream.Answer) error {
	netConn := x.conn.netConn
	if answer.Length < 0 && x.http10 {
		x.keepAlive = false // the close of the connection marks the end of the body
	}
	chunked := answer.Length < 0 && !x.http10
	b := x.appendStreamHead(make([]byte, 0, 512+len(answer.Body)), answer, chunked)
	b = appendPiece(b, answer.Body, chunked)
	buf := streamBuffers.Get().(*[]byte)
	defer streamBuffers.Put(buf)
	defer netConn.SetWriteDeadline(time.Time{})
	for ended := false; ; {
		if err := x.conn.writePiece(b); err != nil || ended {
			return err
		}
		n, err := answer.Rest.Read(*buf)
		b = appendPiece(b[:0], (*buf)[:n], chunked)
		if err != nil && err != io.EOF {
			return err
		}
		ended = err == io.EOF
		if ended && chunked {
			b = append(b, "0\r\n\r\n"...)
		}
	}
}

// writePiece writes a piece of a streamed response within streamWriteTimeout.
func (c *conn) writePiece(b []byte) error {
	now := time.Now()
	c.setWriteBegan(now)
	defer c.setWriteBegan(time.Time{})
	c.netConn.SetWriteDeadline(now.Add(streamWriteTimeout))
	_, err := c.netConn.Write(b)
	return err
}

// setWriteBegan records when a piece of a streamed response began to be written; zero: none is.
func (c *conn) setWriteBegan(at time.Time) {
	c.server.mu.Lock()
	c.writeBegan = at
	c.server.mu.Unlock()
}

// appendStreamHead appends the head of a streamed response, including the empty line at its end.
func (x *Exchange) appendStreamHead(b []byte, answer *upstream.Answer, chunked bool) []byte {
	b = x.appendHead(b, http.StatusOK, "", answer.Header)
	if chunked {
		b = append(b, "Transfer-Encoding: chunked\r\n"...)
	} else if answer.Length >= 0 {
		b = appendLength(b, answer.Length)
	}
	return append(b, "\r\n"...)
}

// appendPiece appends a piece of a body; if chunked, as a chunk of the chunked encoding.
func appendPiece(b, piece []byte, chunked bool) []byte {
	if !chunked || len(piece) == 0 {
		return append(b, piece...)
	}
	b = strconv.AppendInt(b, int64(len(piece)), 16)
	b = append(b, "\r\n"...)
	b = append(b, piece...)
	return append(b, "\r\n"...)
}

// appendHead appends the head of a response without the field for the length or encoding of its body
// and without the empty line at its end.
func (x *Exchange) appendHead(b []byte, status int, headerLines string, header http.Header) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, http.StatusText(status)...)
	b = append(b, "\r\n"...)
	b = append(b, headerLines...)
	b = appendHeader(b, header)
	if !x.keepAlive {
		b = append(b, "Connection: close\r\n"...)
	} else if x.http10 {
		b = append(b, "Connection: keep-alive\r\n"...)
	}
	return b
}
