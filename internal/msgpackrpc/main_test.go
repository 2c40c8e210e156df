package msgpackrpc

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testTimeout bounds each wait of a test.
const testTimeout = 20 * time.Second

// serve starts a server on loopback and returns its address.
func serve(t testing.TB, s *Server) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- s.Serve(listener) }()
	t.Cleanup(func() {
		s.Close()
		if err := <-done; err != nil {
			t.Error("Serve:", err)
		}
	})
	return listener.Addr().String()
}

func dial(t testing.TB, addr string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(testTimeout))
	return conn
}

func client(t testing.TB, addr string, limits Limits) *Client {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	c := NewClient(conn, limits, nil)
	t.Cleanup(func() { c.Close() })
	return c
}

func echo(_ context.Context, r *Request) (any, error) {
	var p []any
	if err := msgpack.Unmarshal(r.Params, &p); err != nil {
		return nil, err
	}
	return p, nil
}

func testContext(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}
