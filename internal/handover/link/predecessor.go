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

const (
	// servingTimeout is how long a successor may take from its connection to serving.
	servingTimeout = 15 * time.Second
	// maxPeers is how many processes may be connected to the predecessor.
	maxPeers = 4
	// maxSuccessorMessage is the longest message of a successor, in bytes.
	maxSuccessorMessage = 4 << 10
)

// Host is the process that hands over or takes over. Its methods are called by one
// goroutine at a time and must not call back.
type Host interface {
	// Limit keeps this process to a quota from now on. It returns when it does, as far as
	// it can without ending what has begun.
	Limit(quota handover.Quota)
	// StopAccepting closes this process's listening sockets.
	StopAccepting()
	// ShareTable makes the request ids of this process known to the other one by the
	// table, and those of the other to this one; so with the requests in flight, where the
	// table has counts. When it returns, a table shared before is not used any more.
	ShareTable(table *SharedTable)
	// UnshareTable ends that. When it returns, the table is not used any more.
	UnshareTable(table *SharedTable)
}

// PredecessorEnd is the end of a hand-over at the process that serves: it lets successors
// find this process and hands over to one of them.
type PredecessorEnd struct {
	rendezvous *Rendezvous
	listeners  []*net.TCPListener
	host       Host

	mu         sync.Mutex // guards the machine and all below
	machine    *handover.Predecessor
	listener   *net.UnixListener
	peers      map[int]*peer
	lastPeer   int
	table      *SharedTable // shared with tablePeer; nil: none
	tablePeer  int
	tableFile  *os.File // of table, until it is sent
	storeLock  *os.File // of this process's idempotency store; nil: none
	closed     bool
	goroutines sync.WaitGroup
}

// peer is a process that is connected to this one.
type peer struct {
	connection
	timer *time.Timer // fires if it does not serve in time
}

// NewPredecessorEnd returns the end of a process that serves on listeners and has the
// rendezvous' lock.
func NewPredecessorEnd(rendezvous *Rendezvous, listeners []*net.TCPListener, machine *handover.Predecessor, host Host) *PredecessorEnd {
	return &PredecessorEnd{rendezvous: rendezvous, listeners: listeners, machine: machine, host: host, peers: make(map[int]*peer)}
}

// PassStoreLock lets a successor share the ownership of this process's idempotency store,
// which is a lock on a file. It is called before Publish. The caller closes the file, after
// Close.
func (p *PredecessorEnd) PassStoreLock(lock *os.File) {
	p.storeLock = lock
	p.machine.SetOwnsStore()
}

// Publish lets successors find this process. The socket of an ended process is replaced.
func (p *PredecessorEnd) Publish() error {
	listener, err := p.publishSocket()
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		listener.Close()
		return nil
	}
	p.listener = listener
	p.goroutines.Go(func() { p.accept(listener) })
	return nil
}

// publishSocket listens on a new socket and renames it into place.
func (p *PredecessorEnd) publishSocket() (*net.UnixListener, error) {
	address, done, err := p.rendezvous.socketAddress(newSocketSuffix)
	if err != nil {
		return nil, err
	}
	defer done()
	unpublished := p.rendezvous.path(newSocketSuffix)
	os.Remove(unpublished)
	listener, err := net.ListenUnix("unixpacket", &net.UnixAddr{Net: "unixpacket", Name: address})
	if err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	listener.SetUnlinkOnClose(false) // by then the name may be another process's
	if err = os.Chmod(unpublished, filePermissions); err == nil {
		err = os.Rename(unpublished, p.rendezvous.path(socketSuffix))
	}
	if err != nil {
		listener.Close()
		return nil, fmt.Errorf("link: %w", err)
	}
	return listener, nil
}

// accept takes connections until the listener is closed.
func (p *PredecessorEnd) accept(listener *net.UnixListener) {
	for {
		unix, err := netconn.Accept("hand-over", listener.AcceptUnix, nil)
		if err != nil {
			return
		}
		if !isSameUser(unix) || !p.addPeer(unix) {
			unix.Close()
		}
	}
}

// addPeer starts to read from a new peer. It returns false where there are too many.
func (p *PredecessorEnd) addPeer(unix *net.UnixConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.peers) >= maxPeers {
		return false
	}
	p.lastPeer++
	id, added := p.lastPeer, &peer{connection: connection{unix: unix}}
	added.timer = time.AfterFunc(servingTimeout, func() { p.overdue(id) })
	p.peers[id] = added
	p.goroutines.Go(func() { p.read(id, added) })
	return true
}

// read handles a peer's messages until it disconnects.
func (p *PredecessorEnd) read(id int, from *peer) {
	buffer := make([]byte, maxSuccessorMessage)
	for {
		message, files, err := from.receive(buffer)
		closeAll(files)
		p.mu.Lock()
		if err != nil {
			if p.peers[id] == from {
				p.disconnect(id)
			}
			p.mu.Unlock()
			return
		}
		if message.Kind == handover.Serving {
			from.timer.Stop()
		}
		slog.Info("hand-over", "from", "new", "kind", message.Kind)
		p.perform(p.machine.Receive(id, message))
		p.mu.Unlock()
	}
}

// overdue rejects a successor that does not serve in time.
func (p *PredecessorEnd) overdue(id int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if late := p.peers[id]; late != nil {
		late.send(handover.Message{Kind: handover.Reject, Version: handover.Version, Reason: "it took too long to serve"})
		p.disconnect(id)
	}
}

// disconnect closes the connection to a peer. The caller holds the lock.
func (p *PredecessorEnd) disconnect(id int) {
	dropped := p.peers[id]
	if dropped == nil {
		return
	}
	delete(p.peers, id)
	dropped.timer.Stop()
	dropped.unix.Close()
	if !p.closed {
		p.perform(p.machine.PeerLost(id))
	}
	// After the limits have grown: without the counts, the smaller ones would apply alone.
	if p.tablePeer == id {
		p.unshareTable()
	}
}

// perform carries out the machine's actions. The caller holds the lock.
func (p *PredecessorEnd) perform(actions []handover.Action) {
	for _, action := range actions {
		switch action.Type {
		case handover.SendMessage:
			if to := p.peers[action.To]; to != nil && to.send(action.Message) != nil {
				p.disconnect(action.To)
			}
		case handover.SendIDTable:
			p.shareTable(action.To, action.Message.InFlightCounts)
		case handover.SendListener:
			if p.sendListener(action) != nil {
				p.disconnect(action.To)
			}
		case handover.Drop:
			p.disconnect(action.To)
		case handover.Limit:
			p.host.Limit(action.Quota)
		case handover.Unpublish:
			if p.listener != nil {
				p.listener.Close()
			}
		case handover.StopAccepting:
			p.host.StopAccepting()
		}
	}
}

// sendListener sends an offer with the files that offeredFiles lists.
func (p *PredecessorEnd) sendListener(action handover.Action) error {
	to, offer := p.peers[action.To], action.Message
	if to == nil {
		return net.ErrClosed
	}
	listeners := p.listeners
	if !offer.MultipleListeners {
		listeners = listeners[:1]
	}
	offer.ListenerCount = len(listeners)
	others := []int{int(p.rendezvous.lock.Fd())}
	if p.tableFile != nil && p.tablePeer == action.To {
		defer p.closeTableFile()
		others = append(others, int(p.tableFile.Fd()))
	} else {
		offer.IDTable, offer.InFlightCounts = false, false
	}
	if offer.IdempotencyStore {
		others = append(others, int(p.storeLock.Fd()))
	}
	err := withDescriptors(listeners, nil, func(descriptors []int) error {
		return to.send(offer, append(descriptors, others...)...)
	})
	if err != nil {
		slog.Warn("the listener could not be handed over", "err", err)
	}
	return err
}

// withDescriptors calls use with the descriptors of sockets, which stay open meanwhile.
// TCPListener.File would make them blocking for both processes.
func withDescriptors(listeners []*net.TCPListener, descriptors []int, use func(descriptors []int) error) error {
	if len(listeners) == 0 {
		return use(descriptors)
	}
	raw, err := listeners[0].SyscallConn()
	if err != nil {
		return err
	}
	if controlErr := raw.Control(func(descriptor uintptr) {
		err = withDescriptors(listeners[1:], append(descriptors, int(descriptor)), use)
	}); controlErr != nil {
		return controlErr
	}
	return err
}

// shareTable makes a table and shares it with a peer. The caller holds the lock.
func (p *PredecessorEnd) shareTable(with int, counted bool) {
	p.unshareTable()
	table, file, err := newSharedTable(counted)
	if err != nil { // each process knows its own ids then, and keeps to its quota
		slog.Warn("ids are not shared", "err", err)
		return
	}
	p.table, p.tablePeer, p.tableFile = table, with, file
	p.host.ShareTable(table)
}

// closeTableFile closes the table's file. The caller holds the lock.
func (p *PredecessorEnd) closeTableFile() {
	if p.tableFile != nil {
		p.tableFile.Close()
		p.tableFile = nil
	}
}

// unshareTable ends the sharing of the table. The caller holds the lock.
func (p *PredecessorEnd) unshareTable() {
	p.closeTableFile()
	if p.table != nil {
		p.host.UnshareTable(p.table)
		p.table.Close()
		p.table, p.tablePeer = nil, 0
	}
}

// SetLimits takes new limits of the settings.
func (p *PredecessorEnd) SetLimits(limits handover.Quota) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.perform(p.machine.SetLimits(limits))
}

// Terminate says that this process ends once its requests are answered; true if a
// successor serves.
func (p *PredecessorEnd) Terminate() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.perform(p.machine.Terminate())
	return p.machine.SuccessorServing()
}

// ReleaseUnused takes what this process still uses; true if a successor serves.
func (p *PredecessorEnd) ReleaseUnused(used handover.Quota) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.perform(p.machine.ReleaseUnused(used))
	return p.machine.SuccessorServing()
}

// HasPeers says whether a process is connected that may take over.
func (p *PredecessorEnd) HasPeers() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.peers) > 0
}

// Close closes all connections, by which a successor learns that this process has ended.
func (p *PredecessorEnd) Close() {
	p.mu.Lock()
	p.closed = true
	if p.listener != nil {
		p.listener.Close()
	}
	for id := range p.peers {
		p.disconnect(id)
	}
	p.mu.Unlock()
	p.goroutines.Wait()
}
