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
	// servingTimeout is the maximum time from the connection of a successor until it serves.
	servingTimeout = 15 * time.Second
	// maxPeers is the maximum number of processes that are connected to the predecessor.
	maxPeers = 4
	// maxSuccessorMessage is the maximum length of a successor's message, in bytes.
	maxSuccessorMessage = 4 << 10
)

// Host is the process that hands over or takes over. Its methods are called by one goroutine at
// a time. They must not call methods of the PredecessorEnd or SuccessorEnd that calls them.
type Host interface {
	// Limit makes this process use no more than quota from now on. Before it returns, it
	// releases what exceeds the quota, except for what requests in progress still use.
	Limit(quota handover.Quota)
	// StopAccepting closes this process's listening sockets.
	StopAccepting()
	// ShareTable makes the request ids of each process known to the other one through table,
	// and also the numbers of requests in flight if the table has counts. When it returns, a
	// table that was shared before is no longer in use.
	ShareTable(table *SharedTable)
	// UnshareTable ends the use of a shared table. When it returns, the table is no longer in
	// use.
	UnshareTable(table *SharedTable)
}

// PredecessorEnd is the predecessor's end of a hand-over: it lets successors find this process
// and hands over to one of them. Its methods are safe for concurrent use unless they say
// otherwise.
type PredecessorEnd struct {
	rendezvous *Rendezvous
	listeners  []*net.TCPListener
	host       Host

	mu         sync.Mutex // guards the machine and all fields below
	machine    *handover.Predecessor
	listener   *net.UnixListener
	peers      map[int]*peer // by id
	lastPeerID int
	table      *SharedTable // shared with tablePeer; nil: none
	tablePeer  int          // a peer's id
	tableFile  *os.File     // of table, until it is sent
	storeLock  *os.File     // of this process's idempotency store; nil: none
	closed     bool
	goroutines sync.WaitGroup
}

// peer is a connected process, which may become the successor.
type peer struct {
	connection
	timer *time.Timer // fires after servingTimeout, unless the peer serves before
}

// NewPredecessorEnd returns the end of a process that serves on listeners and has the lock of the
// rendezvous. Successors find the process after Publish.
func NewPredecessorEnd(rendezvous *Rendezvous, listeners []*net.TCPListener, machine *handover.Predecessor, host Host) *PredecessorEnd {
	return &PredecessorEnd{rendezvous: rendezvous, listeners: listeners, machine: machine, host: host, peers: make(map[int]*peer)}
}

// PassStoreLock lets a successor share the ownership of this process's idempotency store, which
// belongs to the processes that have the locked file open. It must be called before Publish. The
// caller closes the file after it has called Close.
func (p *PredecessorEnd) PassStoreLock(lock *os.File) {
	p.storeLock = lock
	p.machine.SetOwnsStore()
}

// Publish lets successors find this process. It replaces the socket of a process that has ended.
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

// publishSocket listens on a new socket, and then renames its file to the name that successors
// use.
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
	listener.SetUnlinkOnClose(false) // at that time the file may be another process's
	if err = os.Chmod(unpublished, filePermissions); err == nil {
		err = os.Rename(unpublished, p.rendezvous.path(socketSuffix))
	}
	if err != nil {
		listener.Close()
		return nil, fmt.Errorf("link: %w", err)
	}
	return listener, nil
}

// accept accepts connections of successors until the listener is closed.
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

// addPeer starts to read from a new peer. It returns false if there are too many peers or p is
// closed.
func (p *PredecessorEnd) addPeer(unix *net.UnixConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.peers) >= maxPeers {
		return false
	}
	p.lastPeerID++
	id, added := p.lastPeerID, &peer{connection: connection{unix: unix}}
	added.timer = time.AfterFunc(servingTimeout, func() { p.rejectOverdue(id) })
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

// rejectOverdue rejects a peer that does not serve within servingTimeout.
func (p *PredecessorEnd) rejectOverdue(id int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if late := p.peers[id]; late != nil {
		late.send(handover.Message{Kind: handover.Reject, Version: handover.Version, Reason: "the successor did not serve in time"})
		p.disconnect(id)
	}
}

// disconnect closes the connection to a peer. The caller holds mu.
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
	// The table is unshared after PeerLost has restored the limits: without its counts, the
	// smaller limits would apply meanwhile.
	if p.tablePeer == id {
		p.unshareTable()
	}
}

// perform carries out actions of the machine. The caller holds mu.
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
	otherDescriptors := []int{int(p.rendezvous.lock.Fd())}
	if p.tableFile != nil && p.tablePeer == action.To {
		defer p.closeTableFile()
		otherDescriptors = append(otherDescriptors, int(p.tableFile.Fd()))
	} else {
		offer.IDTable, offer.InFlightCounts = false, false
	}
	if offer.IdempotencyStore {
		otherDescriptors = append(otherDescriptors, int(p.storeLock.Fd()))
	}
	err := withDescriptors(listeners, nil, func(descriptors []int) error {
		return to.send(offer, append(descriptors, otherDescriptors...)...)
	})
	if err != nil {
		slog.Warn("sending the offer to the successor failed", "err", err)
	}
	return err
}

// withDescriptors calls use with descriptors followed by those of the listeners, which stay open
// meanwhile. TCPListener.File would make the sockets blocking for both processes.
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

// shareTable creates a table and shares it with a peer. The caller holds mu.
func (p *PredecessorEnd) shareTable(peerID int, withCounts bool) {
	p.unshareTable()
	table, file, err := newSharedTable(withCounts)
	if err != nil { // each process then knows only its own ids, and uses no more than its quota
		slog.Warn("request ids are not shared with the successor", "err", err)
		return
	}
	p.table, p.tablePeer, p.tableFile = table, peerID, file
	p.host.ShareTable(table)
}

// closeTableFile closes the table's file. The caller holds mu.
func (p *PredecessorEnd) closeTableFile() {
	if p.tableFile != nil {
		p.tableFile.Close()
		p.tableFile = nil
	}
}

// unshareTable ends the sharing of the table. The caller holds mu.
func (p *PredecessorEnd) unshareTable() {
	p.closeTableFile()
	if p.table != nil {
		p.host.UnshareTable(p.table)
		p.table.Close()
		p.table, p.tablePeer = nil, 0
	}
}

// SetLimits replaces the limits after a change of the settings.
func (p *PredecessorEnd) SetLimits(limits handover.Quota) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.perform(p.machine.SetLimits(limits))
}

// Terminate starts the shutdown of this process, which ends once its requests are answered. It
// reports whether a successor is serving.
func (p *PredecessorEnd) Terminate() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.perform(p.machine.Terminate())
	return p.machine.SuccessorServing()
}

// ReleaseUnused grants the successor what a terminating process no longer uses; used is what it
// still uses. It reports whether a successor is serving.
func (p *PredecessorEnd) ReleaseUnused(used handover.Quota) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.perform(p.machine.ReleaseUnused(used))
	return p.machine.SuccessorServing()
}

// HasSuccessors reports whether a process is connected that may take over.
func (p *PredecessorEnd) HasSuccessors() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.peers) > 0
}

// Close closes all connections, which tells a successor that this process has ended.
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
