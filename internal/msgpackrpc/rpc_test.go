package msgpackrpc

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Each caller receives its own response, also when all 256 requests are open before the first is
// answered and they are answered in reverse order.
func TestInterleavedResponses(t *testing.T) {
	const requests = 256
	var mu sync.Mutex
	changed := sync.NewCond(&mu) // signals a change of arrived or next
	arrived, next := 0, requests-1
	addr := serve(t, &Server{Handler: func(_ context.Context, r *Request) (any, error) {
		var params []int
		if err := msgpack.Unmarshal(r.Params, &params); err != nil {
			return nil, err
		}
		mu.Lock()
		defer mu.Unlock()
		arrived++
		changed.Broadcast()
		for arrived < requests || next != params[0] {
			changed.Wait()
		}
		next--
		changed.Broadcast()
		return params[0] * params[0], nil
	}})
	c := dialClient(t, addr, Limits{})
	var wg sync.WaitGroup
	for i := range requests {
		wg.Go(func() {
			var got int
			if err := c.Call(testContext(t), "square", []any{i}, &got); err != nil || got != i*i {
				t.Errorf("square of %d: got %d, %v; want %d, nil", i, got, err, i*i)
			}
		})
	}
	wg.Wait()
	if c.UnsolicitedResponses() != 0 {
		t.Errorf("UnsolicitedResponses() = %d, want 0", c.UnsolicitedResponses())
	}
}

// A server accepts encodings that the specification allows and that this package does not write itself.
func TestEncodingsOfTheSpecification(t *testing.T) {
	addr := serve(t, &Server{Handler: echo})
	for name, in := range map[string]string{
		"smallest forms":        "\x94\x00\x07\xa4echo\x91\x01",
		"array16 and uint64 id": "\xdc\x00\x04\xcc\x00\xcf\x00\x00\x00\x00\x00\x00\x00\x07\xd9\x04echo\xdd\x00\x00\x00\x01\x01",
		"array32, bin method":   "\xdd\x00\x00\x00\x04\xd0\x00\xd1\x00\x07\xc4\x04echo\xdc\x00\x01\x01",
	} {
		conn := dial(t, addr)
		io.WriteString(conn, in)
		raw, err := readObject(bufio.NewReader(conn), Limits{}.withDefaults(), nil)
		if err != nil {
			t.Fatalf("%s: reading the response: %v", name, err)
		}
		var got []any
		if err := msgpack.Unmarshal(raw, &got); err != nil || fmt.Sprint(got) != "[1 7 <nil> [1]]" {
			t.Errorf("%s: got response %v, error %v; want [1 7 <nil> [1]]", name, got, err)
		}
	}
}

// A message that is invalid or over a limit ends its own connection and no other.
func TestInvalidBytesCloseConnection(t *testing.T) {
	addr := serve(t, &Server{Handler: echo, Limits: Limits{Message: 4096, Depth: 8, Receive: 200 * time.Millisecond}})
	other := dialClient(t, addr, Limits{})
	for name, in := range map[string]string{
		"never used type":       "\xc1",
		"a map":                 "\x81\x01\x02",
		"array of two":          "\x92\x00\x01",
		"unknown type":          "\x94\x09\x01\xa1a\x90",
		"a response":            "\x94\x01\x01\xc0\xc0",
		"msgid of 33 bits":      "\x94\x00\xcf\x00\x00\x00\x01\x00\x00\x00\x00\xa1a\x90",
		"msgid negative":        "\x94\x00\xff\xa1a\x90",
		"method a number":       "\x94\x00\x01\x05\x90",
		"params a map":          "\x94\x00\x01\xa1a\x80",
		"4 GiB claimed":         "\x94\x00\x01\xdb\xff\xff\xff\xff",
		"array of 4 G elements": "\x94\x00\x01\xa1a\xdd\xff\xff\xff\xff",
		"map of 4 G elements":   "\x94\x00\x01\xa1a\xdf\xff\xff\xff\xff",
		"nested":                "\x94\x00\x01\xa1a" + strings.Repeat("\x91", 50),
		"too long":              "\x94\x00\x01\xa1a\xdc\x20\x00" + strings.Repeat("\x01", 0x2000),
		"incomplete":            "\x94\x00\x01\xa9a",
		"id twice while open":   "\x94\x00\x01\xa4wait\x90\x94\x00\x01\xa4wait\x90",
	} {
		conn := dial(t, addr)
		io.WriteString(conn, in)
		if name == "id twice while open" {
			continue // echo may answer the first request before the second is read; TestDuplicateOpenID checks this case
		}
		if b, err := io.ReadAll(conn); len(b) > 0 || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%s: got response %q, error %v; want the connection closed without a response", name, b, err)
		}
		var got []int
		if err := other.Call(testContext(t), "echo", []any{7}, &got); err != nil || got[0] != 7 {
			t.Fatalf("echo on another connection after %s: got %v, %v; want [7], nil", name, got, err)
		}
	}
}

// A second request with the message id of an open one ends the connection, and neither is answered: the
// peer could confuse the two responses.
func TestDuplicateOpenID(t *testing.T) {
	var ended atomic.Int32
	addr := serve(t, &Server{Handler: func(ctx context.Context, r *Request) (any, error) {
		<-ctx.Done()
		ended.Add(1)
		return "late", nil
	}})
	conn := dial(t, addr)
	io.WriteString(conn, "\x94\x00\x01\xa4wait\x90\x94\x00\x01\xa4wait\x90")
	if b, _ := io.ReadAll(conn); len(b) > 0 {
		t.Errorf("got response %q, want none to either request", b)
	}
}

// codedError is an error that is sent as a map with its code.
type codedError struct{ Code string }

func (e *codedError) Error() string   { return e.Code }
func (e *codedError) ErrorValue() any { return map[string]string{"code": e.Code} }

// Errors and panics of a handler, and results that can't be sent, are reported to the caller as
// RemoteError. A request over the limit and a result of an unexpected type are errors of the call.
func TestErrorsAndPanics(t *testing.T) {
	addr := serve(t, &Server{Limits: Limits{Message: 1000}, Handler: func(_ context.Context, r *Request) (any, error) {
		switch r.Method {
		case "coded":
			return nil, fmt.Errorf("wrapped: %w", &codedError{"no_such"})
		case "panic":
			panic("at the handler")
		case "large":
			return strings.Repeat("x", 2000), nil
		case "unsendable":
			return make(chan int), nil
		}
		return nil, errors.New("plain")
	}})
	c := dialClient(t, addr, Limits{})
	for method, want := range map[string]string{
		"coded": "map[code:no_such]", "panic": "internal error", "large": "over the limit",
		"unsendable": "unsupported", "other": "plain",
	} {
		err := c.Call(testContext(t), method, nil, nil)
		if _, ok := errors.AsType[*RemoteError](err); !ok || !strings.Contains(err.Error(), want) {
			t.Errorf("call of %s: got error %v, want a RemoteError with %q", method, err, want)
		}
	}
	err := c.Call(testContext(t), "echo", []any{strings.Repeat("x", 2<<20)}, nil)
	if callErr, ok := errors.AsType[*CallError](err); !ok || callErr.Sent != SentNone || !errors.Is(err, ErrTooLong) {
		t.Errorf("call over the limit: got error %v, want a CallError with ErrTooLong and %q", err, SentNone)
	}
	// A result of another type than the caller expects is an error of that call only.
	var n int
	if err := c.Call(testContext(t), "other", nil, &n); err == nil {
		t.Error("call whose result has another type than expected: got no error, want one")
	}
}

// A connection over Server.MaxConns is not served. A notification reaches the handler.
func TestConnLimitAndNotify(t *testing.T) {
	notified := make(chan string, 1)
	s := &Server{MaxConns: 1, Handler: func(_ context.Context, r *Request) (any, error) {
		if r.IsNotification {
			notified <- r.Method
		}
		return nil, nil
	}}
	addr := serve(t, s)
	c := dialClient(t, addr, Limits{})
	if err := c.Call(testContext(t), "m", nil, nil); err != nil {
		t.Fatal("Call:", err)
	}
	second := dialClient(t, addr, Limits{})
	if err := second.Call(testContext(t), "m", nil, nil); err == nil {
		t.Error("call on a connection over Server.MaxConns: got no error, want one")
	}
	if err := c.Notify("told", nil); err != nil {
		t.Fatal("Notify:", err)
	}
	if m := <-notified; m != "told" {
		t.Errorf("handler got notification %q, want %q", m, "told")
	}
}
