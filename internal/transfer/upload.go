// Package transfer keeps the time of a transfer: how long the body of a request may take to arrive, and
// from when the time that its client waits for the answer may count.
//
// It is pure: what is observed of the sockets and the time come in, bounds go out. It has no I/O, clock or
// goroutine and is not safe for concurrent use.
package transfer

import "time"

const (
	// MaxPause is how long a client may send nothing while the body is awaited. With the time to end
	// its connection, it stays below the 3 s within which a client that stops is owed an end.
	MaxPause = 2200 * time.Millisecond
	// MinRate is the rate in bytes a second that a client must reach on average while the body is
	// awaited, after MaxPause of grace.
	MinRate = 40 << 10
	// ClientBuffer is the number of bytes that a client can have written and its system not yet
	// sent: the default of the largest send buffer of a TCP socket on Linux.
	ClientBuffer = 4 << 20
	// UnknownUnread stands for a number of unread bytes in the socket that has not been observed.
	UnknownUnread = -1

	// minBlockedRead is the duration of a read from an empty socket that shows that the client had sent
	// nothing more, and not only that this process was scheduled late.
	minBlockedRead = 20 * time.Millisecond
	// marksPerBuffer is the number of marks that an Upload keeps for ClientBuffer bytes.
	marksPerBuffer = 16
)

// Upload is the arrival of the body of one request.
//
// The time at which a client wrote its last byte can't be observed while its bytes are waiting: its system
// may hold up to ClientBuffer more. WrittenFrom is the earliest time at which it can have been. It moves
// forward when the client is seen to have sent all that it has written, and as far as more bytes arrive than
// its system can have held.
type Upload struct {
	length      int64 // bytes of the body; -1: unknown
	received    int64 // bytes that have been read
	buffered    int64 // bytes that have been taken from the socket and not been read
	arrived     int64 // bytes that have been read or were waiting to be read, when last observed
	writtenFrom time.Time
	lastArrival time.Time     // when more bytes were observed
	waited      time.Duration // for the client, in all reads so far
	marks       []mark        // of a body of unknown length, the oldest first

	emptySince time.Time // no byte has been waiting since then; zero: bytes are waiting
	readBegan  time.Time // of the read in progress, if it began with no byte waiting; else zero
}

// mark says when a number of bytes of a body had arrived.
type mark struct {
	arrived int64
	at      time.Time
}

// NewUpload returns the Upload of a body of length bytes, -1 if that is unknown, which is read from now on.
func NewUpload(length int64, now time.Time) *Upload {
	return &Upload{length: length, writtenFrom: now, lastArrival: now, marks: []mark{{0, now}}}
}

// Received returns the number of bytes that have been read.
func (u *Upload) Received() int64 { return u.received }

// WrittenFrom returns the earliest time at which the client can have written the last byte.
func (u *Upload) WrittenFrom() time.Time { return u.writtenFrom }

// BeginRead records that a read begins while unread bytes, or UnknownUnread, are waiting in the socket, and
// returns when the read must end.
func (u *Upload) BeginRead(now time.Time, unread int64) (deadline time.Time) {
	u.readBegan = time.Time{}
	if unread == 0 {
		u.readBegan = now
	}
	u.observe(now, unread)
	allowed := MaxPause + time.Duration(u.received)*time.Second/MinRate
	return now.Add(min(MaxPause, allowed-u.waited))
}

// EndRead records that the read has returned n bytes, and that buffered more have been taken from the socket.
// It counts the wait if no byte was waiting in the socket before.
func (u *Upload) EndRead(now time.Time, n, buffered int) {
	u.received += int64(n)
	u.buffered = int64(buffered)
	if !u.readBegan.IsZero() {
		blocked := now.Sub(u.readBegan)
		u.waited += blocked
		if blocked >= minBlockedRead {
			u.writtenFrom = now
		}
	}
	u.readBegan = time.Time{}
	u.observe(now, UnknownUnread)
}

// Streaming records that all bytes so far were read as fast as the client sent them, and that from now on a
// server may be slower.
func (u *Upload) Streaming(now time.Time) { u.writtenFrom = now }

// Sample records how many bytes are waiting in the socket. recheck asks for another Sample soon: a socket can be empty
// for a moment while the client's system still holds bytes, but not for long.
func (u *Upload) Sample(now time.Time, unread int64) (recheck bool) {
	emptySince := u.emptySince
	u.observe(now, unread)
	switch {
	case u.emptySince.IsZero(), u.isComplete():
		return false
	case u.emptySince != emptySince:
		return true
	}
	u.writtenFrom = now
	return false
}

// PausedTooLong reports whether the client has sent nothing for MaxPause although nothing that it has sent is
// waiting. A read has its own bound; this one is for the time in which the server is awaited.
func (u *Upload) PausedTooLong(now time.Time) bool {
	return !u.emptySince.IsZero() && !u.isComplete() && now.Sub(u.lastArrival) > MaxPause
}

// PausedSince returns when the client last sent something, if it sends nothing now; otherwise ok is false.
func (u *Upload) PausedSince() (at time.Time, ok bool) {
	return u.lastArrival, !u.emptySince.IsZero() && !u.isComplete()
}

// isComplete reports whether all bytes of a body of known length have arrived.
func (u *Upload) isComplete() bool { return u.length >= 0 && u.arrived >= u.length }

// observe updates the state from the number of bytes that are waiting in the socket, or UnknownUnread.
func (u *Upload) observe(now time.Time, unread int64) {
	waiting := u.buffered + max(unread, 0)
	if arrived := u.received + waiting; arrived > u.arrived {
		u.arrived, u.lastArrival, u.emptySince = arrived, now, time.Time{}
		u.advance(now)
	}
	switch {
	case waiting > 0:
		u.emptySince = time.Time{}
	case unread == 0 && u.emptySince.IsZero():
		u.emptySince = now
	}
}

// advance moves writtenFrom forward because more bytes have arrived. The last byte of a body of known length
// can't have been written while more than ClientBuffer bytes were missing. Of a body of unknown length, the
// byte that has arrived last can't have been written before all but ClientBuffer of those before it arrived.
func (u *Upload) advance(now time.Time) {
	if u.length >= 0 {
		if u.arrived < u.length-ClientBuffer {
			u.moveTo(now)
		}
		return
	}
	for len(u.marks) > 0 && u.marks[0].arrived <= u.arrived-ClientBuffer {
		u.moveTo(u.marks[0].at)
		u.marks = u.marks[1:]
	}
	if last := len(u.marks) - 1; last < 0 || u.arrived-u.marks[last].arrived >= ClientBuffer/marksPerBuffer {
		u.marks = append(u.marks, mark{u.arrived, now})
	}
}

// moveTo moves writtenFrom forward, never back.
func (u *Upload) moveTo(at time.Time) {
	if at.After(u.writtenFrom) {
		u.writtenFrom = at
	}
}
