package link

import (
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync"
	"time"

	"martendrum/internal/handover"
	"martendrum/internal/netconn"
)

// Host is the process that a hand-over is about. Its methods are called from one
// goroutine at a time, and must not call back.
type Host interface {
	// Limit keeps this process to a share from now on, and returns when it does, as
	// far as it can without ending what has begun.
	Limit(s handover.Quota)
	// StopAccepting closes this process's end of the listening socket.
	StopAccepting()
	// ShareIDs makes the ids that this process has open known to another one by t, and
	// the other's to this one; so with how many requests it holds, where t is counted.
	// When it returns, a table before is not used any more.
	ShareIDs(t *IDs)
	// UnshareIDs ends that. When it returns, t is not used any more.
	UnshareIDs(t *IDs)
}

// Old lets new processes find this one and hands over to one of them.
type Old struct {
	place *Place
	lns   []*net.TCPListener
	host  Host

	mu      sync.Mutex // of all below, and of the machine's events
	machine *handover.Old
	door    *net.UnixListener
	peers   map[int]*peer
	last    int
	ids     *IDs // shared with the peer idsOf; nil: none
	idsOf   int
	idsFile *os.File // of ids, until it is sent
	record  *os.File // the lock of this process's store of record; nil: none
	closed  bool
	wait    sync.WaitGroup
}

// peer is a process that talks to this one.
type peer struct {
	conn
	timer *time.Timer // until it must have said that it serves
}

// NewOld returns the old one's side for a process that serves on lns and has the place.
func NewOld(p *Place, lns []*net.TCPListener, m *handover.Old, h Host) *Old {
	return &Old{place: p, lns: lns, machine: m, host: h, peers: make(map[int]*peer)}
}

// PassRecord lets a new process share the ownership of this one's store of record, which
// is a lock on a file. It is called before Publish; the file stays the caller's, and open
// until Close.
func (o *Old) PassRecord(lock *os.File) {
	o.record = lock
	o.machine.OwnsRecord()
}

// Publish lets new processes find this one. A file that an ended process left is replaced.
func (o *Old) Publish() error {
	addr, done, err := o.place.address(".new")
	if err != nil {
		return err
	}
	defer done()
	os.Remove(o.place.path(".new"))
	door, err := net.ListenUnix("unixpacket", &net.UnixAddr{Net: "unixpacket", Name: addr})
	if err != nil {
		return fmt.Errorf("link: %w", err)
	}
	door.SetUnlinkOnClose(false) // by then the name may be another process's
	if err = os.Chmod(o.place.path(".new"), 0o600); err == nil {
		err = os.Rename(o.place.path(".new"), o.place.path(".sock"))
	}
	if err != nil {
		door.Close()
		return fmt.Errorf("link: %w", err)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		door.Close()
		return nil
	}
	o.door = door
	o.wait.Go(func() { o.accept(door) })
	return nil
}

func (o *Old) accept(door *net.UnixListener) {
	for {
		uc, err := netconn.Accept("hand-over", door.AcceptUnix, nil)
		if err != nil {
			return
		}
		if !peerIsOwn(uc) {
			uc.Close()
			continue
		}
		o.mu.Lock()
		if o.closed || len(o.peers) >= maxPeers {
			o.mu.Unlock()
			uc.Close()
			continue
		}
		o.last++
		id, p := o.last, &peer{conn: conn{uc: uc}}
		p.timer = time.AfterFunc(maxServing, func() { o.overdue(id) })
		o.peers[id] = p
		o.wait.Go(func() { o.read(id, p) })
		o.mu.Unlock()
	}
}

func (o *Old) read(id int, p *peer) {
	buf := make([]byte, 4<<10) // what a new one says is short
	for {
		m, files, err := p.receive(buf)
		closeAll(files)
		o.mu.Lock()
		if err != nil {
			if o.peers[id] == p {
				o.drop(id)
			}
			o.mu.Unlock()
			return
		}
		if m.Kind == handover.Serving {
			p.timer.Stop()
		}
		slog.Info("hand-over", "from", "new", "kind", m.Kind)
		o.do(o.machine.Came(id, m))
		o.mu.Unlock()
	}
}

// overdue ends a hand-over whose new process neither serves nor ends.
func (o *Old) overdue(id int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if p := o.peers[id]; p != nil {
		p.send(handover.Message{Kind: handover.Reject, Version: handover.Version, Why: "it took too long to serve"})
		o.drop(id)
	}
}

// drop ends the talk with a peer. The lock is held.
func (o *Old) drop(id int) {
	p := o.peers[id]
	if p == nil {
		return
	}
	delete(o.peers, id)
	p.timer.Stop()
	p.uc.Close()
	if !o.closed {
		o.do(o.machine.Lost(id))
	}
	if o.idsOf == id { // after the limits, which grow: without the count they were less
		o.unshareIDs()
	}
}

// do carries out what the machine asks for. The lock is held.
func (o *Old) do(acts []handover.Action) {
	for _, a := range acts {
		switch a.Do {
		case handover.Send:
			if p := o.peers[a.To]; p != nil && p.send(a.Message) != nil {
				o.drop(a.To)
			}
		case handover.SendIDTable:
			o.shareIDs(a.To, a.Message.Counts)
		case handover.SendListener:
			if o.sendListener(a) != nil {
				o.drop(a.To)
			}
		case handover.Drop:
			o.drop(a.To)
		case handover.Limit:
			o.host.Limit(a.Quota)
		case handover.Unpublish:
			if o.door != nil {
				o.door.Close()
			}
		case handover.StopAccepting:
			o.host.StopAccepting()
		}
	}
}

// sendListener sends a message with the listening sockets, the place's lock, the table
// that is shared with the peer, and the lock of the store of record.
func (o *Old) sendListener(a handover.Action) error {
	p := o.peers[a.To]
	if p == nil {
		return net.ErrClosed
	}
	lns := o.lns
	if !a.Message.Many {
		lns = lns[:1]
	}
	a.Message.Listeners = len(lns)
	rest := []int{int(o.place.lock.Fd())}
	if o.idsFile != nil && o.idsOf == a.To {
		defer o.sentIDs()
		rest = append(rest, int(o.idsFile.Fd()))
	} else {
		a.Message.IDs, a.Message.Counts = false, false
	}
	if a.Message.Record {
		rest = append(rest, int(o.record.Fd()))
	}
	err := withFDs(lns, nil, func(fds []int) error { return p.send(a.Message, append(fds, rest...)...) })
	if err != nil {
		slog.Warn("the listener could not be handed over", "err", err)
	}
	return err
}

// withFDs calls do with the descriptors of sockets, which stay open and as they are
// meanwhile. File would make them blocking for both processes.
func withFDs(lns []*net.TCPListener, fds []int, do func(fds []int) error) error {
	if len(lns) == 0 {
		return do(fds)
	}
	raw, err := lns[0].SyscallConn()
	if err != nil {
		return err
	}
	if e := raw.Control(func(fd uintptr) { err = withFDs(lns[1:], append(fds, int(fd)), do) }); e != nil {
		return e
	}
	return err
}

// shareIDs makes a table and shares it with a peer. The lock is held.
func (o *Old) shareIDs(with int, counted bool) {
	o.unshareIDs()
	t, file, err := newIDs(counted)
	if err != nil { // each knows its own ids then, and keeps to its share
		slog.Warn("ids are not shared", "err", err)
		return
	}
	o.ids, o.idsOf, o.idsFile = t, with, file
	o.host.ShareIDs(t)
}

// sentIDs closes the table's file. The lock is held.
func (o *Old) sentIDs() {
	if o.idsFile != nil {
		o.idsFile.Close()
		o.idsFile = nil
	}
}

// unshareIDs ends the sharing. The lock is held.
func (o *Old) unshareIDs() {
	o.sentIDs()
	if o.ids != nil {
		o.host.UnshareIDs(o.ids)
		o.ids.Close()
		o.ids, o.idsOf = nil, 0
	}
}

// Retuned takes new limits of the configuration.
func (o *Old) Retuned(full handover.Quota) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.do(o.machine.Reconfigured(full))
}

// Leave says that this process ends when all is answered; true if a new one serves.
func (o *Old) Leave() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.do(o.machine.Leave())
	return o.machine.Succeeded()
}

// Needs says what this process still holds; true if a new one serves.
func (o *Old) Needs(use handover.Quota) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.do(o.machine.Needs(use))
	return o.machine.Succeeded()
}

// Talking says that a process has come that may take over.
func (o *Old) Talking() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.peers) > 0
}

// Close ends this side for good: a new process learns by it that this one has gone.
func (o *Old) Close() {
	o.mu.Lock()
	o.closed = true
	if o.door != nil {
		o.door.Close()
	}
	for id := range o.peers {
		o.drop(id)
	}
	o.mu.Unlock()
	o.wait.Wait()
}
