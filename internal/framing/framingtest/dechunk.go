// Package framingtest parses message bodies as RFC 9112 specifies, independently of the library
// that the sidecar uses, so that the fuzz tests of package downstream and package upstream can
// compare the results. It is for tests only, and does not parse heads.
package framingtest

import (
	"bytes"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
)

// maxSizeDigits is the maximum number of digits of a chunk size that strict parsing accepts: as
// many as 64 bits need. Recipients may reject longer ones (RFC 9112, section 7.1, on numerals
// that are too large).
const maxSizeDigits = 16

// Dechunk parses a chunked body. If strict, it accepts only the grammar: each line ends with CRLF,
// and a size consists of hexadecimal digits, which only an extension may follow. Otherwise a line
// may also end with a bare LF, and blanks may follow a size, as recipients are allowed to accept.
// rest is what follows the body. ok is false if the body is malformed or incomplete.
func Dechunk(b []byte, strict bool) (body, rest []byte, ok bool) {
	for {
		line, after, ok := readLine(b, strict)
		if !ok {
			return nil, nil, false
		}
		size, extension, hasExtension := strings.Cut(line, ";")
		if !strict {
			size = strings.TrimRight(size, " \t")
		} else if len(size) > maxSizeDigits || hasExtension && (extension == "" || !isPrintable(extension)) {
			return nil, nil, false
		}
		n, err := strconv.ParseUint(size, 16, 31)
		if err != nil || strings.HasPrefix(size, "+") {
			return nil, nil, false
		}
		if n == 0 {
			rest, ok := skipTrailers(after, strict)
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

// skipTrailers skips the trailer fields after the last chunk and the empty line that ends them.
func skipTrailers(b []byte, strict bool) (rest []byte, ok bool) {
	for {
		line, after, ok := readLine(b, strict)
		if !ok {
			return nil, false
		}
		if line == "" {
			return after, true
		}
		name, _, hasColon := strings.Cut(line, ":")
		if strict && (!hasColon || !isFieldName(name) || !isPrintable(line)) {
			return nil, false
		}
		b = after
	}
}

// readLine returns the first line of b, without its line end, and the bytes after it.
func readLine(b []byte, strict bool) (line string, rest []byte, ok bool) {
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

// isPrintable reports whether s consists of printable ASCII characters, including spaces.
func isPrintable(s string) bool {
	for _, c := range []byte(s) {
		if c < ' ' || c > '~' {
			return false
		}
	}
	return true
}

// isFieldName reports whether s is a token of RFC 9110, section 5.6.2, that consists of letters,
// digits and hyphens only.
func isFieldName(s string) bool {
	for _, c := range []byte(s) {
		if c != '-' && (c < '0' || c > '9') && (c|0x20 < 'a' || c|0x20 > 'z') {
			return false
		}
	}
	return s != ""
}

// Seeds are the initial bodies for fuzz tests: valid ones, and ones on which parsers disagree.
var Seeds = []string{
	"0\r\n\r\n", "3\r\nabc\r\n0\r\n\r\n", "3;x=y\r\nabc\r\n0\r\nX: y\r\n\r\n",
	"3 \r\nabc\r\n0\r\n\r\n", "3\nabc\r\n0\n\n", "3\r\nabcd\r\n0\r\n\r\n",
	"zz\r\n", "-1\r\n\r\n", "3\r\nabc\r\n0\r\n\r\nGET /look HTTP/1.1\r\n\r\n",
	"ffffffffffffffff\r\na", "0x3\r\nabc\r\n0\r\n\r\n", "+3\r\nabc\r\n0\r\n\r\n",
	"00000003\r\nabc\r\n0\r\n\r\n", "3;\r\nabc\r\n0\r\n\r\n", "3\r\nabc\r\n0\r\nX y\r\n\r\n",
	"1\r\na\r\n1\r\nb\r\n1\r\nc\r\n0\r\n\r\n", "3\r\nabc\r\n0\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", "",
	"yes",
}

// Reading is the result of parsing a body.
type Reading struct {
	Body, Rest []byte // the body and what follows it, if OK
	OK         bool   // the body is valid and complete
}

// Read parses a body both strictly and leniently. length is its stated length; below 0, the body
// is chunked.
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

// Check compares the result of the parser under test with both readings of text. accepted says whether that
// parser accepted text; got is the body that it read if so. mustAccept says that it had to accept text.
// Check returns an error if a text that must be accepted was rejected, if a text was accepted that the
// lenient reading rejects or reads differently, or if the readings of an accepted text that must be accepted
// differ.
func Check(text []byte, strict, lenient Reading, mustAccept, accepted bool, got []byte) error {
	switch {
	case !accepted && mustAccept:
		return fmt.Errorf("%q was rejected, want it accepted", text)
	case !accepted:
	case !lenient.OK:
		return fmt.Errorf("%q was accepted with body %q, want it rejected", text, got)
	case !bytes.Equal(got, lenient.Body):
		return fmt.Errorf("%q was parsed as body %q, want %q", text, got, lenient.Body)
	case mustAccept && !bytes.Equal(strict.Body, lenient.Body):
		return fmt.Errorf("strict and lenient parsing of %q differ: got bodies %q and %q", text, strict.Body, lenient.Body)
	}
	return nil
}

// Send writes text in pieces of pieceSize bytes. It returns the error of the first write that fails.
func Send(w io.Writer, text []byte, pieceSize int) error {
	for piece := range slices.Chunk(text, pieceSize) {
		if _, err := w.Write(piece); err != nil {
			return err
		}
	}
	return nil
}
