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
	// A longer body is streamed, and one of unknown length is streamed after maxBufferTime.
	maxBufferedBody = 64 << 10
	maxBufferTime   = 100 * time.Millisecond
	// firstRead is the buffer size for a body that is streamed or of unknown length.
	firstRead = 4 << 10
	// maxAnswer is the longest answer that is forwarded; it bounds endless answers.
	maxAnswer = 48 << 20
	// stallTimeout is how long an answer may pause while it is buffered, headTimeout how long
	// its head may take from its first byte. They end a stalled answer while there is time left
	// for a retry.
	stallTimeout = 600 * time.Millisecond
	headTimeout  = time.Second
	// maxInterimAnswers is how many 1xx responses may precede an answer.
	maxInterimAnswers = 16
)

// read is a connection's goroutine: it waits for answers and for the end of the connection.
func (c *conn) read(p *Pool) {
	defer p.discard(c)
	for {
		err := c.input.Wait()
		p.mu.Lock()
		a := c.owner
		if a == nil { // closed while idle, or unsolicited bytes
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

// connBroken handles the end of a connection before any byte of an answer.
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
// An answer that is malformed, too long, incomplete or of ambiguous length is a failed attempt
// that may have been executed, and its connection is closed. If a part of it has been forwarded
// already, the client's connection is reset.
func (a *Attempt) receive(c *conn) (reusable bool) {
	defer func() {
		if p := recover(); p != nil {
			slog.Error("panic in an answer", "panic", p, "stack", string(debug.Stack()))
			a.done(martendrum.Reset)
			reusable = false
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
	// Decided before the answer is reported: no byte of it may remain for the next request.
	reusable = answer.Rest == nil && a.canReuse(c, resp)
	if resp.StatusCode == http.StatusOK {
		a.Sink.Done(martendrum.OK, answer, report)
	} else {
		a.Sink.Done(outcomeOf(resp), nil, report)
	}
	return reusable
}

// canReuse reports whether the connection can be reused after an answer that has been read to its
// end.
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
	left     int64 // bytes that may still be read
	complete bool  // its end has been read
}

// errTooLong reports an answer of more than maxAnswer bytes.
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

// readAnswer reads an answer as far as it is buffered, and skips interim answers.
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

// readBody reads an answer's body as far as it is buffered: completely, or its first bytes if it
// is streamed.
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

// readFirst reads the first bytes of a streamed body, which show that the server sends one.
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
	// A body that is not chunked ends with its connection. A malformed answer can look like
	// one, so nothing of it is forwarded before it has ended or filled the buffer.
	endsWithConn := len(resp.TransferEncoding) == 0
	began := time.Now()
	for buf := make([]byte, firstRead); ; {
		c.SetReadDeadline(time.Now().Add(stallTimeout))
		n, err := resp.Body.Read(buf)
		answer.Body = append(answer.Body, buf[:n]...)
		switch {
		case err == io.EOF && endsWithConn && len(answer.Body) == 0:
			return io.ErrUnexpectedEOF // taken as a broken connection
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
