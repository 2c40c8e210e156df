package upstream

import (
	"io"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"martendrum"
	"martendrum/internal/protocol"
)

// minForwarded is the least number of bytes of an answer of unknown length that ForwardPartial
// forwards. A shorter answer would have no worth so close to its deadline.
const minForwarded = 4 << 10

// partialAnswer is an answer of unknown length that is being buffered. The connection's reader adds to
// it. If it is forwarded before it has ended, the reader passes the rest through a pipe.
type partialAnswer struct {
	endsWithConn bool // the answer ends with its connection
	began        time.Time

	mu     sync.Mutex
	answer *Answer
	rest   *io.PipeWriter // set once the answer is being forwarded
	ended  bool           // the reader has taken the answer, which can't be forwarded any more
}

// add appends a piece of the body, read with readErr. It returns true if the reader is done: the answer
// has ended, failed with the returned error, filled the buffer, is a chunked one of which more has arrived
// after maxBufferTime, or is being forwarded, in which case the piece is not appended.
func (p *partialAnswer) add(piece []byte, readErr error) (done bool, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.rest != nil {
		return true, nil
	}
	p.answer.Body = append(p.answer.Body, piece...)
	received := len(p.answer.Body)
	// A malformed answer can look like a body that ends with its connection, so nothing of such a
	// body is forwarded before it has ended, filled the buffer or reached its request's deadline.
	switch {
	case readErr == io.EOF && p.endsWithConn && received == 0:
		err = io.ErrUnexpectedEOF // indistinguishable from a broken connection
	case readErr == io.EOF:
		p.answer.Length = int64(received)
	case readErr != nil:
		err = readErr
	case received <= maxBufferedBody-readSize && (p.endsWithConn || received == 0 || time.Since(p.began) <= maxBufferTime):
		return false, nil
	default:
		p.answer.Length = -1 // the rest is streamed
	}
	p.ended = true
	return true, err
}

// forward begins to forward the answer unless it has ended or fewer than minForwarded bytes have
// arrived. It returns a copy of the answer whose rest is still arriving, and the reader of the rest, or nil.
func (p *partialAnswer) forward() (*Answer, *io.PipeReader) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended || p.rest != nil || len(p.answer.Body) < minForwarded {
		return nil, nil
	}
	reader, writer := io.Pipe()
	p.rest = writer
	forwarded := *p.answer
	forwarded.Rest = &answerRest{from: reader, left: maxAnswer}
	return &forwarded, reader
}

// forwardedRest returns the pipe for the rest of the body, nil unless the answer is being forwarded.
func (p *partialAnswer) forwardedRest() *io.PipeWriter {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rest
}

// ForwardPartial makes the attempt forward what has arrived of an answer of unknown length that is still
// buffered, and the rest as it arrives. Its owner calls it shortly before the deadline: a long answer
// has to begin by then. It does not block, and does nothing if there is no such answer.
func (a *Attempt) ForwardPartial() {
	a.mu.Lock()
	partial, c := a.partial, a.conn
	a.mu.Unlock()
	if partial == nil {
		return
	}
	answer, reader := partial.forward()
	if answer == nil {
		return
	}
	slog.Info("answer forwarded before it has ended", "server", a.Server, "id", a.Request.ID, "bytes", len(answer.Body))
	go func() {
		defer a.recoverPanic()
		defer c.Close() // ends the reader; a connection whose answer was slow is not reused
		defer reader.Close()
		a.Sink.Done(martendrum.OK, answer, ParseLoad(answer.Header.Get(protocol.ServerLoad)))
	}()
}

// readUnknownLength reads the buffered part of a body of unknown length. The Answer is nil if
// ForwardPartial has forwarded it.
func (a *Attempt) readUnknownLength(c *conn, resp *http.Response, answer *Answer) (*Answer, error) {
	partial := &partialAnswer{answer: answer, endsWithConn: len(resp.TransferEncoding) == 0, began: time.Now()}
	if resp.StatusCode == http.StatusOK {
		a.setPartial(partial)
		defer a.setPartial(nil)
	}
	for buf := make([]byte, readSize); ; {
		n, readErr := resp.Body.Read(buf)
		done, err := partial.add(buf[:n], readErr)
		if !done {
			continue
		}
		if rest := partial.forwardedRest(); rest != nil {
			c.streaming = true
			return nil, passRest(resp.Body, rest, buf, n, readErr)
		}
		if readErr == nil {
			answer.Rest = resp.Body
		}
		return answer, err
	}
}

// passRest writes to rest the n bytes of buf, which have been read with readErr, and then what body still
// has. It returns the error that ended the answer early, nil if it has ended.
func passRest(body io.Reader, rest *io.PipeWriter, buf []byte, n int, readErr error) error {
	for {
		if _, err := rest.Write(buf[:n]); err != nil {
			return err // the client's side has ended
		}
		if readErr == io.EOF {
			return rest.Close()
		}
		if readErr != nil {
			return rest.CloseWithError(readErr)
		}
		n, readErr = body.Read(buf)
	}
}

// setPartial makes a partial answer, or none, available to ForwardPartial.
func (a *Attempt) setPartial(partial *partialAnswer) {
	a.mu.Lock()
	a.partial = partial
	a.mu.Unlock()
}

// isForwarded reports whether ForwardPartial has begun to forward the answer.
func (a *Attempt) isForwarded() bool {
	a.mu.Lock()
	partial := a.partial
	a.mu.Unlock()
	return partial != nil && partial.forwardedRest() != nil
}
