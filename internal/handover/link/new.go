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

// Times that a start may take to find out about an old process. All together stay
// well under the 6 s within which a new one must serve.
const (
	offerTimeout  = 1200 * time.Millisecond // an old one answers within it, or hangs
	absentTimeout = 600 * time.Millisecond  // the place is held, and nobody is to be found
	busyTimeout   = 3 * time.Second         // another new one is at it
	retryInterval = 20 * time.Millisecond
)

// Successor is a new process's side of a hand-over.
type Successor struct {
	rendezvous *Rendezvous
	host       Host
	listen     string
	machine    *handover.Successor

	mu            sync.Mutex  // of the machine's events, and of all below
	conn          *connection // to the old one; nil: none
	passed        []*net.TCPListener
	ownListener   *net.TCPListener
	snapshot      []byte
	table         *SharedTable // shared with the old one; nil: none
	storeLock     *os.File     // the lock of the store of record that came; nil: none
	lateListeners chan []*net.TCPListener
	alone         chan struct{}
	failed        chan error // the old process has called it off
	closed        bool
	goroutines    sync.WaitGroup
}

// Start finds out whether an old process serves and agrees with it on shares. When
// it returns, this process may hold what the host was told, and Listeners has where
// to accept. No process may accept there and have no way to answer yet: the caller
// begins when it can. record says that this process has a store of record.
func Start(p *Rendezvous, listen string, full handover.Quota, record bool, h Host) (*Successor, error) {
	n := &Successor{rendezvous: p, host: h, listen: listen, machine: handover.NewSuccessor(full), lateListeners: make(chan []*net.TCPListener, 1), alone: make(chan struct{}), failed: make(chan error, 1)}
	if record {
		n.machine.SetUsesStore()
	}
	for began := time.Now(); ; time.Sleep(retryInterval) {
		err := n.attempt()
		took := time.Since(began)
		switch {
		case err == nil:
			return n, nil
		case errors.Is(err, handover.ErrBusy) && took < busyTimeout:
		case errors.Is(err, errAbsent) && took < absentTimeout:
		case errors.Is(err, errAbsent), errors.Is(err, errSilent), errors.Is(err, handover.ErrRejected):
			slog.Warn("no hand-over: this process opens a socket of its own beside the old one's", "err", err)
			n.mu.Lock()
			defer n.mu.Unlock()
			if err := n.perform(n.machine.PredecessorSilent()); err != nil {
				return nil, err
			}
			n.followPredecessor()
			return n, nil
		case errors.Is(err, ErrForeign):
			slog.Warn("no hand-over: this process is on its own", "err", err)
			n.mu.Lock()
			defer n.mu.Unlock()
			if err := n.perform(n.machine.Isolated()); err != nil {
				return nil, err
			}
			return n, nil
		default:
			n.Close()
			return nil, err
		}
	}
}

// Reasons for no hand-over.
var (
	errAbsent = errors.New("link: the place is held, and its process can't be found")
	errSilent = errors.New("link: the old process does not answer")
)

// attempt makes one attempt.
func (n *Successor) attempt() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	err := n.rendezvous.Lock()
	if err == nil {
		return n.perform(n.machine.NoPredecessor())
	}
	if !errors.Is(err, ErrLocked) {
		return err
	}
	addr, done, err := n.rendezvous.socketAddress(".sock")
	if err != nil {
		return err
	}
	defer done()
	d := net.Dialer{Timeout: offerTimeout}
	nc, err := d.Dial("unixpacket", addr)
	switch {
	case errors.Is(err, syscall.EAGAIN): // its queue is full
		return errSilent
	case err != nil:
		return fmt.Errorf("%w: %w", errAbsent, err)
	}
	uc := nc.(*net.UnixConn)
	if !isSameUser(uc) {
		uc.Close()
		return fmt.Errorf("%w: another user's process answers at %s", ErrForeign, n.rendezvous.path(".sock"))
	}
	n.conn = &connection{unix: uc}
	if err := n.perform(n.machine.Hello(n.listen)); err != nil {
		n.disconnect()
		return fmt.Errorf("%w: %w", errSilent, err)
	}
	uc.SetReadDeadline(time.Now().Add(offerTimeout))
	m, files, err := n.conn.receive(make([]byte, maxMessageBytes))
	uc.SetReadDeadline(time.Time{})
	if err != nil {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return errSilent // the talk stays open: its end tells when the old one has gone
		}
		n.disconnect()
		return fmt.Errorf("%w: %w", errAbsent, err)
	}
	if err := n.handle(m, files); err != nil {
		n.disconnect()
		return err
	}
	n.followPredecessor()
	return nil
}

// disconnect ends the talk.
func (n *Successor) disconnect() {
	if n.conn != nil {
		n.conn.unix.Close()
		n.conn = nil
	}
}

// handle takes a message and the files beside it. The lock is held.
func (n *Successor) handle(m handover.Message, files []*os.File) error {
	defer closeAll(files)
	var o offeredFiles
	var acts []handover.Action
	var err error
	if m.Kind == handover.Offer {
		err = o.open(m, files, n)
	}
	if err == nil {
		acts, err = n.machine.Receive(m)
	}
	if err != nil {
		o.close()
		return err
	}
	if m.Kind == handover.Offer {
		n.rendezvous.adoptLock(o.lock)
		n.passed, n.snapshot, n.table, n.storeLock = o.listeners, m.Snapshot, o.table, o.storeLock
	}
	return n.perform(acts)
}

// offeredFiles is what came beside an offer.
type offeredFiles struct {
	listeners []*net.TCPListener
	lock      *os.File
	table     *SharedTable // nil: none

	storeLock *os.File // nil: none
}

func (o *offeredFiles) close() {
	for _, ln := range o.listeners {
		ln.Close()
	}
	if o.lock != nil {
		o.lock.Close()
	}
	if o.table != nil {
		o.table.Close()
	}
	if o.storeLock != nil {
		o.storeLock.Close()
	}
}

// open takes what came beside an offer to n. The files stay the caller's, and so does
// closing o, also after an error.
func (o *offeredFiles) open(m handover.Message, files []*os.File, n *Successor) error {
	lns, want := max(1, m.ListenerCount), max(1, m.ListenerCount)+1
	if m.IDTable {
		want++
	}
	if m.IdempotencyStore {
		want++
	}
	if len(files) != want || m.Listen != n.listen {
		return fmt.Errorf("%w: %d descriptors for %s, want %d for %s", handover.ErrInvalidOffer, len(files), m.Listen, want, n.listen)
	}
	for _, f := range files[:lns] {
		ln, err := net.FileListener(f)
		if err != nil {
			return fmt.Errorf("%w: %w", handover.ErrInvalidOffer, err)
		}
		tl, ok := ln.(*net.TCPListener)
		if !ok {
			ln.Close()
			return fmt.Errorf("%w: a socket at %s", handover.ErrInvalidOffer, ln.Addr())
		}
		o.listeners = append(o.listeners, tl)
	}
	var err error
	if o.lock, err = duplicate(files[lns], n.rendezvous.path(".lock")); err != nil {
		return err
	}
	if m.IdempotencyStore {
		if o.storeLock, err = duplicate(files[want-1], "the record's lock"); err != nil {
			return err
		}
	}
	if m.IDTable {
		o.table, err = mapSharedTable(files[lns+1], m.InFlightCounts, successorSide)
		switch {
		case err != nil && m.InFlightCounts: // the old one counts on it
			return err
		case err != nil:
			slog.Warn("ids are not shared", "err", err)
		}
	}
	return nil
}

// duplicate is a descriptor of one's own for what came.
func duplicate(f *os.File, name string) (*os.File, error) {
	fd, err := syscall.Dup(int(f.Fd()))
	if err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	syscall.CloseOnExec(fd)
	return os.NewFile(uintptr(fd), name), nil
}

// perform carries out what the machine asks for. The lock is held.
func (n *Successor) perform(acts []handover.Action) error {
	for _, a := range acts {
		switch a.Type {
		case handover.SendMessage:
			if n.conn == nil {
				continue
			}
			if err := n.conn.send(a.Message); err != nil {
				return fmt.Errorf("link: %w", err)
			}
		case handover.Limit:
			n.host.Limit(a.Quota)
		case handover.OpenListener:
			ln, err := Listen(n.listen)
			if err != nil {
				return fmt.Errorf("listen: %w", err)
			}
			n.ownListener = ln
		case handover.TakeListener:
			if n.ownListener != nil { // the old one hung, and has woken
				n.lateListeners <- n.passed
			}
		case handover.Publish:
			close(n.alone)
		}
	}
	return nil
}

// followPredecessor follows what the old process says until it has gone. The lock is held.
func (n *Successor) followPredecessor() {
	c := n.conn
	n.goroutines.Go(func() {
		buf := make([]byte, maxMessageBytes)
		for c != nil {
			m, files, err := c.receive(buf)
			n.mu.Lock()
			if err == nil {
				if err = n.handle(m, files); err != nil && !n.closed {
					slog.Error("hand-over", "err", err)
				}
				refused, locked := errors.Is(err, handover.ErrRejected), n.rendezvous.Locked()
				switch {
				case refused && locked:
					// It lives, and has taken its share back: going on would be too much.
					n.failed <- err
					n.closed = true
				case refused, err != nil && m.Kind == handover.Offer && !locked: // no hand-over comes of it
				default:
					n.mu.Unlock()
					continue
				}
			}
			closed := n.closed
			n.disconnect()
			n.mu.Unlock()
			if closed {
				return
			}
			break
		}
		n.awaitPredecessorExit()
	})
}

// awaitPredecessorExit waits until no old process holds the place, and takes it.
func (n *Successor) awaitPredecessorExit() {
	for {
		n.mu.Lock()
		if n.closed {
			n.mu.Unlock()
			return
		}
		if err := n.rendezvous.Lock(); err == nil {
			n.perform(n.machine.PredecessorLost())
			n.mu.Unlock()
			return
		}
		n.mu.Unlock()
		time.Sleep(5 * retryInterval)
	}
}

// Listeners are the sockets to accept from: an old process's, an own one, or both.
func (n *Successor) Listeners() (list []*net.TCPListener) {
	n.mu.Lock()
	defer n.mu.Unlock()
	list = append(list, n.passed...)
	if n.ownListener != nil {
		list = append(list, n.ownListener)
	}
	return list
}

// LateListeners brings the listeners of an old process that hung and has handed over after all;
// Listeners and IDs have them too by then. The caller serves there and says so by Ready.
func (n *Successor) LateListeners() <-chan []*net.TCPListener { return n.lateListeners }

// Snapshot is what the old process has learned, empty if it said nothing.
func (n *Successor) Snapshot() []byte {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.snapshot
}

// Table is the table that the old process shares, nil for none. It is the caller's to close.
func (n *Successor) Table() *SharedTable {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table
}

// StoreLock is the lock of the store of record that the old process shares, nil for none.
// It is the caller's to close.
func (n *Successor) StoreLock() *os.File {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.storeLock
}

// Ready says that this process takes clients.
func (n *Successor) Ready() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := n.perform(n.machine.Ready()); err != nil {
		slog.Warn("hand-over", "err", err)
	}
}

// HasPredecessor says that an old process is, or was, there.
func (n *Successor) HasPredecessor() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.passed) > 0 || !n.machine.Alone()
}

// Alone is closed when no old process is left, and this one owns all.
func (n *Successor) Alone() <-chan struct{} { return n.alone }

// Failed brings the reason for which this process must end, if there comes one.
func (n *Successor) Failed() <-chan error { return n.failed }

// Close ends this side.
func (n *Successor) Close() {
	n.mu.Lock()
	n.closed = true
	n.disconnect()
	n.mu.Unlock()
	n.goroutines.Wait()
}
