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

// FuzzReadObject checks that readObject returns a prefix of its input within the limits, that
// objectLength agrees with it, and that a valid request or notification decodes to the same message
// after it was encoded again.
func FuzzReadObject(f *testing.F) {
	for _, seed := range []string{
		"\x94\x00\x07\xa4echo\x91\x01", "\x93\x02\xa1a\x90", "\x94\x01\x01\xc0\x82\xa1a\x01\xa1b\xcb12345678",
		"\xdd\x00\x00\x00\x04\xd0\x00\xd1\x00\x07\xc4\x04echo\xdc\x00\x01\xc7\x03\x05abc", "\xdf\xff\xff\xff\xff",
		"\xd8\x010123456789abcdef", "\x94\x00\xd3\xff\xff\xff\xff\xff\xff\xff\xff\xa1a\x90", "\xc6\x7f\xff\xff\xff",
	} {
		f.Add([]byte(seed))
	}
	limits := Limits{Message: 1 << 12, Depth: 8}.withDefaults()
	f.Fuzz(func(t *testing.T, in []byte) {
		raw, err := readObject(bufio.NewReader(bytes.NewReader(in)), limits, nil)
		if err != nil {
			return
		}
		if len(raw) > limits.Message || !bytes.HasPrefix(in, raw) {
			t.Fatalf("readObject returned %d bytes, want a prefix of the input of at most %d", len(raw), limits.Message)
		}
		if n := objectLength(raw); n != len(raw) {
			t.Fatalf("objectLength() = %d, want %d", n, len(raw))
		}
		if m, err := parse(raw); err == nil && m.kind != kindResponse {
			// A valid message can be encoded again and decodes to the same message.
			kind := byte(m.kind)
			encoded := append(appendString(appendHeader(nil, kind, m.id), m.method), m.paramsOrError...)
			if decoded, err := parse(encoded); err != nil || decoded.method != m.method || decoded.id != m.id {
				t.Fatalf("%x encoded again as %x: got method %q, id %d, error %v; want %q, %d, nil", raw, encoded, decoded.method, decoded.id, err, m.method, m.id)
			}
		}
		var value any
		msgpack.Unmarshal(raw, &value) // must not panic on a valid object
	})
}

// FuzzServer sends arbitrary bytes to a server, which must continue to serve another connection.
func FuzzServer(f *testing.F) {
	s := &Server{Handler: echo, Limits: Limits{Message: 4096, Depth: 8}}
	other := dialClient(f, serve(f, s), Limits{})
	f.Add([]byte("\x94\x00\x07\xa4echo\x91\x01\x94\x00\x08\xa4echo\x91\xc1"))
	f.Add([]byte("\x94\x00\x01\xa1a\xdd\xff\xff\xff\xff"))
	f.Fuzz(func(t *testing.T, in []byte) {
		peer, served := net.Pipe()
		if !s.startConn(served) {
			t.Skip("the server is at its maximum of connections")
		}
		go io.Copy(io.Discard, peer)
		peer.SetDeadline(time.Now().Add(testTimeout))
		peer.Write(in)
		peer.Close()
		var got []int
		if err := other.Call(testContext(t), "echo", []any{1}, &got); err != nil || got[0] != 1 {
			t.Fatalf("echo on another connection: got %v, %v; want [1], nil", got, err)
		}
	})
}
