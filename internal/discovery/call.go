package discovery

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"
)

// feed is a call that discovery has begun to answer. Its connection is the Watcher's until
// release.
type feed struct {
	conn   net.Conn
	stream *stream
}

// open calls discovery and returns once the first byte of what it tells has come, within
// most. An error of *SilentError says that nothing came.
func (w *Watcher) open(at place, limit time.Duration) (*feed, error) {
	until := time.Now().Add(limit)
	dialer := net.Dialer{Deadline: until, KeepAlive: -1}
	conn, err := dialer.Dial("tcp", at.addr)
	if err != nil {
		return nil, silence(err, at.addr, Connecting)
	}
	if !w.own(conn, at.moves) {
		conn.Close()
		return nil, net.ErrClosed
	}
	stream, err := w.ask(conn, at, until)
	if err != nil {
		w.release(conn)
		return nil, err
	}
	return &feed{conn: conn, stream: stream}, nil
}

// ask sends the request and reads the answer up to the first byte of its body.
func (w *Watcher) ask(conn net.Conn, at place, until time.Time) (*stream, error) {
	path := "/catalog/members?watch=1"
	if at.index > 0 {
		path += fmt.Sprintf("&after=%d", at.index)
	}
	conn.SetDeadline(until)
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: discovery\r\n\r\n", path); err != nil {
		return nil, silence(err, at.addr, Asking)
	}
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil, silence(err, at.addr, Asking)
	}
	if answer.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("discovery: answered %s", answer.Status)
	}
	body := bufio.NewReader(answer.Body)
	if _, err := body.Peek(1); err != nil {
		return nil, silence(err, at.addr, Asking)
	}
	return newStream(body, conn.SetDeadline, w.hear), nil
}

// opened is the end of a call to open.
type opened struct {
	feed *feed
	err  error
}

// openEither is open, and makes a second call beside the first one where that has brought
// nothing after Pace.Again, whatever has become of it. The first to be answered is taken; the
// other one is closed when its own deadline is over, at the latest.
func (w *Watcher) openEither(at place) (*feed, error) {
	results := make(chan opened, 2)
	call := func(limit time.Duration) {
		f, err := w.open(at, limit)
		results <- opened{f, err}
	}
	go call(at.pace.Call)
	timer := time.NewTimer(at.pace.Again)
	defer timer.Stop()
	running, second := 1, false
	for {
		select {
		case <-timer.C:
			go call(at.pace.secondCall())
			running, second = running+1, true
		case result := <-results:
			running--
			stale := errors.Is(result.err, net.ErrClosed) // by Move or Close
			if result.err == nil || stale || second && running == 0 {
				go w.discard(results, running)
				return result.feed, result.err
			}
		}
	}
}

// discard closes what the calls that still run bring.
func (w *Watcher) discard(results <-chan opened, running int) {
	for range running {
		if late := <-results; late.feed != nil {
			w.release(late.feed.conn)
		}
	}
}
