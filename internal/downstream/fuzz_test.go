package downstream

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"testing"
	"testing/iotest"
	"time"

	"martendrum/internal/framing/framingtest"
	"martendrum/internal/upstream"
)

// FuzzRequestBody sends a body, chunked or of a stated length, in pieces, and compares what
// arrives with RFC 9112: what the strict grammar accepts arrives completely, and nothing arrives
// that even a lenient reader would read otherwise.
func FuzzRequestBody(f *testing.F) {
	for _, seed := range framingtest.Seeds {
		f.Add([]byte(seed), -1, 1)
		f.Add([]byte(seed), 3, 2)
		f.Add([]byte(seed), len(seed), 7)
	}
	f.Fuzz(func(t *testing.T, body []byte, length, piece int) {
		if len(body) > 4<<10 || piece < 1 || length > 8<<10 {
			t.Skip()
		}
		h := &handler{arrived: make(chan *Exchange, 4), disconnected: make(chan *Exchange, 4)}
		s := New(Config{MaxConns: 100, MaxBody: 1 << 20}, h)
		here, there := net.Pipe()
		s.add(here)
		head := "POST /pay HTTP/1.1\r\nHost: a\r\nReq-Id: 1\r\n"
		if length < 0 {
			head += "Transfer-Encoding: chunked\r\n\r\n"
		} else {
			head += "Content-Length: " + strconv.Itoa(length) + "\r\n\r\n"
		}
		there.SetDeadline(time.Now().Add(patience))
		go func() {
			if framingtest.Send(there, append([]byte(head), body...), piece) == nil { // else it was rejected
				there.Close()
			}
		}()
		answers := make(chan struct{})
		go func() { // read off, or a rejection would block
			defer close(answers)
			io.Copy(io.Discard, there)
		}()
		strict, lenient := framingtest.Read(body, length)
		<-answers
		for until := time.Now().Add(patience); s.Conns() > 0; time.Sleep(50 * time.Microsecond) {
			if time.Now().After(until) {
				t.Fatal("the connection did not end")
			}
		}
		var got []byte
		arrived := len(h.arrived)
		if arrived > 0 {
			x := <-h.arrived
			got = bytes.Clone(x.Request.Body)
			x.Release()
		}
		if err := framingtest.Check(body, strict, lenient, strict.OK && len(strict.Rest) == 0, arrived > 0, got); err != nil {
			t.Error(err)
		}
		if arrived > 1 {
			t.Error("a second request arrived")
		}
		if held, _ := s.BodyBytes(); held != 0 {
			t.Errorf("%d bytes are held after the end", held)
		}
	})
}

// FuzzPassedAnswer forwards an answer from pieces, chunked where its length is unknown, and
// compares what a client reads with what went in.
func FuzzPassedAnswer(f *testing.F) {
	f.Add([]byte("abc"), 1, true, false)
	f.Add([]byte("0\r\n\r\n"), 2, false, true)
	f.Add([]byte{}, 1, false, false)
	f.Fuzz(func(t *testing.T, body []byte, piece int, told, breaks bool) {
		if len(body) > 64<<10 || piece < 1 {
			t.Skip()
		}
		h := &handler{arrived: make(chan *Exchange, 1), disconnected: make(chan *Exchange, 4)}
		s := New(Config{MaxConns: 100, MaxBody: 1 << 20}, h)
		here, there := net.Pipe()
		defer there.Close()
		s.add(here)
		there.SetDeadline(time.Now().Add(patience))
		go io.WriteString(there, look("1"))
		x := <-h.arrived
		first := min(len(body), piece)
		var rest []io.Reader
		for part := range slices.Chunk(body[first:], piece) {
			rest = append(rest, bytes.NewReader(part))
		}
		if breaks {
			rest = append(rest, iotest.ErrReader(io.ErrUnexpectedEOF))
		}
		answer := &upstream.Answer{Header: http.Header{}, Body: body[:first], Length: -1, Rest: io.MultiReader(rest...)}
		if told {
			answer.Length = int64(len(body))
		}
		go func() {
			x.Serve(answer)
			x.Release()
			if breaks {
				there.Close()
			}
		}()
		resp, err := http.ReadResponse(bufio.NewReader(there), nil)
		if err != nil {
			if !breaks {
				t.Fatal(err)
			}
			return
		}
		got, err := io.ReadAll(resp.Body)
		switch {
		case breaks && err == nil && !(told && len(got) == len(body)):
			t.Errorf("%q, broken off, was taken for complete: %q", body, got)
		case !breaks && (err != nil || !bytes.Equal(got, body)):
			t.Errorf("%q came as %q, %v", body, got, err)
		}
	})
}
