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
	maxList = 8 << 20 // bytes of one list in a watch
	// maxSilence is how long a watch may be silent. Discovery sends an empty line every 2 s,
	// and changes missed by a silent watch count as notified 6 s after it fell silent. A
	// list that has begun must be complete within the same time.
	maxSilence = 2600 * time.Millisecond
)

// Phase is what a call to discovery was doing when it failed.
type Phase string

// The phases.
const (
	Connecting       Phase = "connecting"
	AwaitingResponse Phase = "waiting for an answer"
	Watching         Phase = "following the list"
)

// SilentError reports that discovery sent nothing in time, or stopped within a list.
type SilentError struct {
	Addr   string
	During Phase
	err    error
}

// Error implements error.
func (e *SilentError) Error() string {
	return fmt.Sprintf("discovery at %s fell silent while %s: %v", e.Addr, e.During, e.err)
}

// Unwrap returns the cause.
func (e *SilentError) Unwrap() error { return e.err }

// Advice says what an operator can do.
func (e *SilentError) Advice() string {
	return "nothing, if it happens once: the list is requested again within a second. If it goes on, check whether " + e.Addr +
		" is reachable from here, and whether it writes a line at least every 2 s"
}

// errListTooLong reports a list of more than maxList bytes.
var errListTooLong = errors.New("discovery: the list is longer than 8 MiB")

// stream reads the lists of a watch, which are consecutive JSON objects over any number of
// lines, and enforces maxSilence.
type stream struct {
	body     io.Reader
	deadline func(time.Time) error
	onBytes  func() // is called when bytes arrive
	decoder  *json.Decoder
	list     json.RawMessage

	received bool      // something has arrived; until then the caller's deadline holds
	began    time.Time // when the list being read began; zero: none has
	read     int       // bytes of the list being read, leading white space included
}

func newStream(body io.Reader, deadline func(time.Time) error, onBytes func()) *stream {
	s := &stream{body: body, deadline: deadline, onBytes: onBytes}
	s.decoder = json.NewDecoder(s)
	return s
}

// next returns the next list, which is valid until the next call.
func (s *stream) next() ([]byte, error) {
	if err := s.decoder.Decode(&s.list); err != nil {
		return nil, err
	}
	// What the decoder has buffered belongs to the next list.
	rest, _ := io.ReadAll(s.decoder.Buffered())
	s.began, s.read = time.Time{}, 0
	s.count(rest)
	return s.list, nil
}

// count adds bytes to the list that is being read.
func (s *stream) count(b []byte) {
	s.read += len(b)
	if s.began.IsZero() && len(bytes.TrimLeft(b, " \t\r\n")) > 0 {
		s.began = time.Now()
	}
	if s.began.IsZero() {
		s.read = 0 // empty lines between lists do not count
	}
}

// Read implements io.Reader for the decoder.
func (s *stream) Read(p []byte) (int, error) {
	if s.read > maxList {
		return 0, errListTooLong
	}
	if s.received {
		until := time.Now()
		if !s.began.IsZero() {
			until = s.began
		}
		s.deadline(until.Add(maxSilence))
	}
	n, err := s.body.Read(p)
	if n > 0 {
		s.received = true
		s.onBytes()
		s.count(p[:n])
	}
	return n, err
}
