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
	// maxBufferedBody is the longest body of an answer that is buffered before it is forwarded.
	// A longer body is streamed, and so is a chunked one that has not ended after maxBufferTime.
	maxBufferedBody = 64 << 10
	maxBufferTime   = 100 * time.Millisecond
	// readSize is the size of the reads of a body that is streamed or of unknown length.
	readSize = 4 << 10
	// maxAnswer is the longest body that is forwarded. It also bounds an answer without an end.
	maxAnswer = 48 << 20
	// stallTimeout is how long an answer may pause while it is buffered, headTimeout the time
	// from the first byte of its head to the last. They fail the attempt of a stalled answer
	// while there is time left for a retry.
	stallTimeout = 600 * time.Millisecond
	headTimeout  = time.Second
	// maxInterimAnswers is how many 1xx responses may precede an answer.
	maxInterimAnswers = 16
)

// read waits for answers and for the end of the connection. It runs in a goroutine of its own until the
// connection is closed or can't be reused.
func (c *conn) read(p *Pool) {
	defer p.discard(c)
	for {
		err := c.input.Wait()
		p.mu.Lock()
		a := c.owner
		if a == nil { // closed while idle, or the server sent unsolicited bytes
			p.remove(c)
		}
		p.mu.Unlock()
		if a == nil || !a.hasStartedOn(c) {
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

// connBroken handles the end of a connection before any byte of an answer has arrived.
func (a *Attempt) connBroken() {
	a.mu.Lock()
	written := a.written
	a.readFailed = true
	a.mu.Unlock()
	a.pool.recordReuse(a, true)
	if written { // otherwise endWrite reports the outcome, which depends on how much was written
		a.done(martendrum.Reset)
	}
}

// receive reads one answer and reports it. It returns whether the connection can be reused.
//
// If the answer is malformed, too long, incomplete or of ambiguous length, the attempt has failed and may
// have been executed (outcome Reset), and its connection is closed. If a part of the answer has been
// forwarded already, the client's connection is reset.
func (a *Attempt) receive(c *conn) (reusable bool) {
	defer func() {
		if p := recover(); p != nil {
			slog.Error("panic while receiving an answer", "panic", p, "stack", string(debug.Stack()))
			a.done(martendrum.Reset)
			reusable = false
		}
	}()
	resp, answer, err := c.readAnswer(a.Request.Method)
	if err != nil {
		slog.Warn("invalid answer from a server", "server", a.Server, "err", err)
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
	// This is decided before the answer is reported. A connection on which a part of the answer is
	// unread must not be reused, or that part would be taken for the next answer.
	reusable = answer.Rest == nil && a.canReuse(c, resp)
	if resp.StatusCode == http.StatusOK {
		a.Sink.Done(martendrum.OK, answer, report)
	} else {
		a.Sink.Done(outcomeOf(resp), nil, report)
	}
	return reusable
}

// canReuse reports whether the connection can be reused after an answer that has been read to its end: no
// bytes follow the answer, the server keeps the connection open, and the request is written completely.
func (a *Attempt) canReuse(c *conn, resp *http.Response) bool {
	if c.input.Buffered() > 0 {
		a.pool.recordUnsolicited(c.server)
		return false
	}
	return !resp.Close && a.isWritten()
}

// outcomeOf returns the outcome of an attempt whose answer has a status other than 200.
func outcomeOf(resp *http.Response) martendrum.Outcome {
	unavailable := resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout
	if unavailable && resp.Header.Get(protocol.ServerRejected) == protocol.ServerRejectedValue {
		return martendrum.Rejected
	}
	return martendrum.ServerError
}

// answerRest reads the rest of a streamed answer.
type answerRest struct {
	conn     *conn
	from     io.Reader
	left     int64 // how many bytes may still be read
	complete bool  // the end of the answer has been read
}

// errTooLong reports a streamed answer of more than maxAnswer bytes.
var errTooLong = errors.New("upstream: answer exceeds the maximum length")

// Read implements io.Reader. It fails if the answer pauses for longer than streamTimeout.
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

// readAnswer reads the head of an answer and the part of its body that is buffered. It skips up to
// maxInterimAnswers interim answers.
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
	return nil, nil, errors.New("upstream: too many interim (1xx) answers")
}

// readHead waits for the head of an answer, checks it and parses it.
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
		return nil, fmt.Errorf("upstream: answer has protocol version %s, want HTTP/1.x", resp.Proto)
	case resp.StatusCode == http.StatusSwitchingProtocols:
		return nil, errors.New("upstream: server switched the protocol")
	}
	return resp, nil
}

// readBody reads the part of an answer's body that is buffered: all of it, or the beginning of a body that
// is streamed.
func (c *conn) readBody(resp *http.Response) (*Answer, error) {
	answer := &Answer{Header: resp.Header, Length: resp.ContentLength}
	switch {
	case resp.ContentLength > maxAnswer:
		return nil, fmt.Errorf("upstream: answer of %d bytes exceeds the maximum length", resp.ContentLength)
	case resp.ContentLength > maxBufferedBody:
		return answer, c.readFirst(resp, answer)
	case resp.ContentLength >= 0:
		return answer, c.readKnownLength(resp, answer)
	}
	return answer, c.readUnknownLength(resp, answer)
}

// readFirst reads the first bytes of a streamed body, so that a server that sends none fails while the
// request can still be retried.
func (c *conn) readFirst(resp *http.Response, answer *Answer) error {
	buf := make([]byte, readSize)
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

// readUnknownLength reads the buffered part of a body of unknown length.
func (c *conn) readUnknownLength(resp *http.Response, answer *Answer) error {
	// A body that is not chunked ends with its connection. A malformed answer can look like
	// such a body, so nothing of it is forwarded before it has ended or filled the buffer.
	endsWithConn := len(resp.TransferEncoding) == 0
	began := time.Now()
	for buf := make([]byte, readSize); ; {
		c.SetReadDeadline(time.Now().Add(stallTimeout))
		n, err := resp.Body.Read(buf)
		answer.Body = append(answer.Body, buf[:n]...)
		switch {
		case err == io.EOF && endsWithConn && len(answer.Body) == 0:
			return io.ErrUnexpectedEOF // indistinguishable from a broken connection
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
