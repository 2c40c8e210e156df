package downstream

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// maxStreamedBody is the longest body accepted, in bytes.
const maxStreamedBody = 33 << 20

// upload is the part of a request's body that is not buffered. A single attempt reads it.
type upload struct {
	reader *pacedReader
	length int64       // length of the complete body in bytes; -1: unknown
	linger atomic.Bool // the body was not read to its end: the connection must be closed

	mu       sync.Mutex
	claimed  bool // an attempt reads the body, or has read it
	stopped  bool // the request has ended: no attempt may claim the body any more
	complete bool // the end of the body has been read
	closed   bool // the attempt that claimed the body has stopped reading
	once     sync.Once
	done     chan struct{} // closed by finish
}

// stream makes the unread rest of the body the upload of x, and appends the field with the body's
// length or encoding to the head.
func (x *Exchange) stream(length int64, reader *pacedReader) {
	x.upload = &upload{reader: reader, length: length, done: make(chan struct{})}
	x.Request.Stream = x.upload
	if length >= 0 {
		x.Request.Head = appendLength(x.Request.Head, length)
	} else {
		x.Request.Head = append(x.Request.Head, "Transfer-Encoding: chunked\r\n"...)
	}
}

// UploadTimeout returns how long the client may take to send the body; 0 if it is buffered completely.
func (x *Exchange) UploadTimeout() time.Duration {
	if x.upload == nil {
		return 0
	}
	length := x.upload.length
	if length < 0 {
		length = maxStreamedBody
	}
	return bodyTimeout(length)
}

// Claim implements upstream.Stream.
func (u *upload) Claim() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.claimed || u.stopped {
		return false
	}
	u.claimed = true
	return true
}

// Chunked implements upstream.Stream.
func (u *upload) Chunked() bool { return u.length < 0 }

// errStopped is returned by Read after the request has ended.
var errStopped = errors.New("downstream: the request ended before its body was read")

// Read implements upstream.Stream. It fails if the body is longer than maxStreamedBody.
func (u *upload) Read(b []byte) (int, error) {
	u.mu.Lock()
	if u.stopped {
		u.mu.Unlock()
		return 0, errStopped
	}
	u.reader.setDeadline()
	u.mu.Unlock()
	n, err := u.reader.read(b)
	if u.reader.received > maxStreamedBody {
		return 0, io.ErrShortBuffer
	}
	if err == io.EOF {
		u.mu.Lock()
		u.complete = true
		u.mu.Unlock()
		u.reader.conn.netConn.SetReadDeadline(time.Time{}) // the connection's goroutine now waits for the next request
	}
	return n, err
}

// Close implements upstream.Stream. If the body has been read completely, the connection's goroutine may
// read the next request. Otherwise it has to wait until the request ends, because it would take the
// rest of the body for the next request.
func (u *upload) Close() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.closed = true
	if u.complete || u.stopped {
		u.finish()
	}
	return nil
}

// unclaimed reports whether no attempt has claimed the body yet, and an attempt still may.
func (u *upload) unclaimed() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return !u.claimed && !u.stopped
}

// finish records that no attempt reads the body any more.
func (u *upload) finish() { u.once.Do(func() { close(u.done) }) }

// isComplete reports whether the body has been read completely.
func (u *upload) isComplete() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.complete
}

// stop records that the request has ended, and interrupts the attempt that reads the body. It reports
// whether the body has been read completely.
func (u *upload) stop() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.stopped = true
	u.linger.Store(!u.complete)
	switch {
	case u.complete: // Close calls finish, or has called it
	case u.claimed && !u.closed:
		u.reader.conn.netConn.SetReadDeadline(time.Unix(1, 0))
	default:
		u.finish()
	}
	return u.complete
}
