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
	// slowDelay is how much later than usual a server in ModeSlow answers.
	slowDelay = 700 * time.Millisecond
	// duplicateDelay is how long after an answer its repeat comes in ModeDuplicate.
	duplicateDelay = 4 * time.Millisecond
	// truncationDelay is between the parts of an answer that is sent in parts.
	truncationDelay = 15 * time.Millisecond
	// answerStep is how much answers differ in length where they are long.
	answerStep = 7919
)

// server is a stand-in for an activation server. It records each request that comes.
type server struct {
	number   int
	script   *Script
	recorder *recorder
	address  string

	mu       sync.Mutex
	listener net.Listener // nil: it is down
	mode     string
	changed  chan struct{} // closed at the next change of mode
	conns    map[net.Conn]bool
	since    time.Duration // of its start; 0: long ago
	inFlight int
	answers  int

	slots chan struct{}
	wait  sync.WaitGroup
}

// startServer starts a server at a free port of an address.
func startServer(number int, host string, script *Script, recorder *recorder) (*server, error) {
	listener, err := net.Listen("tcp", host+":0")
	if err != nil {
		return nil, fmt.Errorf("soak: server: %w", err)
	}
	s := &server{number: number, script: script, recorder: recorder, address: listener.Addr().String(),
		listener: listener, mode: ModeAnswer, changed: make(chan struct{}), conns: make(map[net.Conn]bool),
		slots: make(chan struct{}, script.Workers)}
	s.wait.Go(func() { s.accept(listener) })
	return s, nil
}

// set changes the mode. Leaving ModeSilent, or going down, resets what is open.
func (s *server) set(mode string) error {
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
		return fmt.Errorf("soak: server %d comes back: %w", s.number, err)
	}
	s.listener = listener
	s.wait.Go(func() { s.accept(listener) })
	return nil
}

// restart makes the server a new process, in slow start.
func (s *server) restart() error {
	s.mu.Lock()
	s.since = s.recorder.now()
	s.mu.Unlock()
	return s.set(ModeAnswer)
}

// reset resets every open connection.
func (s *server) reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resetLocked()
}

func (s *server) resetLocked() {
	for conn := range s.conns {
		reset(conn)
	}
}

// close ends the server and waits for its goroutines.
func (s *server) close() {
	s.set(ModeDown)
	s.wait.Wait()
}

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

// current returns the mode, and a channel that is closed at its change.
func (s *server) current() (mode string, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mode, s.changed
}

// serve serves a connection until it ends.
func (s *server) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		if _, err := reader.Peek(1); err != nil {
			return
		}
		first := s.recorder.now()
		mode, changed := s.current()
		switch mode {
		case ModeSilent:
			<-changed // what has come is never read: the connection is reset
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
		if !s.answer(conn, mode, changed, &attempt) {
			return
		}
	}
}

func reset(conn net.Conn) {
	conn.(*net.TCPConn).SetLinger(0)
	conn.Close()
}

// record records an attempt.
func (s *server) record(attempt *Attempt) {
	s.recorder.do(func(record *Record) { record.Attempts = append(record.Attempts, *attempt) })
}

// recordAgain records that an answer is sent a second time.
func (s *server) recordAgain(body string) {
	now := s.recorder.now()
	s.recorder.do(func(record *Record) {
		for n := range record.Attempts {
			if record.Attempts[n].Answer == body {
				record.Attempts[n].Repeated = now
			}
		}
	})
}

// answer carries out a request and answers it; false ends the connection.
func (s *server) answer(conn net.Conn, mode string, changed <-chan struct{}, attempt *Attempt) bool {
	if attempt.Last == 0 {
		s.record(attempt)
		return false
	}
	if mode == ModeDecline || !s.enter() {
		attempt.Rejected = true
		s.record(attempt)
		_, err := io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	defer s.leave()
	switch mode {
	case ModeHang:
		s.record(attempt)
		<-changed
		reset(conn)
		return false
	case ModeResetRequests:
		s.record(attempt)
		reset(conn)
		return false
	case ModeFail:
		s.record(attempt)
		_, err := io.WriteString(conn, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	attempt.Answer = s.makeAnswer(attempt.ID)
	attempt.Truncated = mode == ModeResetWithin || mode == ModeEndless
	s.record(attempt) // before a byte of it can be with the client
	s.work(mode)
	return s.write(conn, mode, changed, attempt.Answer)
}

// enter takes a place in the queue; false if it is full.
func (s *server) enter() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mode != ModeHang && s.inFlight >= s.script.Workers+s.script.Queue {
		return false
	}
	s.inFlight++
	return true
}

func (s *server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
}

// makeAnswer makes the body of an answer, each time another one.
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

// work takes as long as a request does.
func (s *server) work(mode string) {
	s.slots <- struct{}{}
	defer func() { <-s.slots }()
	s.mu.Lock()
	warmth, since := 1.0, s.since
	s.mu.Unlock()
	if since > 0 {
		warmth = s.script.capacityFraction(s.recorder.now() - since)
	}
	time.Sleep(time.Duration(float64(s.script.Work) / warmth))
	if mode == ModeSlow {
		time.Sleep(slowDelay)
	}
}

// write writes an answer in the way of a mode; false ends the connection.
func (s *server) write(conn net.Conn, mode string, changed <-chan struct{}, body string) bool {
	whole := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	switch mode {
	case ModeResetWithin:
		io.WriteString(conn, whole[:len(whole)-len(body)/2])
		time.Sleep(truncationDelay) // what is written must arrive before the reset
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
		if _, err := io.WriteString(conn, whole); err != nil {
			return false
		}
		time.Sleep(duplicateDelay)
		s.recordAgain(body)
		_, err := io.WriteString(conn, whole)
		return err == nil
	}
	if _, err := io.WriteString(conn, whole); err != nil {
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

// during puts a server in a mode for a time, unless the context ends before.
func (s *server) during(ctx context.Context, mode string, limit time.Duration) error {
	if err := s.set(mode); err != nil {
		return err
	}
	_, changed := s.current()
	select {
	case <-ctx.Done():
		return nil
	case <-changed: // another event has come
		return nil
	case <-time.After(limit):
	}
	return s.set(ModeAnswer)
}
