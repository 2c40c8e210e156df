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

// FuzzRequestBody sends a body in pieces, chunked or with a stated length, and compares what reaches the
// handler with RFC 9112. A body that the strict grammar accepts must arrive completely. A body that
// arrives must be the one that a lenient reader reads.
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
		serverSide, clientSide := net.Pipe()
		s.add(serverSide)
		head := "POST /pay HTTP/1.1\r\nHost: a\r\nReq-Id: 1\r\n"
		if length < 0 {
			head += "Transfer-Encoding: chunked\r\n\r\n"
		} else {
			head += "Content-Length: " + strconv.Itoa(length) + "\r\n\r\n"
		}
		clientSide.SetDeadline(time.Now().Add(patience))
		go func() {
			if framingtest.Send(clientSide, append([]byte(head), body...), piece) == nil { // an error means that the request was rejected
				clientSide.Close()
			}
		}()
		responsesRead := make(chan struct{})
		go func() { // an unread response would block the server
			defer close(responsesRead)
			io.Copy(io.Discard, clientSide)
		}()
		strict, lenient := framingtest.Read(body, length)
		<-responsesRead
		for deadline := time.Now().Add(patience); s.Conns() > 0; time.Sleep(50 * time.Microsecond) {
			if time.Now().After(deadline) {
				t.Fatalf("the connection was not closed within %v", patience)
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
			t.Errorf("%d requests reached the handler, want at most 1", arrived)
		}
		if buffered, _ := s.BodyBytes(); buffered != 0 {
			t.Errorf("%d bytes are still buffered after the connection was closed, want 0", buffered)
		}
	})
}

// FuzzPassedAnswer forwards a response that arrives in pieces, chunked if its length is unknown, and
// compares what the client reads with the body that was sent. If the response breaks off, the client
// must not take it for complete.
func FuzzPassedAnswer(f *testing.F) {
	f.Add([]byte("abc"), 1, true, false)
	f.Add([]byte("0\r\n\r\n"), 2, false, true)
	f.Add([]byte{}, 1, false, false)
	f.Fuzz(func(t *testing.T, body []byte, piece int, knownLength, breaks bool) {
		if len(body) > 64<<10 || piece < 1 {
			t.Skip()
		}
		h := &handler{arrived: make(chan *Exchange, 1), disconnected: make(chan *Exchange, 4)}
		s := New(Config{MaxConns: 100, MaxBody: 1 << 20}, h)
		serverSide, clientSide := net.Pipe()
		defer clientSide.Close()
		s.add(serverSide)
		clientSide.SetDeadline(time.Now().Add(patience))
		go io.WriteString(clientSide, look("1"))
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
		if knownLength {
			answer.Length = int64(len(body))
		}
		go func() {
			x.Serve(answer)
			x.Release()
			if breaks {
				clientSide.Close()
			}
		}()
		resp, err := http.ReadResponse(bufio.NewReader(clientSide), nil)
		if err != nil {
			if !breaks {
				t.Fatalf("reading the head of the response: %v", err)
			}
			return
		}
		got, err := io.ReadAll(resp.Body)
		switch {
		case breaks && err == nil && !(knownLength && len(got) == len(body)):
			t.Errorf("body %q broke off: the client read %q without an error, want an error", body, got)
		case !breaks && (err != nil || !bytes.Equal(got, body)):
			t.Errorf("body %q: the client read %q, error %v; want the body and no error", body, got, err)
		}
	})
}
