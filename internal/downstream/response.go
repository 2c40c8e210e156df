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
	// writeTimeout is how long writing a buffered response may take: a client that
	// takes nothing for so long hangs.
	writeTimeout = 2 * time.Second
	// streamWriteTimeout is how long writing a piece of a streamed response may take.
	streamWriteTimeout = 10 * time.Second
	// maxPooledBuffer is the largest response buffer that is pooled for reuse.
	maxPooledBuffer = 80 << 10
)

// streamBuffers are the read buffers of streamed responses.
var streamBuffers = sync.Pool{New: func() any { b := make([]byte, 16<<10); return &b }}

// buffers are the write buffers of buffered responses.
var buffers = sync.Pool{New: func() any { b := make([]byte, 0, 4<<10); return &b }}

// Reject answers that the request was not carried out and a retry is harmless.
func (x *Exchange) Reject(retryAfter time.Duration) {
	x.answer(http.StatusServiceUnavailable, retryAfterField(retryAfter), nil, nil)
}

// Fail answers that the request failed.
func (x *Exchange) Fail() { x.answer(http.StatusBadGateway, "", nil, nil) }

// Deny answers, in a header field, why the request is not carried out: with a
// status that is neither success nor a plain refusal and, if above 0, the time to come
// back. why is one line.
func (x *Exchange) Deny(status int, why string, retryAfter time.Duration) {
	x.answer(status, protocol.RecordState+": "+why+"\r\n"+retryAfterField(retryAfter), nil, nil)
}

// retryAfterField returns a Retry-After header line, empty for 0.
func retryAfterField(retryAfter time.Duration) string {
	if retryAfter <= 0 {
		return ""
	}
	return protocol.RetryAfter + ": " + strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64) + "\r\n"
}

// Serve passes on a server's response. If it is not complete yet, Serve returns when the
// rest has been forwarded too, or can't be.
func (x *Exchange) Serve(answer *upstream.Answer) {
	if answer.Rest == nil {
		x.answer(http.StatusOK, "", answer.Header, answer.Body)
		return
	}
	x.beginAnswer(http.StatusOK)
	x.endAnswer(x.writeStream(answer))
}

// answer writes a buffered response and prepares the connection for the next request. The
// answer to a request that the handler has does not wait for its client: whoever answers may
// have others to answer next.
func (x *Exchange) answer(status int, field string, header http.Header, body []byte) {
	buf := buffers.Get().(*[]byte)
	registered := x.beginAnswer(status)
	*buf = x.appendResponse((*buf)[:0], status, field, header, body)
	if !registered { // its connection's own goroutine answers
		x.endAnswer(x.conn.write(*buf))
		giveBuffer(buf)
		return
	}
	n, err := x.conn.input.WriteNow(*buf)
	if err != nil || n == len(*buf) {
		x.endAnswer(err)
		giveBuffer(buf)
		return
	}
	go x.finishAnswer(buf, n)
}

// finishAnswer writes the rest of a response, from byte n on, for a client that is slow to
// take it.
func (x *Exchange) finishAnswer(buf *[]byte, n int) {
	defer x.conn.recoverPanic()
	x.endAnswer(x.conn.write((*buf)[n:]))
	giveBuffer(buf)
}

// giveBuffer gives a buffer back for reuse.
func giveBuffer(buf *[]byte) {
	if cap(*buf) <= maxPooledBuffer {
		buffers.Put(buf)
	}
}

// beginAnswer marks that the response is being written, and returns whether the handler has
// the request.
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

// endAnswer ends the exchange; err is from writing the response. If it could not be
// written completely, the connection is reset, so that the client can tell.
func (x *Exchange) endAnswer(err error) {
	c := x.conn
	if err != nil {
		c.resetOnClose()
	}
	s := c.server
	uploading := x.upload != nil && !x.upload.stop() // the client still sends
	keepAlive := err == nil && x.keepAlive && !uploading
	s.mu.Lock()
	if c.exchange == x {
		s.ids.close(x.id)
		c.exchange = nil
	}
	if keepAlive {
		c.enter(stateIdle)
		c.netConn.SetReadDeadline(time.Now().Add(keepAliveTimeout))
	} else {
		c.enter(stateClosed)
	}
	s.mu.Unlock()
	switch {
	case err != nil:
		c.netConn.Close()
	case keepAlive, uploading: // the connection's goroutine reads on, or reads off
	default:
		c.closeWrite()
	}
	c.answered.Signal()
}

// appendResponse appends a buffered response.
func (x *Exchange) appendResponse(b []byte, status int, field string, header http.Header, body []byte) []byte {
	b = appendLength(x.appendHead(b, status, field, header), int64(len(body)))
	b = append(b, "\r\n"...)
	return append(b, body...)
}

// write writes to the client, for writeTimeout at most. No deadline is left behind: one that
// has passed would make the next WriteNow fail.
func (c *conn) write(b []byte) error {
	c.netConn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := c.netConn.Write(b)
	c.netConn.SetWriteDeadline(time.Time{})
	return err
}

// writeStream writes a response that is still arriving: each piece is forwarded as it
// arrives, one at a time. A response that ends early ends without its last chunk or byte.
func (x *Exchange) writeStream(answer *upstream.Answer) error {
	netConn := x.conn.netConn
	if answer.Length < 0 && x.http10 {
		x.keepAlive = false // its end is the connection's
	}
	chunked := answer.Length < 0 && !x.http10
	b := x.appendStreamHead(make([]byte, 0, 512+len(answer.Body)), answer, chunked)
	b = appendPiece(b, answer.Body, chunked)
	buf := streamBuffers.Get().(*[]byte)
	defer streamBuffers.Put(buf)
	defer netConn.SetWriteDeadline(time.Time{})
	for ended := false; ; {
		netConn.SetWriteDeadline(time.Now().Add(streamWriteTimeout))
		if _, err := netConn.Write(b); err != nil || ended {
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

// appendStreamHead appends the head of a streamed response.
func (x *Exchange) appendStreamHead(b []byte, answer *upstream.Answer, chunked bool) []byte {
	b = x.appendHead(b, http.StatusOK, "", answer.Header)
	if chunked {
		b = append(b, "Transfer-Encoding: chunked\r\n"...)
	} else if answer.Length >= 0 {
		b = appendLength(b, answer.Length)
	}
	return append(b, "\r\n"...)
}

// appendPiece appends a piece of a body, as a chunk if chunked.
func appendPiece(b, piece []byte, chunked bool) []byte {
	if !chunked || len(piece) == 0 {
		return append(b, piece...)
	}
	b = strconv.AppendInt(b, int64(len(piece)), 16)
	b = append(b, "\r\n"...)
	b = append(b, piece...)
	return append(b, "\r\n"...)
}

// appendHead appends the head of a response but for its length and the empty line.
func (x *Exchange) appendHead(b []byte, status int, field string, header http.Header) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, http.StatusText(status)...)
	b = append(b, "\r\n"...)
	b = append(b, field...)
	b = appendHeader(b, header)
	if !x.keepAlive {
		b = append(b, "Connection: close\r\n"...)
	} else if x.http10 {
		b = append(b, "Connection: keep-alive\r\n"...)
	}
	return b
}
