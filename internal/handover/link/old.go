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
	// ShareTable makes the ids that this process has open known to another one by t, and
	// the other's to this one; so with how many requests it holds, where t is counted.
	// When it returns, a table before is not used any more.
	ShareTable(t *SharedTable)
	// UnshareTable ends that. When it returns, t is not used any more.
	UnshareTable(t *SharedTable)
}

// Predecessor lets new processes find this one and hands over to one of them.
type Predecessor struct {
	rendezvous *Rendezvous
	listeners  []*net.TCPListener
	host       Host

	mu         sync.Mutex // of all below, and of the machine's events
	machine    *handover.Predecessor
	listener   *net.UnixListener
	peers      map[int]*peer
	lastPeer   int
	table      *SharedTable // shared with the peer tablePeer; nil: none
	tablePeer  int
	tableFile  *os.File // of ids, until it is sent
	storeLock  *os.File // the lock of this process's store of record; nil: none
	closed     bool
	goroutines sync.WaitGroup
}

// peer is a process that talks to this one.
type peer struct {
	connection
	timer *time.Timer // until it must have said that it serves
}

// NewPredecessor returns the old one's side for a process that serves on lns and has the place.
func NewPredecessor(p *Rendezvous, lns []*net.TCPListener, m *handover.Predecessor, h Host) *Predecessor {
	return &Predecessor{rendezvous: p, listeners: lns, machine: m, host: h, peers: make(map[int]*peer)}
}

// PassStoreLock lets a new process share the ownership of this one's store of record, which
// is a lock on a file. It is called before Publish; the file stays the caller's, and open
// until Close.
func (o *Predecessor) PassStoreLock(lock *os.File) {
	o.storeLock = lock
	o.machine.SetOwnsStore()
}

// Publish lets new processes find this one. A file that an ended process left is replaced.
func (o *Predecessor) Publish() error {
	addr, done, err := o.rendezvous.socketAddress(".new")
	if err != nil {
		return err
	}
	defer done()
	os.Remove(o.rendezvous.path(".new"))
	door, err := net.ListenUnix("unixpacket", &net.UnixAddr{Net: "unixpacket", Name: addr})
	if err != nil {
		return fmt.Errorf("link: %w", err)
	}
	door.SetUnlinkOnClose(false) // by then the name may be another process's
	if err = os.Chmod(o.rendezvous.path(".new"), 0o600); err == nil {
		err = os.Rename(o.rendezvous.path(".new"), o.rendezvous.path(".sock"))
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
	o.listener = door
	o.goroutines.Go(func() { o.accept(door) })
	return nil
}

func (o *Predecessor) accept(door *net.UnixListener) {
	for {
		uc, err := netconn.Accept("hand-over", door.AcceptUnix, nil)
		if err != nil {
			return
		}
		if !isSameUser(uc) {
			uc.Close()
			continue
		}
		o.mu.Lock()
		if o.closed || len(o.peers) >= maxPeers {
			o.mu.Unlock()
			uc.Close()
			continue
		}
		o.lastPeer++
		id, p := o.lastPeer, &peer{connection: connection{unix: uc}}
		p.timer = time.AfterFunc(servingTimeout, func() { o.overdue(id) })
		o.peers[id] = p
		o.goroutines.Go(func() { o.read(id, p) })
		o.mu.Unlock()
	}
}

func (o *Predecessor) read(id int, p *peer) {
	buf := make([]byte, 4<<10) // what a new one says is short
	for {
		m, files, err := p.receive(buf)
		closeAll(files)
		o.mu.Lock()
		if err != nil {
			if o.peers[id] == p {
				o.disconnect(id)
			}
			o.mu.Unlock()
			return
		}
		if m.Kind == handover.Serving {
			p.timer.Stop()
		}
		slog.Info("hand-over", "from", "new", "kind", m.Kind)
		o.perform(o.machine.Receive(id, m))
		o.mu.Unlock()
	}
}

// overdue ends a hand-over whose new process neither serves nor ends.
func (o *Predecessor) overdue(id int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if p := o.peers[id]; p != nil {
		p.send(handover.Message{Kind: handover.Reject, Version: handover.Version, Reason: "it took too long to serve"})
		o.disconnect(id)
	}
}

// disconnect ends the talk with a peer. The lock is held.
func (o *Predecessor) disconnect(id int) {
	p := o.peers[id]
	if p == nil {
		return
	}
	delete(o.peers, id)
	p.timer.Stop()
	p.unix.Close()
	if !o.closed {
		o.perform(o.machine.PeerLost(id))
	}
	if o.tablePeer == id { // after the limits, which grow: without the count they were less
		o.unshareTable()
	}
}

// perform carries out what the machine asks for. The lock is held.
func (o *Predecessor) perform(acts []handover.Action) {
	for _, a := range acts {
		switch a.Type {
		case handover.SendMessage:
			if p := o.peers[a.To]; p != nil && p.send(a.Message) != nil {
				o.disconnect(a.To)
			}
		case handover.SendIDTable:
			o.shareTable(a.To, a.Message.InFlightCounts)
		case handover.SendListener:
			if o.sendListener(a) != nil {
				o.disconnect(a.To)
			}
		case handover.Drop:
			o.disconnect(a.To)
		case handover.Limit:
			o.host.Limit(a.Quota)
		case handover.Unpublish:
			if o.listener != nil {
				o.listener.Close()
			}
		case handover.StopAccepting:
			o.host.StopAccepting()
		}
	}
}

// sendListener sends a message with the listening sockets, the place's lock, the table
// that is shared with the peer, and the lock of the store of record.
func (o *Predecessor) sendListener(a handover.Action) error {
	p := o.peers[a.To]
	if p == nil {
		return net.ErrClosed
	}
	lns := o.listeners
	if !a.Message.MultipleListeners {
		lns = lns[:1]
	}
	a.Message.ListenerCount = len(lns)
	rest := []int{int(o.rendezvous.lock.Fd())}
	if o.tableFile != nil && o.tablePeer == a.To {
		defer o.closeTableFile()
		rest = append(rest, int(o.tableFile.Fd()))
	} else {
		a.Message.IDTable, a.Message.InFlightCounts = false, false
	}
	if a.Message.IdempotencyStore {
		rest = append(rest, int(o.storeLock.Fd()))
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

// shareTable makes a table and shares it with a peer. The lock is held.
func (o *Predecessor) shareTable(with int, counted bool) {
	o.unshareTable()
	t, file, err := newSharedTable(counted)
	if err != nil { // each knows its own ids then, and keeps to its share
		slog.Warn("ids are not shared", "err", err)
		return
	}
	o.table, o.tablePeer, o.tableFile = t, with, file
	o.host.ShareTable(t)
}

// closeTableFile closes the table's file. The lock is held.
func (o *Predecessor) closeTableFile() {
	if o.tableFile != nil {
		o.tableFile.Close()
		o.tableFile = nil
	}
}

// unshareTable ends the sharing. The lock is held.
func (o *Predecessor) unshareTable() {
	o.closeTableFile()
	if o.table != nil {
		o.host.UnshareTable(o.table)
		o.table.Close()
		o.table, o.tablePeer = nil, 0
	}
}

// SetLimits takes new limits of the configuration.
func (o *Predecessor) SetLimits(full handover.Quota) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.perform(o.machine.SetLimits(full))
}

// Terminate says that this process ends when all is answered; true if a new one serves.
func (o *Predecessor) Terminate() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.perform(o.machine.Terminate())
	return o.machine.SuccessorServing()
}

// ReleaseUnused says what this process still holds; true if a new one serves.
func (o *Predecessor) ReleaseUnused(use handover.Quota) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.perform(o.machine.ReleaseUnused(use))
	return o.machine.SuccessorServing()
}

// HasPeers says that a process has come that may take over.
func (o *Predecessor) HasPeers() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.peers) > 0
}

// Close ends this side for good: a new process learns by it that this one has gone.
func (o *Predecessor) Close() {
	o.mu.Lock()
	o.closed = true
	if o.listener != nil {
		o.listener.Close()
	}
	for id := range o.peers {
		o.disconnect(id)
	}
	o.mu.Unlock()
	o.goroutines.Wait()
}
