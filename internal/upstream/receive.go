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
	// A longer body is streamed, and so is a chunked one of which more arrives after maxBufferTime.
	maxBufferedBody = 64 << 10
	maxBufferTime   = 100 * time.Millisecond
	// readSize is the size of the reads of a body that is streamed or of unknown length.
	readSize = 4 << 10
	// maxAnswer is the longest body that is forwarded. It also bounds an answer without an end.
	maxAnswer = 48 << 20
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
		c.answering, c.streaming = a, false
		reusable := a.receive(c)
		c.answering = nil
		c.clearReadDeadline()
		if !reusable || !p.release(c) {
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
	resp, answer, err := c.readAnswer(a)
	if err != nil {
		if !a.isClosed() { // otherwise this process closed the connection, which its owner logs
			slog.Warn("invalid answer from a server", "server", a.Server, "id", a.Request.ID, "err", err)
		}
		a.done(martendrum.Reset)
		return false
	}
	a.pool.recordReuse(a, false)
	if answer == nil { // it has been forwarded and reported already
		return false
	}
	report := ParseLoad(resp.Header.Get(protocol.ServerLoad))
	if resp.StatusCode == http.StatusOK && answer.Rest != nil {
		c.streaming = true
		rest := &answerRest{from: answer.Rest, left: maxAnswer}
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

// answerRest reads the rest of a streamed answer. It fails if the answer pauses for longer than
// streamTimeout.
type answerRest struct {
	from     io.Reader
	left     int64 // how many bytes may still be read
	complete bool  // the end of the answer has been read
}

// errTooLong reports a streamed answer of more than maxAnswer bytes.
var errTooLong = errors.New("upstream: answer exceeds the maximum length")

// Read implements io.Reader.
func (r *answerRest) Read(p []byte) (n int, err error) {
	n, err = r.from.Read(p)
	if r.left -= int64(n); r.left < 0 {
		return 0, errTooLong
	}
	r.complete = err == io.EOF
	return n, err
}

// readAnswer reads the head of an answer and the part of its body that is buffered. It skips up to
// maxInterimAnswers interim answers. The Answer is nil if it has been forwarded already.
func (c *conn) readAnswer(a *Attempt) (*http.Response, *Answer, error) {
	for range maxInterimAnswers {
		resp, err := c.readHead(a.Request.Method)
		if err != nil {
			return nil, nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			answer, err := c.readBody(a, resp)
			return resp, answer, err
		}
		c.clearReadDeadline()
	}
	return nil, nil, errors.New("upstream: too many interim (1xx) answers")
}

// readHead waits for the head of an answer, checks it and parses it.
func (c *conn) readHead(method string) (*http.Response, error) {
	if err := c.input.Wait(); err != nil {
		return nil, err
	}
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
func (c *conn) readBody(a *Attempt, resp *http.Response) (*Answer, error) {
	answer := &Answer{Header: resp.Header, Length: resp.ContentLength}
	switch {
	case resp.ContentLength > maxAnswer:
		return nil, fmt.Errorf("upstream: answer of %d bytes exceeds the maximum length", resp.ContentLength)
	case resp.ContentLength > maxBufferedBody:
		return answer, readFirst(resp, answer)
	case resp.ContentLength >= 0:
		return answer, readKnownLength(resp, answer)
	}
	return a.readUnknownLength(c, resp, answer)
}

// readFirst reads the first bytes of a streamed body, so that a server that sends none fails while the
// request can still be retried.
func readFirst(resp *http.Response, answer *Answer) error {
	buf := make([]byte, readSize)
	n, err := resp.Body.Read(buf)
	if err != nil {
		return err
	}
	answer.Body, answer.Rest = buf[:n], resp.Body
	return nil
}

// readKnownLength reads a complete body of known length.
func readKnownLength(resp *http.Response, answer *Answer) error {
	answer.Body = make([]byte, resp.ContentLength)
	for n := 0; n < len(answer.Body); {
		m, err := resp.Body.Read(answer.Body[n:])
		if n += m; err != nil && n < len(answer.Body) {
			return io.ErrUnexpectedEOF
		}
	}
	return nil
}
