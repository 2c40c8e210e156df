package link

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"martendrum/internal/handover"
)

// Timeouts of Start. Their sum stays well below the 6 s within which a new process must serve.
const (
	offerTimeout  = 1200 * time.Millisecond // a predecessor that does not answer within this time counts as hung
	absentTimeout = 600 * time.Millisecond  // how long Start retries if the lock has an owner that can't be reached
	busyTimeout   = 3 * time.Second         // how long Start retries if another successor is taking over
	retryInterval = 20 * time.Millisecond
	// lockPollInterval is the interval between attempts to take the lock of a predecessor that
	// may have ended.
	lockPollInterval = 5 * retryInterval
)

// Reasons why no hand-over takes place.
var (
	errAbsent = errors.New("link: the rendezvous is locked, but its owner can't be reached")
	errSilent = errors.New("link: the predecessor does not answer")
)

// SuccessorEnd is the successor's end of a hand-over. Its methods are safe for concurrent use.
type SuccessorEnd struct {
	rendezvous *Rendezvous
	host       Host
	listen     string
	machine    *handover.Successor

	mu              sync.Mutex         // guards the machine and all fields below
	conn            *connection        // to the predecessor; nil: none
	passedListeners []*net.TCPListener // from the predecessor
	localListener   *net.TCPListener   // opened by this process; nil: none
	snapshot        []byte             // from the predecessor
	table           *SharedTable       // from the predecessor; nil: none
	storeLock       *os.File           // of the idempotency store, from the predecessor; nil: none
	lateListeners   chan []*net.TCPListener
	predecessorGone chan struct{} // closed when there is no predecessor, see NoPredecessor
	failed          chan error
	closed          bool
	goroutines      sync.WaitGroup
}

// Start looks for a predecessor, requests a hand-over and receives a quota. When it returns, it
// has called host.Limit, and Listeners returns the sockets to accept from; the caller accepts
// once it can answer clients, and then calls Ready. Without a predecessor, or with one that does
// not take part, Start opens a socket of its own. limits are those of the sidecar; usesStore says
// whether this process uses an idempotency store.
func Start(rendezvous *Rendezvous, listen string, limits handover.Quota, usesStore bool, host Host) (*SuccessorEnd, error) {
	s := &SuccessorEnd{
		rendezvous:      rendezvous,
		host:            host,
		listen:          listen,
		machine:         handover.NewSuccessor(limits),
		lateListeners:   make(chan []*net.TCPListener, 1),
		predecessorGone: make(chan struct{}),
		failed:          make(chan error, 1),
	}
	if usesStore {
		s.machine.SetUsesStore()
	}
	for started := time.Now(); ; time.Sleep(retryInterval) {
		err := s.attempt()
		elapsed := time.Since(started)
		switch {
		case err == nil:
			return s, nil
		case errors.Is(err, handover.ErrBusy) && elapsed < busyTimeout:
		case errors.Is(err, errAbsent) && elapsed < absentTimeout:
		case errors.Is(err, errAbsent), errors.Is(err, errSilent), errors.Is(err, handover.ErrRejected):
			slog.Warn("no hand-over: this process opens a socket of its own at the predecessor's address", "err", err)
			return s.startDespiteSilent()
		case errors.Is(err, ErrForeign):
			slog.Warn("no hand-over is possible with this process", "err", err)
			return s.startIsolated()
		default:
			s.Close()
			return nil, err
		}
	}
}

// startDespiteSilent starts beside a predecessor that does not take part in a hand-over.
func (s *SuccessorEnd) startDespiteSilent() (*SuccessorEnd, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.perform(s.machine.PredecessorSilent()); err != nil {
		return nil, err
	}
	s.followPredecessor()
	return s, nil
}

// startIsolated starts where no hand-over is possible.
func (s *SuccessorEnd) startIsolated() (*SuccessorEnd, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.perform(s.machine.Isolated()); err != nil {
		return nil, err
	}
	return s, nil
}

// attempt takes the lock, or requests a hand-over from the owner of the lock and handles the
// answer.
func (s *SuccessorEnd) attempt() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	err := s.rendezvous.Lock()
	if err == nil {
		return s.perform(s.machine.NoPredecessor())
	}
	if !errors.Is(err, ErrLocked) {
		return err
	}
	if s.conn, err = s.dial(); err != nil {
		return err
	}
	if err := s.perform(s.machine.Hello(s.listen)); err != nil {
		s.disconnect()
		return fmt.Errorf("%w: %w", errSilent, err)
	}
	s.conn.unix.SetReadDeadline(time.Now().Add(offerTimeout))
	message, files, err := s.conn.receive(make([]byte, maxMessageBytes))
	s.conn.unix.SetReadDeadline(time.Time{})
	if err != nil {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return errSilent // the connection stays open: its end will show that the predecessor has ended
		}
		s.disconnect()
		return fmt.Errorf("%w: %w", errAbsent, err)
	}
	if err := s.handle(message, files); err != nil {
		s.disconnect()
		return err
	}
	s.followPredecessor()
	return nil
}

// dial connects to the predecessor.
func (s *SuccessorEnd) dial() (*connection, error) {
	address, done, err := s.rendezvous.socketAddress(socketSuffix)
	if err != nil {
		return nil, err
	}
	defer done()
	dialer := net.Dialer{Timeout: offerTimeout}
	dialed, err := dialer.Dial("unixpacket", address)
	switch {
	case errors.Is(err, syscall.EAGAIN): // the predecessor's accept queue is full
		return nil, errSilent
	case err != nil:
		return nil, fmt.Errorf("%w: %w", errAbsent, err)
	}
	unix := dialed.(*net.UnixConn)
	if !isSameUser(unix) {
		unix.Close()
		return nil, fmt.Errorf("%w: another user's process answers at %s", ErrForeign, s.rendezvous.path(socketSuffix))
	}
	return &connection{unix: unix}, nil
}

// disconnect closes the connection to the predecessor. The caller holds mu.
func (s *SuccessorEnd) disconnect() {
	if s.conn != nil {
		s.conn.unix.Close()
		s.conn = nil
	}
}

// handle handles a message and the files that came with it, which it closes. The caller holds mu.
func (s *SuccessorEnd) handle(message handover.Message, files []*os.File) error {
	defer closeAll(files)
	var offered offeredFiles
	var actions []handover.Action
	var err error
	if message.Kind == handover.Offer {
		err = offered.open(message, files, s.listen, s.rendezvous.path(lockSuffix))
	}
	if err == nil {
		actions, err = s.machine.Receive(message)
	}
	if err != nil {
		offered.close()
		return err
	}
	if message.Kind == handover.Offer {
		s.rendezvous.adoptLock(offered.lock)
		s.passedListeners, s.snapshot, s.table, s.storeLock = offered.listeners, message.Snapshot, offered.table, offered.storeLock
	}
	return s.perform(actions)
}

// perform carries out actions of the machine. The caller holds mu.
func (s *SuccessorEnd) perform(actions []handover.Action) error {
	for _, action := range actions {
		switch action.Type {
		case handover.SendMessage:
			if s.conn == nil {
				continue
			}
			if err := s.conn.send(action.Message); err != nil {
				return fmt.Errorf("link: %w", err)
			}
		case handover.Limit:
			s.host.Limit(action.Quota)
		case handover.OpenListener:
			listener, err := Listen(s.listen)
			if err != nil {
				return fmt.Errorf("listen: %w", err)
			}
			s.localListener = listener
		case handover.TakeListener:
			if s.localListener != nil { // a silent predecessor has resumed
				s.lateListeners <- s.passedListeners
			}
		case handover.Publish:
			close(s.predecessorGone)
		}
	}
	return nil
}

// followPredecessor starts a goroutine that handles the predecessor's messages until the
// predecessor has ended. The caller holds mu.
func (s *SuccessorEnd) followPredecessor() {
	conn := s.conn
	s.goroutines.Go(func() {
		buffer := make([]byte, maxMessageBytes)
		for conn != nil {
			message, files, err := conn.receive(buffer)
			s.mu.Lock()
			if err == nil && s.handleLater(message, files) {
				s.mu.Unlock()
				continue
			}
			closed := s.closed
			s.disconnect()
			s.mu.Unlock()
			if closed {
				return
			}
			break
		}
		s.awaitPredecessorExit()
	})
}

// handleLater handles a message after the first one. It returns false if the connection is of no
// further use. The caller holds mu.
func (s *SuccessorEnd) handleLater(message handover.Message, files []*os.File) bool {
	err := s.handle(message, files)
	if err != nil && !s.closed {
		slog.Error("handling a message from the predecessor failed", "err", err)
	}
	rejected, locked := errors.Is(err, handover.ErrRejected), s.rendezvous.Locked()
	if rejected && locked {
		// The predecessor is alive and has taken the quota back: this process must end.
		s.failed <- err
		s.closed = true
	}
	offerFailed := err != nil && message.Kind == handover.Offer
	return !rejected && !(offerFailed && !locked)
}

// awaitPredecessorExit polls the lock until no predecessor has it, and takes it.
func (s *SuccessorEnd) awaitPredecessorExit() {
	for {
		s.mu.Lock()
		if s.closed {
			s.mu.Unlock()
			return
		}
		if err := s.rendezvous.Lock(); err == nil {
			s.perform(s.machine.PredecessorLost())
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		time.Sleep(lockPollInterval)
	}
}

// Listeners returns the sockets to accept from: those of a predecessor, this process's own, or
// both.
func (s *SuccessorEnd) Listeners() (listeners []*net.TCPListener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	listeners = append(listeners, s.passedListeners...)
	if s.localListener != nil {
		listeners = append(listeners, s.localListener)
	}
	return listeners
}

// ResumedListeners delivers the listeners of a silent predecessor that has resumed and handed over.
// From then on, Listeners returns them too, and Table returns the predecessor's table. The caller
// accepts from the listeners and then calls Ready.
func (s *SuccessorEnd) ResumedListeners() <-chan []*net.TCPListener { return s.lateListeners }

// Snapshot returns the encoded snapshot of what the predecessor has learned. It is empty if the
// predecessor sent none.
func (s *SuccessorEnd) Snapshot() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snapshot
}

// Table returns the table that the predecessor shares, or nil if it shares none. The caller closes
// the table.
func (s *SuccessorEnd) Table() *SharedTable {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table
}

// StoreLock returns the lock of the idempotency store that the predecessor shares, or nil if it
// shares none. The caller closes the lock.
func (s *SuccessorEnd) StoreLock() *os.File {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.storeLock
}

// Ready tells the predecessor that this process accepts clients.
func (s *SuccessorEnd) Ready() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.perform(s.machine.Ready()); err != nil {
		slog.Warn("notifying the predecessor that this process accepts clients failed", "err", err)
	}
}

// HasPredecessor reports whether there is a predecessor, or was one that handed over. It also returns
// true after a start where no hand-over was possible.
func (s *SuccessorEnd) HasPredecessor() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.passedListeners) > 0 || !s.machine.WithoutPredecessor()
}

// NoPredecessor returns a channel that is closed when this process owns all limits, because its
// predecessor has ended or it never had one. The channel stays open after a start where no hand-over
// was possible.
func (s *SuccessorEnd) NoPredecessor() <-chan struct{} { return s.predecessorGone }

// Failed delivers an error after which this process must end: a predecessor that is alive has
// taken back the quota.
func (s *SuccessorEnd) Failed() <-chan error { return s.failed }

// Close closes the connection to the predecessor and waits for the goroutines that Start began.
func (s *SuccessorEnd) Close() {
	s.mu.Lock()
	s.closed = true
	s.disconnect()
	s.mu.Unlock()
	s.goroutines.Wait()
}
