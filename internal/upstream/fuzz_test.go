package upstream

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"chalkrack/internal/framing/framingtest"
	"chalkrack/internal/sock"
)

// FuzzAnswerBody reads a server's answer, chunked, of a stated length or ended by its
// connection, in pieces, and compares it with what RFC 9112 makes of the same bytes:
// what the strict grammar takes whole is an answer, and nothing is that even a lenient
// reader would read otherwise.
func FuzzAnswerBody(f *testing.F) {
	for _, seed := range []string{
		"0\r\n\r\n", "3\r\nabc\r\n0\r\n\r\n", "3;x=y\r\nabc\r\n0\r\nX: y\r\n\r\n", "3 \r\nabc\r\n0\r\n\r\n",
		"3\nabc\r\n0\n\n", "3\r\nabcd\r\n0\r\n\r\n", "zz\r\n", "-1\r\n\r\n", "3\r\nabc\r\n0\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
		"ffffffffffffffff\r\na", "0x3\r\nabc\r\n0\r\n\r\n", "+3\r\nabc\r\n0\r\n\r\n", "", "yes",
	} {
		f.Add([]byte(seed), -1, 1, false)
		f.Add([]byte(seed), 3, 2, true)
		f.Add([]byte(seed), len(seed), 7, false)
		f.Add([]byte(seed), -2, 3, true)
	}
	f.Fuzz(func(t *testing.T, body []byte, length, piece int, interim bool) {
		if len(body) > 4<<10 || piece < 1 || length > 8<<10 {
			t.Skip()
		}
		here, there := net.Pipe()
		defer here.Close()
		there.SetDeadline(time.Now().Add(patience))
		head := "HTTP/1.1 200 OK\r\nSrv-Load: inflight=1\r\n"
		if interim {
			head = "HTTP/1.1 103 Early Hints\r\n\r\n" + head
		}
		var strict, lenient, rest []byte
		var must, may bool
		switch {
		case length == -1:
			head += "Transfer-Encoding: chunked\r\n"
			strict, _, must = framingtest.Dechunk(body, true)
			lenient, rest, may = framingtest.Dechunk(body, false)
		case length >= 0:
			head += "Content-Length: " + strconv.Itoa(length) + "\r\n"
			if may = length <= len(body); may {
				must, strict, lenient, rest = true, body[:length], body[:length], body[length:]
			}
		default:
			may = len(body) > 0
			must, strict, lenient = may, body, body
		}
		go func() {
			defer there.Close()
			text := append([]byte(head+"\r\n"), body...)
			for len(text) > 0 {
				n, err := there.Write(text[:min(piece, len(text))])
				if text = text[n:]; err != nil {
					return
				}
			}
		}()
		c := &conn{Conn: here, in: sock.NewLazy(here)}
		resp, ans, err := c.readAnswer(http.MethodPost)
		switch {
		case err != nil && must:
			t.Fatalf("%q, length %d: %v", body, length, err)
		case err != nil:
			return
		case resp.StatusCode != http.StatusOK:
			t.Fatalf("answered %d", resp.StatusCode)
		}
		got := ans.Body
		if ans.Rest != nil { // it took long to come
			more, err := io.ReadAll(ans.Rest)
			if err != nil {
				if must {
					t.Errorf("%q, length %d: %v", body, length, err)
				}
				return
			}
			got = append(got, more...)
		}
		switch {
		case !may:
			t.Errorf("%q, length %d, passed for %q", body, length, got)
		case !bytes.Equal(got, lenient):
			t.Errorf("%q, length %d, read as %q, want %q", body, length, got, lenient)
		case must && !bytes.Equal(strict, lenient):
			t.Errorf("the two readings of %q differ: %q, %q", body, strict, lenient)
		case ans.Rest == nil && ans.Length != int64(len(got)):
			t.Errorf("%d bytes said to be %d", len(got), ans.Length)
		case c.in.Buffered() > len(rest):
			t.Errorf("%d bytes are left over, want at most %d", c.in.Buffered(), len(rest))
		}
	})
}
