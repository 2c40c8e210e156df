package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// slowDelay is the delay that ModeSlow adds to each answer.
	slowDelay = 700 * time.Millisecond
	// duplicateDelay is the time between an answer and its duplicate in ModeDuplicate.
	duplicateDelay = 4 * time.Millisecond
	// truncationDelay is the time between the parts of an answer that is sent in parts, and between
	// an answer and the end of its connection.
	truncationDelay = 15 * time.Millisecond
	// answerStep is the number of bytes by which the padding of an answer is longer than that of the
	// answer before it, modulo the script's MaxAnswer.
	answerStep = 7919
)

// server is a stand-in for an activation server. It records each request that it receives as an
// Attempt.
type server struct {
	number   int
	script   *Script
	recorder *recorder
	address  string

	mu       sync.Mutex
	listener net.Listener      // nil: the server is down
	mode     string            // one of the server modes
	changed  chan struct{}     // closed at the next change of mode
	conns    map[net.Conn]bool // the open ones
	since    time.Duration     // when it started; 0: before the run
	inFlight int               // requests in work or in the queue
	answers  int               // number of answers made so far

	slots chan struct{} // one place for each worker
	wait  sync.WaitGroup
}

// startServer starts a server on a free port of a host's address, in ModeAnswer.
func startServer(number int, host string, script *Script, recorder *recorder) (*server, error) {
	listener, err := net.Listen("tcp", host+":0")
	if err != nil {
		return nil, fmt.Errorf("soak: start server: %w", err)
	}
	s := &server{number: number, script: script, recorder: recorder, address: listener.Addr().String(),
		listener: listener, mode: ModeAnswer, changed: make(chan struct{}), conns: make(map[net.Conn]bool),
		slots: make(chan struct{}, script.Workers)}
	s.wait.Go(func() { s.accept(listener) })
	return s, nil
}

// setMode changes the mode. The change to ModeDown and the end of ModeSilent reset all open
// connections; the end of ModeDown opens the server's port again.
func (s *server) setMode(mode string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.mode
	s.mode = mode
	close(s.changed)
	s.changed = make(chan struct{})
	if mode == ModeDown && s.listener != nil {
		s.listener.Close()
		s.listener = nil
	}
	if mode == ModeDown || before == ModeSilent {
		s.resetLocked()
	}
	if mode == ModeDown || s.listener != nil {
		return nil
	}
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return fmt.Errorf("soak: restart server %d: %w", s.number, err)
	}
	s.listener = listener
	s.wait.Go(func() { s.accept(listener) })
	return nil
}

// restart makes the server answer like a process that has just started, in slow start.
func (s *server) restart() error {
	s.mu.Lock()
	s.since = s.recorder.now()
	s.mu.Unlock()
	return s.setMode(ModeAnswer)
}

// reset resets all open connections.
func (s *server) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resetLocked()
}

// resetLocked is reset for callers that hold s.mu.
func (s *server) resetLocked() {
	for conn := range s.conns {
		reset(conn)
	}
}

// close closes the port and all connections, and waits for the goroutines.
func (s *server) close() {
	s.setMode(ModeDown)
	s.wait.Wait()
}

// accept serves the connections of a listener until it is closed.
func (s *server) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[conn] = true
		down := s.listener != listener
		s.mu.Unlock()
		if down {
			conn.Close()
		}
		s.wait.Go(func() {
			s.serve(conn)
			s.mu.Lock()
			delete(s.conns, conn)
			s.mu.Unlock()
			conn.Close()
		})
	}
}

// currentMode returns the mode, and a channel that is closed when the mode changes.
func (s *server) currentMode() (mode string, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mode, s.changed
}

// serve answers the requests of a connection until it ends.
func (s *server) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		if _, err := reader.Peek(1); err != nil {
			return
		}
		first := s.recorder.now()
		mode, changed := s.currentMode()
		switch mode {
		case ModeSilent:
			<-changed // the request is never read; setMode resets the connection
			return
		case ModeResetBefore:
			reset(conn)
			return
		}
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		attempt := Attempt{ID: request.Header.Get("Req-Id"), Server: s.number, Key: request.Header.Get("Idempotency-Key"), First: first}
		if ms, err := strconv.Atoi(request.Header.Get("Req-Deadline-Ms")); err == nil {
			attempt.Deadline = time.Duration(ms) * time.Millisecond
		}
		if _, err := io.Copy(io.Discard, request.Body); err == nil {
			attempt.Last = s.recorder.now()
		}
		if !s.handle(conn, mode, changed, &attempt) {
			return
		}
	}
}

// reset closes a connection with a TCP reset.
func reset(conn net.Conn) {
	conn.(*net.TCPConn).SetLinger(0)
	conn.Close()
}

// recordAttempt adds an attempt to the record.
func (s *server) recordAttempt(attempt *Attempt) {
	s.recorder.do(func(record *Record) { record.Attempts = append(record.Attempts, *attempt) })
}

// recordRepeat records that an answer is sent a second time. Each answer's body is unique.
func (s *server) recordRepeat(body string) {
	now := s.recorder.now()
	s.recorder.do(func(record *Record) {
		for n := range record.Attempts {
			if record.Attempts[n].Answer == body {
				record.Attempts[n].Repeated = now
			}
		}
	})
}

// handle handles a request as a mode requires, records the attempt and sends its answer. It returns
// false if the connection must end.
func (s *server) handle(conn net.Conn, mode string, changed <-chan struct{}, attempt *Attempt) bool {
	if attempt.Last == 0 {
		s.recordAttempt(attempt)
		return false
	}
	if mode == ModeDecline || !s.admit() {
		attempt.Rejected = true
		s.recordAttempt(attempt)
		_, err := io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	defer s.release()
	switch mode {
	case ModeHang:
		s.recordAttempt(attempt)
		<-changed
		reset(conn)
		return false
	case ModeResetRequests:
		s.recordAttempt(attempt)
		reset(conn)
		return false
	case ModeFail:
		s.recordAttempt(attempt)
		_, err := io.WriteString(conn, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	attempt.Answer = s.makeAnswer(attempt.ID)
	attempt.Truncated = mode == ModeResetWithin || mode == ModeEndless
	s.recordAttempt(attempt) // before the client can get any byte of the answer
	s.work(mode)
	return s.write(conn, mode, changed, attempt.Answer)
}

// admit counts a request as in flight. It returns false if all workers and all places of the queue
// are taken; in ModeHang it admits every request.
func (s *server) admit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mode != ModeHang && s.inFlight >= s.script.Workers+s.script.Queue {
		return false
	}
	s.inFlight++
	return true
}

// release counts an admitted request as no longer in flight.
func (s *server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
}

// makeAnswer returns the body of an answer, a different one at each call.
func (s *server) makeAnswer(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers++
	body := fmt.Sprintf("%s by %d, answer %d", id, s.number, s.answers)
	if s.script.MaxAnswer > 0 {
		body += strings.Repeat(".", s.answers*answerStep%s.script.MaxAnswer)
	}
	return body
}

// work waits for a free worker and occupies it for the time that a request takes, which is longer in
// slow start and in ModeSlow.
func (s *server) work(mode string) {
	s.slots <- struct{}{}
	defer func() { <-s.slots }()
	s.mu.Lock()
	capacity, since := 1.0, s.since
	s.mu.Unlock()
	if since > 0 {
		capacity = s.script.capacityFraction(s.recorder.now() - since)
	}
	time.Sleep(time.Duration(float64(s.script.Work) / capacity))
	if mode == ModeSlow {
		time.Sleep(slowDelay)
	}
}

// write sends an answer as a mode requires. It returns false if the connection must end.
func (s *server) write(conn net.Conn, mode string, changed <-chan struct{}, body string) bool {
	response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	switch mode {
	case ModeResetWithin:
		io.WriteString(conn, response[:len(response)-len(body)/2])
		time.Sleep(truncationDelay) // so that the client gets the written part before the reset
		reset(conn)
		return false
	case ModeEndless:
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(body), body)
		<-changed
		reset(conn)
		return false
	case ModeNoLength:
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n")
		time.Sleep(truncationDelay)
		io.WriteString(conn, body)
		return false
	case ModeDuplicate:
		if _, err := io.WriteString(conn, response); err != nil {
			return false
		}
		time.Sleep(duplicateDelay)
		s.recordRepeat(body)
		_, err := io.WriteString(conn, response)
		return err == nil
	}
	if _, err := io.WriteString(conn, response); err != nil {
		return false
	}
	switch mode {
	case ModeResetAfter:
		time.Sleep(truncationDelay)
		reset(conn)
		return false
	case ModeIdleClose:
		time.Sleep(truncationDelay)
		return false
	case ModeForget:
		<-changed
		reset(conn)
		return false
	}
	return true
}

// setModeFor sets a mode and, after a time, ModeAnswer again. If the mode is changed in between or
// the context ends, it returns without a further change.
func (s *server) setModeFor(ctx context.Context, mode string, limit time.Duration) error {
	if err := s.setMode(mode); err != nil {
		return err
	}
	_, changed := s.currentMode()
	select {
	case <-ctx.Done():
		return nil
	case <-changed: // by another event
		return nil
	case <-time.After(limit):
	}
	return s.setMode(ModeAnswer)
}
