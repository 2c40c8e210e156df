package downstream

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"martendrum/internal/transfer"
)

const (
	// maxBufferedBody is how many bytes of a body are buffered for retries. The rest of a longer
	// body is streamed.
	maxBufferedBody = 64 << 10
)

// bodyReader reads a body from a connection and ends the read of a client that pauses for too long or sends
// too slowly.
type bodyReader struct {
	conn   *conn
	source io.Reader

	mu       sync.Mutex
	transfer *transfer.Upload
}

// newBodyReader returns the reader of the body of r.
func newBodyReader(c *conn, r *http.Request) *bodyReader {
	return &bodyReader{conn: c, source: r.Body, transfer: transfer.NewUpload(r.ContentLength, time.Now())}
}

// Read implements io.Reader. After setting the deadline it checks whether the connection has been
// closed, because beginRead may have overwritten the deadline in the past that stopReading set.
func (b *bodyReader) Read(buf []byte) (int, error) {
	b.beginRead()
	s := b.conn.server
	s.mu.Lock()
	closed := b.conn.state == stateClosed
	s.mu.Unlock()
	if closed {
		return 0, os.ErrDeadlineExceeded
	}
	return b.read(buf)
}

// beginRead sets the connection's read deadline for the next read.
func (b *bodyReader) beginRead() {
	unread := int64(transfer.UnknownUnread)
	if b.conn.input.Buffered() == 0 { // otherwise the read does not reach the socket
		unread = int64(b.conn.input.Unread())
	}
	b.mu.Lock()
	deadline := b.transfer.BeginRead(time.Now(), unread)
	b.mu.Unlock()
	b.conn.netConn.SetReadDeadline(deadline)
}

// read reads with the deadline that beginRead has set.
func (b *bodyReader) read(buf []byte) (int, error) {
	n, err := b.source.Read(buf)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.transfer.EndRead(time.Now(), n, b.conn.input.Buffered())
	return n, err
}

// received returns the number of bytes that have been read.
func (b *bodyReader) received() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.transfer.Received()
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
	reader := newBodyReader(x.conn, r)
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
func (x *Exchange) discardBody(reader *bodyReader) (status int) {
	_, err := io.Copy(io.Discard, io.LimitReader(reader, maxBufferedBody+1))
	switch {
	case reader.received() > maxBufferedBody:
		x.keepAlive = false // the rest stays unread
		return statusNone
	case err != nil:
		return bodyStatus(err)
	}
	return statusNone
}

// bufferBody reads up to maxBufferedBody bytes of a body; length is -1 if unknown. If the body may be
// longer, the rest becomes the upload of x.
func (x *Exchange) bufferBody(length int64, reader *bodyReader) ([]byte, error) {
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
