package upstream

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"martendrum/internal/framing/framingtest"
	"martendrum/internal/netconn"
)

// FuzzAnswerBody reads a server's answer, chunked, of a stated length or delimited by the end of
// its connection, in pieces, and compares it with RFC 9112: what the strict grammar accepts is an
// answer, and nothing is that even a lenient reader would read otherwise.
func FuzzAnswerBody(f *testing.F) {
	for _, seed := range framingtest.Seeds {
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
		strict, lenient := framingtest.Read(body, length)
		switch {
		case length == -1:
			head += "Transfer-Encoding: chunked\r\n"
		case length >= 0:
			head += "Content-Length: " + strconv.Itoa(length) + "\r\n"
		default: // to the connection's end
			strict = framingtest.Reading{Body: body, OK: len(body) > 0}
			lenient = strict
		}
		go func() {
			defer there.Close()
			framingtest.Send(there, append([]byte(head+"\r\n"), body...), piece)
		}()
		c := &conn{Conn: here, input: netconn.NewLazy(here)}
		resp, ans, err := c.readAnswer(http.MethodPost)
		var got []byte
		if err == nil {
			got = ans.Body
			if ans.Rest != nil { // it took long to come
				var more []byte
				more, err = io.ReadAll(ans.Rest)
				got = append(got, more...)
			}
		}
		if differ := framingtest.Check(body, strict, lenient, strict.OK, err == nil, got); differ != nil {
			t.Fatalf("length %d: %v (%v)", length, differ, err)
		}
		switch {
		case err != nil:
		case resp.StatusCode != http.StatusOK:
			t.Errorf("answered %d", resp.StatusCode)
		case ans.Rest == nil && ans.Length != int64(len(got)):
			t.Errorf("%d bytes said to be %d", len(got), ans.Length)
		case c.input.Buffered() > len(lenient.Rest):
			t.Errorf("%d bytes are left over, want at most %d", c.input.Buffered(), len(lenient.Rest))
		}
	})
}
