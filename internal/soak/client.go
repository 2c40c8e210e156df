package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"time"
)

const (
	// answerGrace is how long after a request's deadline a client still waits for the answer. It is
	// longer than maxOverdue, so that the client can record an answer that is too late.
	answerGrace = maxOverdue + 400*time.Millisecond
	// dialTimeout bounds how long a client waits for a connection.
	dialTimeout = time.Second
	// dialBackoff is the pause between two attempts to connect.
	dialBackoff = 10 * time.Millisecond
	// slowPieces is the number of pieces in which a slow client writes a request, pieceDelay the
	// pause between them.
	slowPieces = 4
	pieceDelay = 60 * time.Millisecond
)

// client sends requests to one sidecar, one at a time, until the end of the run.
type client struct {
	*rand.Rand
	name     string
	sidecar  int    // number of the sidecar
	address  string // of the sidecar
	script   *Script
	recorder *recorder
	slow     bool // writes each request in pieces

	conn    net.Conn      // nil: no connection is open
	dialed  time.Duration // when conn was dialed
	reader  *bufio.Reader
	used    int // number of requests on conn
	request int // number of requests on all connections
}

// run sends requests until the context ends.
func (c *client) run(ctx context.Context) {
	defer c.closeConn()
	sleep(ctx, time.Duration(c.script.QuietUntil))
	for ctx.Err() == nil {
		if c.conn == nil && !c.dial() {
			sleep(ctx, dialBackoff)
			continue
		}
		c.send(ctx)
		if c.Float64() < 0.8 {
			sleep(ctx, time.Duration(c.ExpFloat64()*float64(c.script.ThinkTime)))
		}
	}
}

// sleep returns after a duration, or earlier if the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// dial opens a connection to the sidecar, and returns false if that fails.
func (c *client) dial() bool {
	dialed := c.recorder.now()
	conn, err := net.DialTimeout("tcp", c.address, dialTimeout)
	if err != nil {
		return false
	}
	c.dialed, c.conn, c.reader, c.used = dialed, conn, bufio.NewReader(conn), 0
	return true
}

// closeConn closes the connection, if one is open.
func (c *client) closeConn() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// send sends one request, waits for its answer and records how it ended.
func (c *client) send(ctx context.Context) {
	conn := c.conn
	class := &c.script.Classes[c.IntN(len(c.script.Classes))]
	c.request++
	r := Request{ID: fmt.Sprintf("%s-%d", c.name, c.request), Sidecar: c.sidecar, Class: class.Name, Dialed: c.dialed, FirstOn: c.used == 0}
	r.Wait = time.Duration(class.Deadline).Truncate(time.Millisecond)
	if c.Float64() < c.script.ShortDeadlineRate {
		r.Wait = max(min(r.Wait, time.Duration(c.script.ShortDeadline)).Truncate(time.Millisecond), time.Millisecond)
	}
	if class.Idempotency == IdempotencyKeyed {
		r.Key = "key-" + r.ID
	}
	c.used++
	disconnect := time.Duration(0)
	if c.Float64() < c.script.DisconnectRate {
		disconnect = time.Duration(c.Float64() * float64(r.Wait) * 0.8)
	}
	if !c.write(c.requestText(&r, class)) {
		c.closeConn()
		return // not recorded: the sidecar never got the complete request
	}
	r.Sent = c.recorder.now()
	stop := context.AfterFunc(ctx, func() { conn.SetReadDeadline(time.Unix(1, 0)) })
	c.awaitAnswer(&r, disconnect)
	if !stop() && (r.End == EndNothing || r.End == EndTruncated) {
		r.End = EndLeft // the run has ended
	}
	r.Finished = c.recorder.now()
	c.recorder.do(func(record *Record) { record.Requests = append(record.Requests, r) })
}

// requestText returns the text of a request, with a body of random length unless it is a GET.
func (c *client) requestText(r *Request, class *Class) string {
	length := 4
	if c.script.MaxBody > 4 {
		length += c.IntN(c.script.MaxBody - 4)
	}
	method, extra := http.MethodPost, fmt.Sprintf("Content-Length: %d\r\n\r\ncard%s", length, strings.Repeat("x", length-4))
	switch class.Idempotency {
	case Idempotent:
		method, extra = http.MethodGet, "\r\n"
	case IdempotencyKeyed:
		extra = "Idempotency-Key: " + r.Key + "\r\n" + extra
	}
	return fmt.Sprintf("%s /%s HTTP/1.1\r\nHost: a\r\nReq-Id: %s\r\nReq-Kind: %s\r\nReq-Deadline-Ms: %d\r\n%s",
		method, class.Name, r.ID, class.Name, r.Wait.Milliseconds(), extra)
}

// write writes a request, in pieces if the client is slow. It returns false if the connection
// breaks.
func (c *client) write(text string) bool {
	if c.slow {
		piece := len(text)/slowPieces + 1
		for len(text) > piece {
			if _, err := io.WriteString(c.conn, text[:piece]); err != nil {
				return false
			}
			text = text[piece:]
			time.Sleep(pieceDelay)
		}
	}
	_, err := io.WriteString(c.conn, text)
	return err == nil
}

// awaitAnswer waits for the answer to a request and sets the fields of r that describe its end. The
// client closes the connection if no byte has arrived after disconnect; 0 means that it waits until
// answerGrace after the deadline.
func (c *client) awaitAnswer(r *Request, disconnect time.Duration) {
	timeout := r.Wait + answerGrace
	if disconnect > 0 {
		timeout = disconnect
	}
	c.conn.SetReadDeadline(time.Now().Add(timeout))
	if _, err := c.reader.Peek(1); err != nil {
		c.closeConn()
		switch {
		case !errors.Is(err, os.ErrDeadlineExceeded):
			r.End = EndClosed
		case disconnect > 0:
			r.End = EndLeft
		default:
			r.End = EndNothing
		}
		return
	}
	c.conn.SetReadDeadline(time.Now().Add(r.Wait + answerGrace))
	response, err := http.ReadResponse(c.reader, nil)
	var body []byte
	if err == nil {
		r.Status = response.StatusCode
		body, err = io.ReadAll(response.Body)
	}
	if err != nil { // the answer was truncated or did not end in time
		r.End, r.Status = EndTruncated, 0
		c.closeConn()
		return
	}
	r.End, r.Body = EndAnswered, string(body)
	if response.Close {
		c.closeConn()
	}
}

// runStallingClient runs a client that sends a part of a request and then waits, without closing
// its connection, until the sidecar answers with an error or closes the connection. It repeats this
// until the context ends, and records each of these connections.
func runStallingClient(ctx context.Context, sidecar int, address string, random *rand.Rand, recorder *recorder) {
	const request = "POST /pay HTTP/1.1\r\nHost: a\r\nReq-Id: half\r\nContent-Length: 4\r\n\r\nca"
	for ctx.Err() == nil {
		conn, err := net.DialTimeout("tcp", address, dialTimeout)
		if err != nil {
			sleep(ctx, dialBackoff)
			continue
		}
		_, err = io.WriteString(conn, request[:1+random.IntN(len(request)-1)])
		stalled := Stall{Sidecar: sidecar, Stopped: recorder.now()}
		if err == nil {
			stop := context.AfterFunc(ctx, func() { conn.SetReadDeadline(time.Now()) })
			_, err = conn.Read(make([]byte, 1))
			stop()
		}
		conn.Close()
		if ctx.Err() == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			stalled.Finished = recorder.now()
		}
		recorder.do(func(record *Record) { record.Stalls = append(record.Stalls, stalled) })
		sleep(ctx, time.Duration(random.IntN(500))*time.Millisecond)
	}
}

// holdIdleConnections opens connections to a sidecar without sending anything. Once it holds size
// connections, it closes the oldest before it opens another.
func holdIdleConnections(ctx context.Context, address string, size int) {
	conns := make([]net.Conn, 0, size)
	defer func() {
		for _, conn := range conns {
			conn.Close()
		}
	}()
	for ctx.Err() == nil {
		if len(conns) == size {
			conns[0].Close()
			conns = conns[1:]
		}
		if conn, err := net.DialTimeout("tcp", address, dialTimeout); err == nil {
			conns = append(conns, conn)
		}
		sleep(ctx, dialBackoff)
	}
}

// panicsIn returns the number of panics in a sidecar's log, including those that the sidecar
// recovered and logged.
func panicsIn(log string) int {
	return strings.Count(log, "msg=\"panic ") + strings.Count(log, "\npanic: ") + strings.Count(log, "fatal error: ")
}
