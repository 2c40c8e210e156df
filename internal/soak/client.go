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
	// clientPatience is how long beyond a request's time a client stays for its answer: past
	// what the rules call too late.
	clientPatience = maxOverdue + 400*time.Millisecond
	// dialTimeout is how long a client's connection may take.
	dialTimeout = time.Second
	// dialBackoff is the wait between two attempts to connect.
	dialBackoff = 10 * time.Millisecond
	// slowPieces is in how many pieces a slow client writes a request, pieceDelay how long
	// it waits between them.
	slowPieces = 4
	pieceDelay = 60 * time.Millisecond
)

// client sends requests to one sidecar, one at a time, for as long as the day lasts.
type client struct {
	*rand.Rand
	name     string
	sidecar  int
	address  string
	script   *Script
	recorder *recorder
	slow     bool

	conn    net.Conn // nil: none is open
	dialed  time.Duration
	reader  *bufio.Reader
	used    int // requests on conn
	request int
}

// run sends requests until the context ends.
func (c *client) run(ctx context.Context) {
	defer c.hangUp()
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

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (c *client) dial() bool {
	dialed := c.recorder.now()
	conn, err := net.DialTimeout("tcp", c.address, dialTimeout)
	if err != nil {
		return false
	}
	c.dialed, c.conn, c.reader, c.used = dialed, conn, bufio.NewReader(conn), 0
	return true
}

func (c *client) hangUp() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// send sends one request, waits for its end and records it.
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
	if !c.write(c.text(&r, class)) {
		c.hangUp()
		return // it never was a request
	}
	r.Sent = c.recorder.now()
	atEnd := context.AfterFunc(ctx, func() { conn.SetReadDeadline(time.Unix(1, 0)) })
	c.await(&r, disconnect)
	if !atEnd() && (r.End == EndNothing || r.End == EndTruncated) {
		r.End = EndLeft // the day is over
	}
	r.Finished = c.recorder.now()
	c.recorder.do(func(record *Record) { record.Requests = append(record.Requests, r) })
}

// text is a request as it is written.
func (c *client) text(r *Request, class *Class) string {
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

// write writes a request, a slow client in pieces.
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

// await waits for a request's answer; disconnect is after which its client disconnects, 0: it
// stays.
func (c *client) await(r *Request, disconnect time.Duration) {
	patience := r.Wait + clientPatience
	if disconnect > 0 {
		patience = disconnect
	}
	c.conn.SetReadDeadline(time.Now().Add(patience))
	if _, err := c.reader.Peek(1); err != nil {
		c.hangUp()
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
	c.conn.SetReadDeadline(time.Now().Add(r.Wait + clientPatience))
	response, err := http.ReadResponse(c.reader, nil)
	var body []byte
	if err == nil {
		r.Status = response.StatusCode
		body, err = io.ReadAll(response.Body)
	}
	if err != nil { // cut short, or begun and never ended
		r.End, r.Status = EndTruncated, 0
		c.hangUp()
		return
	}
	r.End, r.Body = EndAnswered, string(body)
	if response.Close {
		c.hangUp()
	}
}

// stall is a client that stops in the middle of a request, and stays until it is ended.
func stall(ctx context.Context, sidecar int, address string, random *rand.Rand, recorder *recorder) {
	const request = "POST /pay HTTP/1.1\r\nHost: a\r\nReq-Id: half\r\nContent-Length: 4\r\n\r\nca"
	for ctx.Err() == nil {
		conn, err := net.DialTimeout("tcp", address, dialTimeout)
		if err != nil {
			sleep(ctx, dialBackoff)
			continue
		}
		_, err = io.WriteString(conn, request[:1+random.IntN(len(request)-1)])
		s := Stall{Sidecar: sidecar, Stopped: recorder.now()}
		if err == nil {
			stop := context.AfterFunc(ctx, func() { conn.SetReadDeadline(time.Now()) })
			_, err = conn.Read(make([]byte, 1))
			stop()
		}
		conn.Close()
		if ctx.Err() == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			s.Finished = recorder.now()
		}
		recorder.do(func(record *Record) { record.Stalls = append(record.Stalls, s) })
		sleep(ctx, time.Duration(random.IntN(500))*time.Millisecond)
	}
}

// holdIdleConnections keeps idle connections to a sidecar open, and replaces closed ones.
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

// panicsIn counts the panics in a log.
func panicsIn(log string) int {
	return strings.Count(log, "msg=\"panic ") + strings.Count(log, "\npanic: ") + strings.Count(log, "fatal error: ")
}
