package discovery

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"
)

const (
	maxList = 8 << 20 // longest list in bytes
	// maxSilence is how long nothing may arrive on a watch before it times out. Discovery sends
	// an empty line every 2 s, and changes that a silent watch misses count as notified 6 s after
	// its last byte. A list that has begun must be complete within the same time.
	maxSilence = 2600 * time.Millisecond
)

// Phase is the phase in which a call to discovery failed.
type Phase string

// The phases of a call, in order.
const (
	Connecting       Phase = "connecting"
	AwaitingResponse Phase = "waiting for an answer"
	Watching         Phase = "following the list"
)

// SilentError reports a timeout of discovery: it could not be reached, sent nothing, or left a list
// incomplete for too long.
type SilentError struct {
	Addr   string // address of discovery
	During Phase
	err    error // the timeout
}

// Error implements error.
func (e *SilentError) Error() string {
	return fmt.Sprintf("discovery at %s timed out while %s: %v", e.Addr, e.During, e.err)
}

// Unwrap returns the underlying timeout error.
func (e *SilentError) Unwrap() error { return e.err }

// Advice returns what an operator can do about the error, in a sentence or two.
func (e *SilentError) Advice() string {
	return "no action is needed if it happens once: the list is requested again within a second. If it happens repeatedly, check whether " + e.Addr +
		" is reachable from here, and whether it writes a line at least every 2 s"
}

// errListTooLong reports a list of more than maxList bytes.
var errListTooLong = errors.New("discovery: the list is longer than 8 MiB")

// stream reads the lists of a watch and enforces maxSilence and maxList. Lists are consecutive JSON
// objects, each over any number of lines.
type stream struct {
	body        io.Reader
	setDeadline func(time.Time) error // sets the deadline of the connection
	onReceive   func()                // called when bytes have arrived
	decoder     *json.Decoder
	list        json.RawMessage

	received    bool      // something has arrived; until then the deadline set by the caller holds
	listStarted time.Time // when the first byte of the current list arrived; zero: not yet
	listSize    int       // bytes of the current list, leading white space included
}

// newStream returns a stream that reads from body, sets deadlines with setDeadline, and calls onReceive
// whenever bytes have arrived.
func newStream(body io.Reader, setDeadline func(time.Time) error, onReceive func()) *stream {
	s := &stream{body: body, setDeadline: setDeadline, onReceive: onReceive}
	s.decoder = json.NewDecoder(s)
	return s
}

// next returns the JSON of the next list, which is valid until next is called again. It returns a timeout
// error after maxSilence.
func (s *stream) next() ([]byte, error) {
	if err := s.decoder.Decode(&s.list); err != nil {
		return nil, err
	}
	// The bytes that the decoder has buffered belong to the next list.
	rest, _ := io.ReadAll(s.decoder.Buffered())
	s.listStarted, s.listSize = time.Time{}, 0
	s.count(rest)
	return s.list, nil
}

// count adds bytes to the current list.
func (s *stream) count(b []byte) {
	s.listSize += len(b)
	if s.listStarted.IsZero() && len(bytes.TrimLeft(b, " \t\r\n")) > 0 {
		s.listStarted = time.Now()
	}
	if s.listStarted.IsZero() {
		s.listSize = 0 // empty lines between lists do not count
	}
}

// Read implements io.Reader for the decoder. Once something has arrived, it sets the connection's deadline
// to maxSilence after the start of the current list or, between lists, after now.
func (s *stream) Read(b []byte) (int, error) {
	if s.listSize > maxList {
		return 0, errListTooLong
	}
	if s.received {
		start := time.Now()
		if !s.listStarted.IsZero() {
			start = s.listStarted
		}
		s.setDeadline(start.Add(maxSilence))
	}
	n, err := s.body.Read(b)
	if n > 0 {
		s.received = true
		s.onReceive()
		s.count(b[:n])
	}
	return n, err
}
