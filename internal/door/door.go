// Package door is the operators' door of a sidecar: GET /api/ready and
// GET /api/telemetry over HTTP/1.1, one call a connection, on a listener apart
// from the clients'.
//
// It owns its callers' connections: CallersMost of them at once, each for lifeMost.
// A caller too many closes the one that has been connected for longest, so that those
// that only connect can't keep the others out. It takes no lock of the data path
// itself; what the figures take, their owners say. It decides nothing about requests.
//
// It reads calls as the front reads requests (framing, then net/http's parser) and not
// with net/http's server: that one alone cost a sidecar at rest 1.2 MB.
package door

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync"
	"time"

	"martendrum/internal/framing"
)

const (
	// CallersMost is how many callers the door holds at once: descriptors kept out of
	// what clients and servers may use, beside one for its listener.
	CallersMost = 12
	// Sockets is how many descriptors the door takes at most: callers, the listener,
	// and one accepted before another is closed.
	Sockets = CallersMost + 2

	// A call must be whole within headMost of its connection, and its answer taken
	// within lifeMost.
	headMost = 5 * time.Second
	lifeMost = 6 * time.Second
	// What a caller still sends is read off for so long, so that it sees its answer.
	lingerMost  = 200 * time.Millisecond
	lingerBytes = 256 << 10
)

// Door serves operators' calls.
type Door struct {
	ready func() bool
	write func(io.Writer)

	mu     sync.Mutex
	ln     net.Listener
	open   map[net.Conn]time.Time // when accepted
	closed bool
	wait   sync.WaitGroup
}

// New returns a door that answers ready from ready and telemetry from write.
func New(ready func() bool, write func(io.Writer)) *Door {
	return &Door{ready: ready, write: write, open: make(map[net.Conn]time.Time)}
}

// Serve answers calls on ln until Close.
func (d *Door) Serve(ln net.Listener) {
	d.mu.Lock()
	d.ln = ln
	closed := d.closed
	d.mu.Unlock()
	if closed {
		ln.Close()
	}
	for {
		c, err := ln.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil: // out of descriptors or the like: it passes
			slog.Warn("the operators' door can't accept", "err", err)
			time.Sleep(20 * time.Millisecond)
		case d.add(c):
			go d.serve(c)
		}
	}
}

// add takes a caller in, and closes the longest-connected one where there are too many.
func (d *Door) add(c net.Conn) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		c.Close()
		return false
	}
	if len(d.open) >= CallersMost {
		var oldest net.Conn
		for o, at := range d.open {
			if oldest == nil || at.Before(d.open[oldest]) {
				oldest = o
			}
		}
		oldest.Close()
		delete(d.open, oldest)
	}
	d.open[c] = time.Now()
	d.wait.Add(1)
	return true
}

func (d *Door) serve(c net.Conn) {
	defer d.wait.Done()
	defer func() {
		if p := recover(); p != nil {
			slog.Error("panic at the operators' door", "panic", p, "stack", string(debug.Stack()))
		}
		c.Close()
		d.mu.Lock()
		delete(d.open, c)
		d.mu.Unlock()
	}()
	c.SetReadDeadline(time.Now().Add(headMost))
	status, body := d.call(c)
	if status == 0 { // no whole call came
		return
	}
	answer := fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: text/plain; version=0.0.4; charset=utf-8\r\nContent-Length: %d\r\nConnection: close\r\n",
		status, http.StatusText(status), len(body))
	if status == http.StatusMethodNotAllowed {
		answer = append(answer, "Allow: GET\r\n"...)
	}
	c.SetWriteDeadline(time.Now().Add(lifeMost))
	if _, err := c.Write(append(append(answer, "\r\n"...), body...)); err != nil {
		return
	}
	if tc, ok := c.(*net.TCPConn); ok {
		tc.CloseWrite()
	}
	c.SetReadDeadline(time.Now().Add(lingerMost))
	io.Copy(io.Discard, io.LimitReader(c, lingerBytes))
}

// call reads a call and says how to answer it; 0 where there is nobody to answer.
func (d *Door) call(c net.Conn) (status int, body []byte) {
	br := bufio.NewReaderSize(c, framing.HeadMost)
	head, err := framing.Await(br)
	if err == nil {
		err = framing.Check(head)
	}
	var r *http.Request
	if err == nil {
		r, err = http.ReadRequest(br)
	}
	switch {
	case errors.Is(err, framing.ErrLong):
		return http.StatusRequestHeaderFieldsTooLarge, []byte("the call's head is too long\n")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout, []byte("no whole call came\n")
	case errors.Is(err, io.EOF), errors.Is(err, net.ErrClosed):
		return 0, nil
	case err != nil:
		return http.StatusBadRequest, []byte("no call of HTTP/1.1\n")
	}
	path := r.URL.Path
	if path != "/api/ready" && path != "/api/telemetry" {
		return http.StatusNotFound, []byte("no such call; there are GET /api/ready and GET /api/telemetry\n")
	}
	switch {
	case r.Method != http.MethodGet:
		return http.StatusMethodNotAllowed, []byte(path + " takes GET only\n")
	case path == "/api/telemetry":
		var text bytes.Buffer
		d.write(&text)
		return http.StatusOK, text.Bytes()
	case d.ready():
		return http.StatusOK, []byte("yes\n")
	}
	return http.StatusServiceUnavailable, []byte("no: this process takes no clients\n")
}

// Close ends the door and its calls.
func (d *Door) Close() {
	d.mu.Lock()
	d.closed = true
	if d.ln != nil {
		d.ln.Close()
	}
	for c := range d.open {
		c.Close()
	}
	d.mu.Unlock()
	d.wait.Wait()
}
