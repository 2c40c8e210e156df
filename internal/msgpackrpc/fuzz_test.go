package msgpackrpc

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

func FuzzReadObject(f *testing.F) {
	for _, s := range []string{
		"\x94\x00\x07\xa4echo\x91\x01", "\x93\x02\xa1a\x90", "\x94\x01\x01\xc0\x82\xa1a\x01\xa1b\xcb12345678",
		"\xdd\x00\x00\x00\x04\xd0\x00\xd1\x00\x07\xc4\x04echo\xdc\x00\x01\xc7\x03\x05abc", "\xdf\xff\xff\xff\xff",
		"\xd8\x010123456789abcdef", "\x94\x00\xd3\xff\xff\xff\xff\xff\xff\xff\xff\xa1a\x90", "\xc6\x7f\xff\xff\xff",
	} {
		f.Add([]byte(s))
	}
	limits := Limits{Message: 1 << 12, Depth: 8}.withDefaults()
	f.Fuzz(func(t *testing.T, in []byte) {
		raw, err := readObject(bufio.NewReader(bytes.NewReader(in)), limits, nil)
		if err != nil {
			return
		}
		if len(raw) > limits.Message || !bytes.HasPrefix(in, raw) {
			t.Fatalf("read %d bytes that are not those of the input", len(raw))
		}
		if n := objectLength(raw); n != len(raw) {
			t.Fatalf("a length of %d; want %d", n, len(raw))
		}
		if m, err := parse(raw); err == nil && m.kind != kindResponse {
			// A valid message can be encoded again and decodes to the same message.
			kind := byte(m.kind)
			b := append(appendString(appendHeader(nil, kind, m.id), m.method), m.paramsOrError...)
			if again, err := parse(b); err != nil || again.method != m.method || again.id != m.id {
				t.Fatalf("%x encoded again: %v", raw, err)
			}
		}
		var v any
		msgpack.Unmarshal(raw, &v) // must not panic on a valid object
	})
}

// FuzzServer sends bytes to a complete server, which must continue to serve other connections.
func FuzzServer(f *testing.F) {
	s := &Server{Handler: echo, Limits: Limits{Message: 4096, Depth: 8}}
	good := client(f, serve(f, s), Limits{})
	f.Add([]byte("\x94\x00\x07\xa4echo\x91\x01\x94\x00\x08\xa4echo\x91\xc1"))
	f.Add([]byte("\x94\x00\x01\xa1a\xdd\xff\xff\xff\xff"))
	f.Fuzz(func(t *testing.T, in []byte) {
		near, far := net.Pipe()
		if !s.startConn(far) {
			t.Skip("full")
		}
		go io.Copy(io.Discard, near)
		near.SetDeadline(time.Now().Add(testTimeout))
		near.Write(in)
		near.Close()
		var got []int
		if err := good.Call(testContext(t), "echo", []any{1}, &got); err != nil || got[0] != 1 {
			t.Fatal(got, err)
		}
	})
}
