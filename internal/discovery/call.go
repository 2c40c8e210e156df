package discovery

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"
)

// activeCall is a call of which the first byte of the response's body has arrived. Its connection
// belongs to the Watcher until release.
type activeCall struct {
	conn   net.Conn
	stream *stream
}

// open calls discovery and returns when the first byte of the response's body has arrived. It returns a
// *SilentError if that takes longer than limit, and net.ErrClosed after SetEndpoint or Close.
func (w *Watcher) open(target watchTarget, limit time.Duration) (*activeCall, error) {
	deadline := time.Now().Add(limit)
	dialer := net.Dialer{Deadline: deadline, KeepAlive: -1}
	conn, err := dialer.Dial("tcp", target.addr)
	if err != nil {
		return nil, asSilentError(err, target.addr, Connecting)
	}
	if !w.adopt(conn, target.endpointChanges) {
		conn.Close()
		return nil, net.ErrClosed
	}
	stream, err := w.request(conn, target, deadline)
	if err != nil {
		w.release(conn)
		return nil, err
	}
	return &activeCall{conn: conn, stream: stream}, nil
}

// request sends the request and reads the response up to the first byte of its body.
func (w *Watcher) request(conn net.Conn, target watchTarget, deadline time.Time) (*stream, error) {
	path := "/catalog/members?watch=1"
	if target.index > 0 {
		path += fmt.Sprintf("&after=%d", target.index)
	}
	conn.SetDeadline(deadline)
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: discovery\r\n\r\n", path); err != nil {
		return nil, asSilentError(err, target.addr, AwaitingResponse)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil, asSilentError(err, target.addr, AwaitingResponse)
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("discovery: got status %s, want 200", response.Status)
	}
	body := bufio.NewReader(response.Body)
	if _, err := body.Peek(1); err != nil {
		return nil, asSilentError(err, target.addr, AwaitingResponse)
	}
	return newStream(body, conn.SetDeadline, w.markReceived), nil
}

// callResult holds the return values of a call to open.
type callResult struct {
	call *activeCall
	err  error
}

// openEither makes a call, and a second one in parallel if the first has not been answered after
// Pace.SecondCallDelay. If the first call fails earlier, the second one still starts only then.
// openEither returns the call that is answered first, or an error if both fail. The other call ends by
// its own deadline, and its connection is then closed.
func (w *Watcher) openEither(target watchTarget) (*activeCall, error) {
	results := make(chan callResult, 2)
	call := func(limit time.Duration) {
		opened, err := w.open(target, limit)
		results <- callResult{opened, err}
	}
	go call(target.pace.CallTimeout)
	timer := time.NewTimer(target.pace.SecondCallDelay)
	defer timer.Stop()
	running, secondStarted := 1, false
	for {
		select {
		case <-timer.C:
			go call(target.pace.secondCallTimeout())
			running, secondStarted = running+1, true
		case result := <-results:
			running--
			closed := errors.Is(result.err, net.ErrClosed) // after SetEndpoint or Close
			if result.err == nil || closed || secondStarted && running == 0 {
				go w.discard(results, running)
				return result.call, result.err
			}
		}
	}
}

// discard waits for the given number of running calls and closes their connections.
func (w *Watcher) discard(results <-chan callResult, running int) {
	for range running {
		if late := <-results; late.call != nil {
			w.release(late.call.conn)
		}
	}
}
