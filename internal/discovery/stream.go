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
	// An empty line comes every 2 s: a watch that is silent for longer is broken, and
	// what it misses counts as told 6 s after it fell silent. A list that has begun is
	// whole within the same time, whatever comes in small pieces.
	maxSilence = 2600 * time.Millisecond
)

// Phase is what a call to discovery was at when it failed.
type Phase string

// The phases.
const (
	Connecting       Phase = "connecting"
	AwaitingResponse Phase = "waiting for an answer"
	Watching         Phase = "following the list"
)

// SilentError says that discovery said nothing in time, or stopped within a list.
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
	return "nothing, if it comes once: the list is asked for again within a second. If it goes on, look whether " + e.Addr +
		" is reached from here, and whether it writes a line at least every 2 s"
}

// errListTooLong says that a list has no end within maxList.
var errListTooLong = errors.New("discovery: a list of over 8 MiB")

// stream reads the lists of a watch, JSON objects one behind the other over as many
// lines as they like, and keeps the watch's silence clock.
type stream struct {
	body     io.Reader
	deadline func(time.Time) error
	onBytes  func() // a byte has come
	dec      *json.Decoder
	list     json.RawMessage

	received bool      // something has come; before it, the caller's own deadline holds
	began    time.Time // of the list being read; zero: none is
	read     int       // bytes of it, and of spaces before
}

func newStream(body io.Reader, deadline func(time.Time) error, heard func()) *stream {
	s := &stream{body: body, deadline: deadline, onBytes: heard}
	s.dec = json.NewDecoder(s)
	return s
}

// next returns the next list, which is good until the next call.
func (s *stream) next() ([]byte, error) {
	if err := s.dec.Decode(&s.list); err != nil {
		return nil, err
	}
	// What the decoder holds already belongs to the next one.
	rest, _ := io.ReadAll(s.dec.Buffered())
	s.began, s.read = time.Time{}, 0
	s.count(rest)
	return s.list, nil
}

// count books bytes of the list that is being read.
func (s *stream) count(b []byte) {
	s.read += len(b)
	if s.began.IsZero() && len(bytes.TrimLeft(b, " \t\r\n")) > 0 {
		s.began = time.Now()
	}
	if s.began.IsZero() {
		s.read = 0 // empty lines have no end
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
