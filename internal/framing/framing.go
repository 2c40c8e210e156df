// Package framing reads complete heads of HTTP/1.1 messages and checks that the end of the
// message is unambiguous. The client and the server side of the sidecar use it.
package framing

import (
	"bufio"
	"bytes"
	"errors"
)

// Errors of a head that must not be parsed further.
var (
	ErrLong      = errors.New("framing: head too long")
	ErrAmbiguous = errors.New("framing: more than one statement of the body's length")
	ErrMalformed = errors.New("framing: malformed head")
)

// MaxHead is the longest head read: the buffer that a connection's reader needs.
const MaxHead = 8 << 10

// Await waits until the complete head of the next message is in br's buffer, and returns it
// without consuming it. The bytes are valid until br is read. A head that the buffer can't
// hold is ErrLong, which bounds the memory of a head without end.
func Await(br *bufio.Reader) ([]byte, error) {
	for seen := 0; ; {
		head, err := br.Peek(br.Buffered())
		if err != nil {
			return nil, err
		}
		from := max(0, seen-3)
		if end := headEnd(head[from:]); end > 0 {
			return head[:from+end], nil
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

// headEnd is the place behind the first empty line of b, 0 if there is none.
func headEnd(b []byte) int {
	for at := 0; ; {
		n := bytes.IndexByte(b[at:], '\n')
		if n < 0 {
			return 0
		}
		at += n + 1
		switch rest := b[at:]; {
		case len(rest) > 0 && rest[0] == '\n':
			return at + 1
		case len(rest) > 1 && rest[0] == '\r' && rest[1] == '\n':
			return at + 2
		}
	}
}

// Check looks for what two readers of the same head may understand differently.
// It guards against a message that hides another in its body: both lengths
// stated, or one of them twice. It also catches folded lines, control characters
// inside values and names with blanks, with which a field could be slipped past
// one reader. It may do harm to a peer that folds lines or repeats an equal
// Content-Length, both of which HTTP/1.1 has given up.
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
