package upstream

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"runtime/debug"
	"time"

	"martendrum"
	"martendrum/internal/framing"
	"martendrum/internal/protocol"
)

const (
	// maxBufferedBody is the longest body of an answer that is buffered before it is
	// forwarded. A longer one is streamed, and one of unknown length after
	// maxBufferTime.
	maxBufferedBody = 64 << 10
	maxBufferTime   = 100 * time.Millisecond
	// firstRead is how much is read at once of a body that is streamed or of unknown
	// length.
	firstRead = 4 << 10
	// maxAnswer is the longest answer forwarded. Guards against one without end.
	maxAnswer = 48 << 20
	// stallTimeout is how long an answer may pause while it is buffered, headTimeout how
	// long its head may take. Guards against answers that stop short: the time left can
	// still serve a retry. Its cost: a server that pauses in the middle of an answer is
	// given up.
	stallTimeout = 600 * time.Millisecond
	headTimeout  = time.Second
	// maxInterimAnswers is how many 1xx responses may precede an answer.
	maxInterimAnswers = 16
)

// read is a connection's goroutine: it waits for answers, and for the end.
func (c *conn) read(p *Pool) {
	defer p.discard(c)
	for {
		err := c.input.Wait()
		p.mu.Lock()
		a := c.owner
		if a == nil { // it ended while idle, or something unexpected arrived
			p.remove(c)
		}
		p.mu.Unlock()
		if a == nil || !a.hasBegunOn(c) {
			if err == nil {
				p.recordUnsolicited(c.server)
			}
			return
		}
		if err != nil {
			a.connBroken()
			return
		}
		if !a.receive(c) || !p.release(c) {
			return
		}
	}
}

// connBroken takes a connection's end before any byte of an answer.
func (a *Attempt) connBroken() {
	a.mu.Lock()
	written := a.written
	a.readFailed = true
	a.mu.Unlock()
	a.pool.recordReuse(a, true)
	if written { // otherwise the writer knows best how far it came
		a.done(martendrum.Reset)
	}
}

// receive reads one answer and reports it; it returns whether the connection can go on.
// Whatever is not an answer of the protocol's form, complete and of a certain length, is
// a failed attempt that may have run, and its connection is closed. Guards against
// corrupted answers of any kind: noise, heads without end, two lengths, more than may be
// forwarded, a break in the middle. What has been forwarded by then can't be taken back:
// the client's connection is reset.
func (a *Attempt) receive(c *conn) (goesOn bool) {
	defer func() {
		if p := recover(); p != nil {
			slog.Error("panic in an answer", "panic", p, "stack", string(debug.Stack()))
			a.done(martendrum.Reset)
			goesOn = false
		}
	}()
	resp, answer, err := c.readAnswer(a.Request.Method)
	if err != nil {
		slog.Warn("bad answer", "server", a.Server, "err", err)
		a.done(martendrum.Reset)
		return false
	}
	a.pool.recordReuse(a, false)
	report := ParseLoad(resp.Header.Get(protocol.ServerLoad))
	if resp.StatusCode == http.StatusOK && answer.Rest != nil {
		rest := &answerRest{conn: c, from: answer.Rest, left: maxAnswer}
		answer.Rest = rest
		a.Sink.Done(martendrum.OK, answer, report)
		return rest.complete && a.canReuse(c, resp)
	}
	// The next request must find nothing of this answer on the connection.
	goesOn = answer.Rest == nil && a.canReuse(c, resp)
	if resp.StatusCode == http.StatusOK {
		a.Sink.Done(martendrum.OK, answer, report)
	} else {
		a.Sink.Done(outcomeOf(resp), nil, report)
	}
	return goesOn
}

// canReuse reports whether the connection can go on after an answer that has been read
// to its end.
func (a *Attempt) canReuse(c *conn, resp *http.Response) bool {
	if c.input.Buffered() > 0 {
		a.pool.recordUnsolicited(c.server)
		return false
	}
	return !resp.Close && a.isWritten()
}

// outcomeOf returns the outcome of an attempt answered with another status than 200.
func outcomeOf(resp *http.Response) martendrum.Outcome {
	unavailable := resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout
	if unavailable && resp.Header.Get(protocol.ServerRejected) == protocol.ServerRejectedValue {
		return martendrum.Rejected
	}
	return martendrum.ServerError
}

// answerRest is the rest of a streamed answer.
type answerRest struct {
	conn     *conn
	from     io.Reader
	left     int64 // bytes that may still come
	complete bool  // its end has been read
}

// errTooLong ends an answer that is longer than maxAnswer.
var errTooLong = errors.New("upstream: an answer of too many bytes")

// Read implements io.Reader.
func (r *answerRest) Read(p []byte) (n int, err error) {
	r.conn.SetReadDeadline(time.Now().Add(streamTimeout))
	n, err = r.from.Read(p)
	if r.left -= int64(n); r.left < 0 {
		return 0, errTooLong
	}
	if err != nil {
		r.complete = err == io.EOF
		r.conn.SetReadDeadline(time.Time{})
	}
	return n, err
}

// readAnswer reads an answer, as far as it is buffered, and skips interim ones.
func (c *conn) readAnswer(method string) (*http.Response, *Answer, error) {
	for range maxInterimAnswers {
		resp, err := c.readHead(method)
		if err != nil {
			return nil, nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			answer, err := c.readBody(resp)
			c.SetReadDeadline(time.Time{})
			return resp, answer, err
		}
		c.SetReadDeadline(time.Time{})
	}
	return nil, nil, errors.New("upstream: too many interim answers")
}

// readHead waits for the head of an answer and reads it.
func (c *conn) readHead(method string) (*http.Response, error) {
	if err := c.input.Wait(); err != nil {
		return nil, err
	}
	c.SetReadDeadline(time.Now().Add(headTimeout))
	head, err := framing.Await(c.input.Reader())
	if err != nil {
		return nil, err
	}
	if err := framing.Check(head); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(c.input.Reader(), &http.Request{Method: method})
	switch {
	case err != nil:
		return nil, err
	case resp.ProtoMajor != 1:
		return nil, fmt.Errorf("upstream: an answer of %s", resp.Proto)
	case resp.StatusCode == http.StatusSwitchingProtocols:
		return nil, errors.New("upstream: protocol switched")
	}
	return resp, nil
}

// readBody reads an answer's body as far as it is buffered: completely, or the first
// bytes of one that is longer or takes longer than that.
func (c *conn) readBody(resp *http.Response) (*Answer, error) {
	answer := &Answer{Header: resp.Header, Length: resp.ContentLength}
	switch {
	case resp.ContentLength > maxAnswer:
		return nil, fmt.Errorf("upstream: an answer of %d bytes", resp.ContentLength)
	case resp.ContentLength > maxBufferedBody:
		return answer, c.readFirst(resp, answer)
	case resp.ContentLength >= 0:
		return answer, c.readKnownLength(resp, answer)
	}
	return answer, c.readUnknownLength(resp, answer)
}

// readFirst reads the first bytes of a body that is streamed: they show that there is one.
func (c *conn) readFirst(resp *http.Response, answer *Answer) error {
	buf := make([]byte, firstRead)
	c.SetReadDeadline(time.Now().Add(stallTimeout))
	n, err := resp.Body.Read(buf)
	if err != nil {
		return err
	}
	answer.Body, answer.Rest = buf[:n], resp.Body
	return nil
}

// readKnownLength reads a complete body of known length.
func (c *conn) readKnownLength(resp *http.Response, answer *Answer) error {
	answer.Body = make([]byte, resp.ContentLength)
	for n := 0; n < len(answer.Body); {
		c.SetReadDeadline(time.Now().Add(stallTimeout))
		m, err := resp.Body.Read(answer.Body[n:])
		if n += m; err != nil && n < len(answer.Body) {
			return io.ErrUnexpectedEOF
		}
	}
	return nil
}

// readUnknownLength reads a body of unknown length, as far as it is buffered.
func (c *conn) readUnknownLength(resp *http.Response, answer *Answer) error {
	// One that is not chunked ends with its connection. Noise can look like it, but does
	// not end: so it must end, or be long, before any of it is forwarded.
	endsWithConn := len(resp.TransferEncoding) == 0
	began := time.Now()
	for buf := make([]byte, firstRead); ; {
		c.SetReadDeadline(time.Now().Add(stallTimeout))
		n, err := resp.Body.Read(buf)
		answer.Body = append(answer.Body, buf[:n]...)
		switch {
		case err == io.EOF && endsWithConn && len(answer.Body) == 0:
			return io.ErrUnexpectedEOF // rather a break than an answer
		case err == io.EOF:
			answer.Length = int64(len(answer.Body))
			return nil
		case err != nil:
			return err
		case len(answer.Body) > maxBufferedBody-len(buf), !endsWithConn && len(answer.Body) > 0 && time.Since(began) > maxBufferTime:
			answer.Rest = resp.Body
			return nil
		}
	}
}
