// Package framingtest reads bodies by the letter of RFC 9112, apart from the library
// that the sidecar reads them with, so that fuzz targets of both sides can compare.
// It is for tests only, and knows nothing of heads.
package framingtest

import (
	"bytes"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
)

// maxSize is how many digits of a chunk's size the strict reading takes: as many as 64
// bits need. Longer ones may be refused (RFC 9112, section 7.1, on numerals too large).
const maxSize = 16

// Dechunk reads a chunked body. strict keeps to the grammar: each line ends with CRLF,
// a size is hex digits alone or before an extension. Otherwise a line may end with a
// bare LF and a size may have blanks behind it, as recipients are allowed to take it.
// rest is what follows the body.
func Dechunk(b []byte, strict bool) (body, rest []byte, ok bool) {
	for {
		line, after, ok := cutLine(b, strict)
		if !ok {
			return nil, nil, false
		}
		size, ext, extended := strings.Cut(line, ";")
		if !strict {
			size = strings.TrimRight(size, " \t")
		} else if len(size) > maxSize || extended && (ext == "" || !plain(ext)) {
			return nil, nil, false
		}
		n, err := strconv.ParseUint(size, 16, 31)
		if err != nil || strings.HasPrefix(size, "+") {
			return nil, nil, false
		}
		if n == 0 {
			rest, ok := trailers(after, strict)
			return body, rest, ok
		}
		if uint64(len(after)) < n {
			return nil, nil, false
		}
		body = append(body, after[:n]...)
		if b, ok = bytes.CutPrefix(after[n:], []byte("\r\n")); !ok {
			return nil, nil, false
		}
	}
}

// trailers reads off the fields behind the last chunk and their empty line.
func trailers(b []byte, strict bool) (rest []byte, ok bool) {
	for {
		line, after, ok := cutLine(b, strict)
		if !ok {
			return nil, false
		}
		if line == "" {
			return after, true
		}
		name, _, field := strings.Cut(line, ":")
		if strict && (!field || !token(name) || !plain(line)) {
			return nil, false
		}
		b = after
	}
}

// cutLine cuts a line off, without its end.
func cutLine(b []byte, strict bool) (line string, rest []byte, ok bool) {
	before, rest, ok := bytes.Cut(b, []byte("\n"))
	if !ok {
		return "", nil, false
	}
	line, crlf := strings.CutSuffix(string(before), "\r")
	if strict && !crlf {
		return "", nil, false
	}
	return line, rest, true
}

// plain says that s is visible ASCII and blanks.
func plain(s string) bool {
	for _, c := range []byte(s) {
		if c < ' ' || c > '~' {
			return false
		}
	}
	return true
}

// token says that s is a name of RFC 9110, section 5.6.2, written in letters, digits
// and hyphens alone.
func token(s string) bool {
	for _, c := range []byte(s) {
		if c != '-' && (c < '0' || c > '9') && (c|0x20 < 'a' || c|0x20 > 'z') {
			return false
		}
	}
	return s != ""
}

// Seeds are bodies for fuzz targets to begin with: good ones, and ones that readers differ on.
var Seeds = []string{
	"0\r\n\r\n", "3\r\nabc\r\n0\r\n\r\n", "3;x=y\r\nabc\r\n0\r\nX: y\r\n\r\n",
	"3 \r\nabc\r\n0\r\n\r\n", "3\nabc\r\n0\n\n", "3\r\nabcd\r\n0\r\n\r\n",
	"zz\r\n", "-1\r\n\r\n", "3\r\nabc\r\n0\r\n\r\nGET /look HTTP/1.1\r\n\r\n",
	"ffffffffffffffff\r\na", "0x3\r\nabc\r\n0\r\n\r\n", "+3\r\nabc\r\n0\r\n\r\n",
	"00000003\r\nabc\r\n0\r\n\r\n", "3;\r\nabc\r\n0\r\n\r\n", "3\r\nabc\r\n0\r\nX y\r\n\r\n",
	"1\r\na\r\n1\r\nb\r\n1\r\nc\r\n0\r\n\r\n", "3\r\nabc\r\n0\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", "",
	"yes",
}

// Reading is what a reader makes of bytes: a body and what follows it, if OK.
type Reading struct {
	Body, Rest []byte
	OK         bool
}

// Read reads a body of a stated length, or a chunked one where length is below 0, both
// strictly and leniently.
func Read(b []byte, length int) (strict, lenient Reading) {
	if length < 0 {
		strict.Body, strict.Rest, strict.OK = Dechunk(b, true)
		lenient.Body, lenient.Rest, lenient.OK = Dechunk(b, false)
	} else if length <= len(b) {
		strict = Reading{b[:length], b[length:], true}
		lenient = strict
	}
	return strict, lenient
}

// Check compares what a reader made of text, if it took it, with both readings; must says
// that it had to take it. Nothing that even the lenient one reads otherwise may pass.
func Check(text []byte, strict, lenient Reading, must, took bool, got []byte) error {
	switch {
	case !took && must:
		return fmt.Errorf("%q was not taken", text)
	case !took:
	case !lenient.OK:
		return fmt.Errorf("%q passed for %q", text, got)
	case !bytes.Equal(got, lenient.Body):
		return fmt.Errorf("%q was read as %q, want %q", text, got, lenient.Body)
	case must && !bytes.Equal(strict.Body, lenient.Body):
		return fmt.Errorf("the two readings of %q differ: %q, %q", text, strict.Body, lenient.Body)
	}
	return nil
}

// Send writes text in pieces of that size, until one can't be written.
func Send(w io.Writer, text []byte, piece int) error {
	for part := range slices.Chunk(text, piece) {
		if _, err := w.Write(part); err != nil {
			return err
		}
	}
	return nil
}
