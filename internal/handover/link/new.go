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
	maxOffer  = 1200 * time.Millisecond // an old one answers within it, or hangs
	maxAbsent = 600 * time.Millisecond  // the place is held, and nobody is to be found
	maxBusy   = 3 * time.Second         // another new one is at it
	again     = 20 * time.Millisecond
)

// New is a new process's side of a hand-over.
type New struct {
	place   *Place
	host    Host
	listen  string
	machine *handover.New

	mu       sync.Mutex // of the machine's events, and of all below
	conn     *conn      // to the old one; nil: none
	passed   []*net.TCPListener
	own      *net.TCPListener
	snapshot []byte
	ids      *IDs     // shared with the old one; nil: none
	record   *os.File // the lock of the store of record that came; nil: none
	late     chan []*net.TCPListener
	alone    chan struct{}
	failed   chan error // the old process has called it off
	closed   bool
	wait     sync.WaitGroup
}

// Start finds out whether an old process serves and agrees with it on shares. When
// it returns, this process may hold what the host was told, and Listeners has where
// to accept. No process may accept there and have no way to answer yet: the caller
// begins when it can. record says that this process has a store of record.
func Start(p *Place, listen string, full handover.Quota, record bool, h Host) (*New, error) {
	n := &New{place: p, host: h, listen: listen, machine: handover.NewNew(full), late: make(chan []*net.TCPListener, 1), alone: make(chan struct{}), failed: make(chan error, 1)}
	if record {
		n.machine.HasRecord()
	}
	for began := time.Now(); ; time.Sleep(again) {
		err := n.try()
		took := time.Since(began)
		switch {
		case err == nil:
			return n, nil
		case errors.Is(err, handover.ErrBusy) && took < maxBusy:
		case errors.Is(err, errAbsent) && took < maxAbsent:
		case errors.Is(err, errAbsent), errors.Is(err, errHangs), errors.Is(err, handover.ErrRejected):
			slog.Warn("no hand-over: this process opens a socket of its own beside the old one's", "err", err)
			n.mu.Lock()
			defer n.mu.Unlock()
			if err := n.do(n.machine.Silent()); err != nil {
				return nil, err
			}
			n.watch()
			return n, nil
		case errors.Is(err, ErrForeign):
			slog.Warn("no hand-over: this process is on its own", "err", err)
			n.mu.Lock()
			defer n.mu.Unlock()
			if err := n.do(n.machine.Apart()); err != nil {
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
	errHangs  = errors.New("link: the old process does not answer")
)

// try makes one attempt.
func (n *New) try() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	err := n.place.Lock()
	if err == nil {
		return n.do(n.machine.Nobody())
	}
	if !errors.Is(err, ErrLocked) {
		return err
	}
	addr, done, err := n.place.address(".sock")
	if err != nil {
		return err
	}
	defer done()
	d := net.Dialer{Timeout: maxOffer}
	nc, err := d.Dial("unixpacket", addr)
	switch {
	case errors.Is(err, syscall.EAGAIN): // its queue is full
		return errHangs
	case err != nil:
		return fmt.Errorf("%w: %w", errAbsent, err)
	}
	uc := nc.(*net.UnixConn)
	if !peerIsOwn(uc) {
		uc.Close()
		return fmt.Errorf("%w: another user's process answers at %s", ErrForeign, n.place.path(".sock"))
	}
	n.conn = &conn{uc: uc}
	if err := n.do(n.machine.Begin(n.listen)); err != nil {
		n.hangUp()
		return fmt.Errorf("%w: %w", errHangs, err)
	}
	uc.SetReadDeadline(time.Now().Add(maxOffer))
	m, files, err := n.conn.receive(make([]byte, maxMessage))
	uc.SetReadDeadline(time.Time{})
	if err != nil {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return errHangs // the talk stays open: its end tells when the old one has gone
		}
		n.hangUp()
		return fmt.Errorf("%w: %w", errAbsent, err)
	}
	if err := n.took(m, files); err != nil {
		n.hangUp()
		return err
	}
	n.watch()
	return nil
}

// hangUp ends the talk.
func (n *New) hangUp() {
	if n.conn != nil {
		n.conn.uc.Close()
		n.conn = nil
	}
}

// took takes a message and the files beside it. The lock is held.
func (n *New) took(m handover.Message, files []*os.File) error {
	defer closeAll(files)
	var o offered
	var acts []handover.Action
	var err error
	if m.Kind == handover.Offer {
		err = o.open(m, files, n)
	}
	if err == nil {
		acts, err = n.machine.Came(m)
	}
	if err != nil {
		o.close()
		return err
	}
	if m.Kind == handover.Offer {
		n.place.take(o.lock)
		n.passed, n.snapshot, n.ids, n.record = o.lns, m.Snapshot, o.ids, o.record
	}
	return n.do(acts)
}

// offered is what came beside an offer.
type offered struct {
	lns  []*net.TCPListener
	lock *os.File
	ids  *IDs // nil: none

	record *os.File // nil: none
}

func (o *offered) close() {
	for _, ln := range o.lns {
		ln.Close()
	}
	if o.lock != nil {
		o.lock.Close()
	}
	if o.ids != nil {
		o.ids.Close()
	}
	if o.record != nil {
		o.record.Close()
	}
}

// open takes what came beside an offer to n. The files stay the caller's, and so does
// closing o, also after an error.
func (o *offered) open(m handover.Message, files []*os.File, n *New) error {
	lns, want := max(1, m.Listeners), max(1, m.Listeners)+1
	if m.IDs {
		want++
	}
	if m.Record {
		want++
	}
	if len(files) != want || m.Listen != n.listen {
		return fmt.Errorf("%w: %d descriptors for %s, want %d for %s", handover.ErrShape, len(files), m.Listen, want, n.listen)
	}
	for _, f := range files[:lns] {
		ln, err := net.FileListener(f)
		if err != nil {
			return fmt.Errorf("%w: %w", handover.ErrShape, err)
		}
		tl, ok := ln.(*net.TCPListener)
		if !ok {
			ln.Close()
			return fmt.Errorf("%w: a socket at %s", handover.ErrShape, ln.Addr())
		}
		o.lns = append(o.lns, tl)
	}
	var err error
	if o.lock, err = keep(files[lns], n.place.path(".lock")); err != nil {
		return err
	}
	if m.Record {
		if o.record, err = keep(files[want-1], "the record's lock"); err != nil {
			return err
		}
	}
	if m.IDs {
		o.ids, err = mapIDs(files[lns+1], m.Counts, newer)
		switch {
		case err != nil && m.Counts: // the old one counts on it
			return err
		case err != nil:
			slog.Warn("ids are not shared", "err", err)
		}
	}
	return nil
}

// keep is a descriptor of one's own for what came.
func keep(f *os.File, name string) (*os.File, error) {
	fd, err := syscall.Dup(int(f.Fd()))
	if err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	syscall.CloseOnExec(fd)
	return os.NewFile(uintptr(fd), name), nil
}

// do carries out what the machine asks for. The lock is held.
func (n *New) do(acts []handover.Action) error {
	for _, a := range acts {
		switch a.Do {
		case handover.Send:
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
			n.own = ln
		case handover.TakeListener:
			if n.own != nil { // the old one hung, and has woken
				n.late <- n.passed
			}
		case handover.Publish:
			close(n.alone)
		}
	}
	return nil
}

// watch follows what the old process says until it has gone. The lock is held.
func (n *New) watch() {
	c := n.conn
	n.wait.Go(func() {
		buf := make([]byte, maxMessage)
		for c != nil {
			m, files, err := c.receive(buf)
			n.mu.Lock()
			if err == nil {
				if err = n.took(m, files); err != nil && !n.closed {
					slog.Error("hand-over", "err", err)
				}
				refused, locked := errors.Is(err, handover.ErrRejected), n.place.Locked()
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
			n.hangUp()
			n.mu.Unlock()
			if closed {
				return
			}
			break
		}
		n.gone()
	})
}

// gone waits until no old process holds the place, and takes it.
func (n *New) gone() {
	for {
		n.mu.Lock()
		if n.closed {
			n.mu.Unlock()
			return
		}
		if err := n.place.Lock(); err == nil {
			n.do(n.machine.Lost())
			n.mu.Unlock()
			return
		}
		n.mu.Unlock()
		time.Sleep(5 * again)
	}
}

// Listeners are the sockets to accept from: an old process's, an own one, or both.
func (n *New) Listeners() (list []*net.TCPListener) {
	n.mu.Lock()
	defer n.mu.Unlock()
	list = append(list, n.passed...)
	if n.own != nil {
		list = append(list, n.own)
	}
	return list
}

// LateListeners brings the listeners of an old process that hung and has handed over after all;
// Listeners and IDs have them too by then. The caller serves there and says so by Ready.
func (n *New) LateListeners() <-chan []*net.TCPListener { return n.late }

// Snapshot is what the old process has learned, empty if it said nothing.
func (n *New) Snapshot() []byte {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.snapshot
}

// IDs is the table that the old process shares, nil for none. It is the caller's to close.
func (n *New) IDs() *IDs {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ids
}

// Record is the lock of the store of record that the old process shares, nil for none.
// It is the caller's to close.
func (n *New) Record() *os.File {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.record
}

// Ready says that this process takes clients.
func (n *New) Ready() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := n.do(n.machine.Ready()); err != nil {
		slog.Warn("hand-over", "err", err)
	}
}

// Shared says that an old process is, or was, there.
func (n *New) Shared() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.passed) > 0 || !n.machine.Alone()
}

// Alone is closed when no old process is left, and this one owns all.
func (n *New) Alone() <-chan struct{} { return n.alone }

// Failed brings the reason for which this process must end, if there comes one.
func (n *New) Failed() <-chan error { return n.failed }

// Close ends this side.
func (n *New) Close() {
	n.mu.Lock()
	n.closed = true
	n.hangUp()
	n.mu.Unlock()
	n.wait.Wait()
}
