// Package framing reads the head of an HTTP/1.1 message and checks that the length of the message is
// unambiguous. It is used for messages from clients and from servers.
package framing

import (
	"bufio"
	"bytes"
	"errors"
)

// Errors of messages that must be rejected.
var (
	// ErrLong reports a head that is longer than the reader's buffer.
	ErrLong = errors.New("framing: head too long")
	// ErrAmbiguous reports a head that states the length of the body more than once.
	ErrAmbiguous = errors.New("framing: body length stated more than once")
	// ErrMalformed reports a head that is malformed or that parsers may understand differently.
	ErrMalformed = errors.New("framing: malformed head")
)

// MaxHead is the maximum length of a head in bytes. Readers that are passed to Await have a buffer of this
// size.
const MaxHead = 8 << 10

// Await waits until the complete head of the next message is in br's buffer, and returns it with its final
// empty line, without consuming it. The bytes are valid until the next read from br. If the head does not
// fit the buffer, Await returns ErrLong, so that a head without an end uses bounded memory.
func Await(br *bufio.Reader) ([]byte, error) {
	for seen := 0; ; {
		head, err := br.Peek(br.Buffered())
		if err != nil {
			return nil, err
		}
		unchecked := max(0, seen-3) // the empty line may begin in bytes that were seen before
		if end := headEnd(head[unchecked:]); end > 0 {
			return head[:unchecked+end], nil
		}
		if len(head) == br.Size() {
			return nil, ErrLong
		}
		seen = len(head)
		if _, err := br.Peek(seen + 1); err != nil {
			return nil, err
		}
	}
}

// headEnd returns the index after the first empty line of b, or 0 if there is none.
func headEnd(b []byte) int {
	for lineStart := 0; ; {
		n := bytes.IndexByte(b[lineStart:], '\n')
		if n < 0 {
			return 0
		}
		lineStart += n + 1
		switch rest := b[lineStart:]; {
		case len(rest) > 0 && rest[0] == '\n':
			return lineStart + 1
		case len(rest) > 1 && rest[0] == '\r' && rest[1] == '\n':
			return lineStart + 2
		}
	}
}

// Check rejects a head that two parsers may understand differently, to prevent request and response
// smuggling. It returns ErrAmbiguous if Content-Length and Transfer-Encoding are both present or one of
// them is repeated, because a message could then hide another one in its body. It returns ErrMalformed for
// folded lines, control characters in values, and names with blanks, with which a field could be hidden
// from one of the parsers. This also rejects peers that fold lines or repeat an equal Content-Length, both
// of which are obsolete in HTTP/1.1.
func Check(head []byte) error {
	lengths, first := 0, true
	for len(head) > 0 {
		var line []byte
		line, head, _ = bytes.Cut(head, []byte("\n"))
		line = bytes.TrimSuffix(line, []byte("\r"))
		for _, ch := range line {
			if ch < ' ' && ch != '\t' || ch == 0x7f {
				return ErrMalformed
			}
		}
		switch {
		case first:
			first = false
			continue
		case len(line) == 0:
			continue
		}
		name, _, ok := bytes.Cut(line, []byte(":"))
		if !ok || len(name) == 0 || bytes.ContainsAny(name, " \t") {
			return ErrMalformed
		}
		if bytes.EqualFold(name, []byte("Content-Length")) || bytes.EqualFold(name, []byte("Transfer-Encoding")) {
			if lengths++; lengths > 1 {
				return ErrAmbiguous
			}
		}
	}
	return nil
}
