package discovery

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"
)

// activeCall is a call that discovery has begun to answer. The Watcher owns its connection until
// release.
type activeCall struct {
	conn   net.Conn
	stream *stream
}

// open calls discovery and returns when the first byte of the body has arrived, within limit. It
// returns a *SilentError if nothing arrived in time.
func (w *Watcher) open(at watchTarget, limit time.Duration) (*activeCall, error) {
	until := time.Now().Add(limit)
	dialer := net.Dialer{Deadline: until, KeepAlive: -1}
	conn, err := dialer.Dial("tcp", at.addr)
	if err != nil {
		return nil, asSilentError(err, at.addr, Connecting)
	}
	if !w.adopt(conn, at.endpointChanges) {
		conn.Close()
		return nil, net.ErrClosed
	}
	stream, err := w.request(conn, at, until)
	if err != nil {
		w.release(conn)
		return nil, err
	}
	return &activeCall{conn: conn, stream: stream}, nil
}

// request sends the call and reads the response up to the first byte of its body.
func (w *Watcher) request(conn net.Conn, at watchTarget, until time.Time) (*stream, error) {
	path := "/catalog/members?watch=1"
	if at.index > 0 {
		path += fmt.Sprintf("&after=%d", at.index)
	}
	conn.SetDeadline(until)
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: discovery\r\n\r\n", path); err != nil {
		return nil, asSilentError(err, at.addr, AwaitingResponse)
	}
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil, asSilentError(err, at.addr, AwaitingResponse)
	}
	if answer.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("discovery: answered %s", answer.Status)
	}
	body := bufio.NewReader(answer.Body)
	if _, err := body.Peek(1); err != nil {
		return nil, asSilentError(err, at.addr, AwaitingResponse)
	}
	return newStream(body, conn.SetDeadline, w.markReceived), nil
}

// callResult is what a call to open returned.
type callResult struct {
	call *activeCall
	err  error
}

// openEither makes a call, and a second one in parallel if the first is unanswered after
// Pace.SecondCallDelay, even if it has failed by then. It returns the first call that is answered;
// the other one is closed when it returns, by its own deadline at the latest.
func (w *Watcher) openEither(at watchTarget) (*activeCall, error) {
	results := make(chan callResult, 2)
	call := func(limit time.Duration) {
		opened, err := w.open(at, limit)
		results <- callResult{opened, err}
	}
	go call(at.pace.CallTimeout)
	timer := time.NewTimer(at.pace.SecondCallDelay)
	defer timer.Stop()
	running, second := 1, false
	for {
		select {
		case <-timer.C:
			go call(at.pace.secondCallTimeout())
			running, second = running+1, true
		case result := <-results:
			running--
			stale := errors.Is(result.err, net.ErrClosed) // by SetEndpoint or Close
			if result.err == nil || stale || second && running == 0 {
				go w.discard(results, running)
				return result.call, result.err
			}
		}
	}
}

// discard waits for the calls that still run and closes their connections.
func (w *Watcher) discard(results <-chan callResult, running int) {
	for range running {
		if late := <-results; late.call != nil {
			w.release(late.call.conn)
		}
	}
}
