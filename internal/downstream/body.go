package downstream

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"
)

const (
	// maxBufferedBody is how many bytes of a body are buffered for retries. The rest of a longer
	// body is streamed.
	maxBufferedBody = 64 << 10
	// The time for a body is its length divided by minBodyRate (in bytes a second), plus
	// bodyGrace. A client that sends nothing is disconnected after bodyGrace, and one that sends
	// too slowly as soon as it falls behind, because it would occupy a connection to a server.
	minBodyRate = 40 << 10
	bodyGrace   = 2200 * time.Millisecond
)

// bodyTimeout returns how long a body of the given length in bytes may take to arrive.
func bodyTimeout(length int64) time.Duration {
	return bodyGrace + time.Duration(length)*time.Second/minBodyRate
}

// pacedReader reads a body from a connection and enforces minBodyRate.
type pacedReader struct {
	conn     *conn
	source   io.Reader
	began    time.Time
	received int64 // bytes read
}

// Read implements io.Reader. After setting the deadline it checks whether the connection has been
// closed, because setDeadline may have overwritten the deadline in the past that stopReading set.
func (p *pacedReader) Read(b []byte) (int, error) {
	p.setDeadline()
	s := p.conn.server
	s.mu.Lock()
	closed := p.conn.state == stateClosed
	s.mu.Unlock()
	if closed {
		return 0, os.ErrDeadlineExceeded
	}
	return p.read(b)
}

// setDeadline sets the connection's read deadline from the number of bytes received.
func (p *pacedReader) setDeadline() {
	p.conn.netConn.SetReadDeadline(p.began.Add(bodyTimeout(p.received)))
}

// read reads with the deadline that setDeadline has set.
func (p *pacedReader) read(b []byte) (int, error) {
	n, err := p.source.Read(b)
	p.received += int64(n)
	return n, err
}

// readBody buffers the first part of a request's body within the server's byte budget, makes the
// rest the upload of x, and appends the field with the body's length or encoding to the head. If the
// budget has too few bytes left, readBody discards the body and fits is false. It also returns the
// status to reject the request with, or statusNone.
func (x *Exchange) readBody(r *http.Request) (fits bool, status int) {
	if r.Body == http.NoBody {
		if r.Method != http.MethodGet {
			x.Request.Head = appendLength(x.Request.Head, 0)
		}
		return true, statusNone
	}
	reader := &pacedReader{conn: x.conn, source: r.Body, began: time.Now()}
	size := min(r.ContentLength, maxBufferedBody)
	if size < 0 { // unknown
		size = maxBufferedBody
	}
	if !x.conn.server.budget.reserve(size) {
		return false, x.discardBody(reader)
	}
	x.reserved = size
	body, err := x.bufferBody(r.ContentLength, reader)
	if err != nil {
		return true, bodyStatus(err)
	}
	x.Request.Body = body
	if x.upload == nil {
		x.Request.Head = appendLength(x.Request.Head, int64(len(body)))
	}
	return true, statusNone
}

// discardBody reads and discards up to maxBufferedBody bytes of a body that is not buffered. The
// connection can be reused only if the body's end is reached.
func (x *Exchange) discardBody(reader *pacedReader) (status int) {
	_, err := io.Copy(io.Discard, io.LimitReader(reader, maxBufferedBody+1))
	switch {
	case reader.received > maxBufferedBody:
		x.keepAlive = false // the rest stays unread
		return statusNone
	case err != nil:
		return bodyStatus(err)
	}
	return statusNone
}

// bufferBody reads up to maxBufferedBody bytes of a body; length is -1 if unknown. If the body may be
// longer, the rest becomes the upload of x.
func (x *Exchange) bufferBody(length int64, reader *pacedReader) ([]byte, error) {
	switch {
	case length > maxBufferedBody:
		body := make([]byte, maxBufferedBody)
		if _, err := io.ReadFull(reader, body); err != nil {
			return nil, err
		}
		x.stream(length, reader)
		return body, nil
	case length > 0:
		body := make([]byte, length)
		if _, err := io.ReadFull(reader, body); err != nil {
			return nil, err
		}
		_, err := io.Copy(io.Discard, reader) // read up to the end of the body
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(reader, maxBufferedBody))
	if err == nil && len(body) == maxBufferedBody {
		x.stream(-1, reader)
	}
	return body, err
}

// bodyStatus returns the status for a request whose body could not be read.
func bodyStatus(err error) int {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return http.StatusRequestTimeout
	}
	return http.StatusBadRequest
}
