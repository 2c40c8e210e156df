package downstream

import (
	"errors"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"martendrum/internal/transfer"
)

const (
	// uploadSampleInterval is how often the arrival of a body is observed while a server takes it.
	uploadSampleInterval = 40 * time.Millisecond
	// uploadRecheckDelay is when a socket that has just been seen empty is observed again.
	uploadRecheckDelay = 2 * time.Millisecond
)

// maxStreamedBody is the longest body accepted, in bytes.
const maxStreamedBody = 33 << 20

// upload is the part of a request's body that is not buffered. A single attempt reads it.
type upload struct {
	reader *bodyReader
	length int64       // length of the complete body in bytes; -1: unknown
	linger atomic.Bool // the body was not read to its end: the connection must be closed

	mu       sync.Mutex
	claimed  bool // an attempt reads the body, or has read it
	stopped  bool // the request has ended: no attempt may claim the body any more
	complete bool // the end of the body has been read
	closed   bool // the attempt that claimed the body has stopped reading
	once     sync.Once
	done     chan struct{} // closed by finish
	evicted  chan struct{} // closed when the connection is evicted; closing it is guarded by the server's lock
}

// maxUploads returns how many of the connections below a limit may stream a body at a time, so that bodies
// that arrive slowly leave connections, also to servers, for other requests.
func maxUploads(limit int) int { return max(1, limit/2) }

// stream makes the unread rest of the body the upload of x, and appends the field with the body's
// length or encoding to the head.
func (x *Exchange) stream(length int64, reader *bodyReader) {
	reader.mu.Lock()
	reader.transfer.Streaming(time.Now())
	reader.mu.Unlock()
	x.upload = &upload{reader: reader, length: length, done: make(chan struct{}), evicted: make(chan struct{})}
	x.Request.Stream = x.upload
	if length >= 0 {
		x.Request.Head = appendLength(x.Request.Head, length)
	} else {
		x.Request.Head = append(x.Request.Head, "Transfer-Encoding: chunked\r\n"...)
	}
}

// MaxUploadTime returns how long the client may take to send the body at most; 0 if it is buffered completely.
func (x *Exchange) MaxUploadTime() time.Duration {
	if x.upload == nil {
		return 0
	}
	length := x.upload.length
	if length < 0 {
		length = maxStreamedBody
	}
	return transfer.MaxPause + time.Duration(length)*time.Second/transfer.MinRate
}

// WaitFrom returns the time from which Wait counts: the earliest time at which the client can have written
// the last byte of the request. While a body is being streamed, it moves forward, and the Server calls
// Handler.WaitMoved.
func (x *Exchange) WaitFrom() time.Time {
	if x.upload == nil {
		return x.Received
	}
	reader := x.upload.reader
	reader.mu.Lock()
	defer reader.mu.Unlock()
	return reader.transfer.WrittenFrom()
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
	u.reader.beginRead()
	u.mu.Unlock()
	n, err := u.reader.read(b)
	if u.reader.received() > maxStreamedBody {
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

// sample observes the arrival of the body. It returns when the next sample is due, and whether the client has
// paused for too long.
func (u *upload) sample() (next time.Duration, pausedTooLong bool) {
	unread := u.reader.conn.input.Unread()
	u.reader.mu.Lock()
	defer u.reader.mu.Unlock()
	now := time.Now()
	if u.reader.transfer.Sample(now, int64(unread)) {
		return uploadRecheckDelay, false
	}
	return uploadSampleInterval, u.reader.transfer.PausedTooLong(now)
}

// logPause logs that an upload is ended because its client has paused.
func (x *Exchange) logPause() {
	slog.Info("client paused in its body", "evicted", x.upload.isEvicted(), "class", x.Class, "id", x.id, "received", x.upload.reader.received(), "length", x.upload.length)
}

// pausedSince returns when the client last sent something, if it has paused.
func (u *upload) pausedSince() (at time.Time, ok bool) {
	u.reader.mu.Lock()
	defer u.reader.mu.Unlock()
	return u.reader.transfer.PausedSince()
}

// isEvicted reports whether the connection has been evicted.
func (u *upload) isEvicted() bool {
	select {
	case <-u.evicted:
		return true
	default:
		return false
	}
}

// reserveUpload reports whether the body of x may be streamed. If the number of such bodies is at its limit,
// it evicts the one whose client has paused for longest. The server's lock is held.
func (s *Server) reserveUpload(now time.Time) bool {
	uploads := 0
	var longest *conn
	var longestSince time.Time
	for c := range s.conns {
		if c.exchange == nil || c.exchange.upload == nil || c.exchange.upload.isComplete() {
			continue
		}
		uploads++
		since, paused := c.exchange.upload.pausedSince()
		if paused && now.Sub(since) > stalledTimeout && (longest == nil || since.Before(longestSince)) {
			longest, longestSince = c, since
		}
	}
	if uploads < maxUploads(s.config.MaxConns) {
		return true
	}
	if longest == nil {
		return false
	}
	longest.closeForEviction()
	delete(s.conns, longest)
	return true
}
