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
	// A body must arrive at an average of minBodyRate bytes a second, plus bodyGrace. A client
	// that stalls is cut off after the grace, one that sends more slowly when it falls behind:
	// it would occupy a connection to a server.
	minBodyRate = 40 << 10
	bodyGrace   = 2200 * time.Millisecond
)

// bodyTimeout returns how long a body of the given length may take.
func bodyTimeout(length int64) time.Duration {
	return bodyGrace + time.Duration(length)*time.Second/minBodyRate
}

// pacedReader reads a body from a connection and enforces the minimum rate.
type pacedReader struct {
	conn     *conn
	from     io.Reader
	began    time.Time
	received int64
}

// Read implements io.Reader. It checks whether the connection was closed meanwhile, because
// setDeadline may have overwritten the past deadline that stopReading had set.
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

// setDeadline sets the connection's deadline for the next bytes.
func (p *pacedReader) setDeadline() {
	p.conn.netConn.SetReadDeadline(p.began.Add(bodyTimeout(p.received)))
}

// read reads under the deadline that setDeadline has set.
func (p *pacedReader) read(b []byte) (int, error) {
	n, err := p.from.Read(b)
	p.received += int64(n)
	return n, err
}

// readBody buffers the first part of a request's body under the byte budget, makes the
// rest its upload, and completes the head. If the budget does not allow it, the body is
// discarded and fits is false.
func (x *Exchange) readBody(r *http.Request) (fits bool, status int) {
	if r.Body == http.NoBody {
		if r.Method != http.MethodGet {
			x.Request.Head = appendLength(x.Request.Head, 0)
		}
		return true, statusNone
	}
	from := &pacedReader{conn: x.conn, from: r.Body, began: time.Now()}
	size := min(r.ContentLength, maxBufferedBody)
	if size < 0 { // not known
		size = maxBufferedBody
	}
	if !x.conn.server.budget.take(size) {
		return false, x.discardBody(from)
	}
	x.reserved = size
	body, err := x.bufferBody(r.ContentLength, from)
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
func (x *Exchange) discardBody(from *pacedReader) (status int) {
	_, err := io.Copy(io.Discard, io.LimitReader(from, maxBufferedBody+1))
	switch {
	case from.received > maxBufferedBody:
		x.keepAlive = false // the rest is not read
		return statusNone
	case err != nil:
		return bodyStatus(err)
	}
	return statusNone
}

// bufferBody reads the part of a body that is buffered; length is -1 if unknown. If there may be
// more, the rest becomes the upload of x.
func (x *Exchange) bufferBody(length int64, from *pacedReader) ([]byte, error) {
	switch {
	case length > maxBufferedBody:
		body := make([]byte, maxBufferedBody)
		if _, err := io.ReadFull(from, body); err != nil {
			return nil, err
		}
		x.stream(length, from)
		return body, nil
	case length > 0:
		body := make([]byte, length)
		if _, err := io.ReadFull(from, body); err != nil {
			return nil, err
		}
		_, err := io.Copy(io.Discard, from) // read up to the end of the body
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(from, maxBufferedBody))
	if err == nil && len(body) == maxBufferedBody {
		x.stream(-1, from)
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
