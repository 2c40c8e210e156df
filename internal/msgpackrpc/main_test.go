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

// testTimeout bounds how long a test waits for an event.
const testTimeout = 20 * time.Second

// serve starts a server on loopback, which is closed at the end of the test, and returns its address.
func serve(t testing.TB, s *Server) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal("Listen:", err)
	}
	serveResult := make(chan error, 1)
	go func() { serveResult <- s.Serve(listener) }()
	t.Cleanup(func() {
		s.Close()
		if err := <-serveResult; err != nil {
			t.Error("Serve:", err)
		}
	})
	return listener.Addr().String()
}

// dial connects to a server and returns the connection, with testTimeout as its deadline.
func dial(t testing.TB, addr string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal("Dial:", err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(testTimeout))
	return conn
}

// dialClient connects to a server and returns a client, which is closed at the end of the test.
func dialClient(t testing.TB, addr string, limits Limits) *Client {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal("Dial:", err)
	}
	c := NewClient(conn, limits, nil)
	t.Cleanup(func() { c.Close() })
	return c
}

// echo is a handler that returns the params as the result.
func echo(_ context.Context, r *Request) (any, error) {
	var params []any
	if err := msgpack.Unmarshal(r.Params, &params); err != nil {
		return nil, err
	}
	return params, nil
}

// testContext returns a context that ends after testTimeout.
func testContext(t testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}
