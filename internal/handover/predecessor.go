package handover

import "fmt"

// Predecessor is the state machine of the process that serves and is to be replaced. It is not
// safe for concurrent use.
type Predecessor struct {
	limits           Quota
	grantedQuota     Quota // the successor's part of limits
	successor        int   // the successor's number as a peer; 0: none
	successorServing bool
	terminating      bool // this process ends once its requests are answered
	ownsStore        bool // this process owns an idempotency store and can share it
	snapshot         func() []byte
	listen           string
}

// NewPredecessor returns the state machine of a process that serves at the address listen and
// owns limits. snapshot is called for each offer; it returns the encoded Snapshot of what the
// process has learned.
func NewPredecessor(listen string, limits Quota, snapshot func() []byte) *Predecessor {
	return &Predecessor{limits: limits, listen: listen, snapshot: snapshot}
}

// SetOwnsStore tells p that this process owns an idempotency store, which it may share with a
// successor.
func (p *Predecessor) SetOwnsStore() { p.ownsStore = true }

// SuccessorServing reports whether a successor accepts clients.
func (p *Predecessor) SuccessorServing() bool { return p.successor != 0 && p.successorServing }

// LocalQuota returns the part of the limits that this process may use itself.
func (p *Predecessor) LocalQuota() Quota { return p.limits.minus(p.grantedQuota) }

// SetLimits replaces the limits after a change of the settings. A granted quota stays granted,
// so the limits do not fall below it.
func (p *Predecessor) SetLimits(limits Quota) []Action {
	p.limits = limits.max(p.grantedQuota)
	return []Action{{Type: Limit, Quota: p.LocalQuota()}}
}

// Receive handles a message from a peer. The caller numbers peers from 1.
func (p *Predecessor) Receive(peer int, message Message) []Action {
	switch {
	case message.Version != Version:
		return p.reject(peer, fmt.Sprintf("this process supports version %d of the hand-over", Version), false)
	case message.Kind == Hello && p.successor != 0:
		return p.reject(peer, "another new process is taking over", true)
	case message.Kind == Hello && message.Listen != p.listen:
		return p.reject(peer, "this process listens at "+p.listen, false)
	case message.Kind == Hello:
		return p.offer(peer, message)
	case peer != p.successor:
		return p.reject(peer, "no hand-over to this peer is in progress", false)
	case message.Kind == Serving:
		p.successorServing = true
		if p.terminating {
			return []Action{{Type: Unpublish}, {Type: StopAccepting}}
		}
		return nil
	}
	return p.reject(peer, fmt.Sprintf("unexpected message %q", message.Kind), false)
}

// offer accepts a peer as the successor and grants it half of the limits.
func (p *Predecessor) offer(peer int, hello Message) []Action {
	p.successor, p.successorServing, p.grantedQuota = peer, false, p.limits.half()
	offer := Message{
		Kind:              Offer,
		Version:           Version,
		Listen:            p.listen,
		Quota:             p.grantedQuota,
		Snapshot:          p.snapshot(),
		IDTable:           hello.IDTable,
		InFlightCounts:    hello.IDTable && hello.InFlightCounts,
		MultipleListeners: hello.MultipleListeners,
		IdempotencyStore:  p.ownsStore && hello.IdempotencyStore,
	}
	var actions []Action
	// The table is shared before the limit shrinks: with its counts, the sum of both processes'
	// requests in flight is limited, and the smaller quota does not apply.
	if offer.IDTable {
		actions = append(actions, Action{Type: SendIDTable, To: peer, Message: offer})
	}
	// This process gives up the quota before the successor receives it.
	return append(actions, Action{Type: Limit, Quota: p.LocalQuota()}, Action{Type: SendListener, To: peer, Message: offer})
}

// reject sends a peer a rejection and drops it. A retryable rejection lets the peer try again.
func (p *Predecessor) reject(peer int, reason string, retryable bool) []Action {
	rejection := Message{Kind: Reject, Version: Version, Reason: reason, Retryable: retryable}
	actions := []Action{{Type: SendMessage, To: peer, Message: rejection}, {Type: Drop, To: peer}}
	if peer == p.successor {
		actions = append(actions, p.PeerLost(peer)...)
	}
	return actions
}

// PeerLost handles the end of a peer or of the connection to it. If the peer was the successor,
// the quota that it was granted returns to this process.
func (p *Predecessor) PeerLost(peer int) []Action {
	if peer != p.successor || peer == 0 {
		return nil
	}
	p.successor, p.successorServing, p.grantedQuota = 0, false, Quota{}
	return []Action{{Type: Limit, Quota: p.LocalQuota()}}
}

// Terminate starts the shutdown of this process, which ends once its requests are answered. It
// stops accepting when a successor is serving: at once, or as soon as one reports that it is.
func (p *Predecessor) Terminate() []Action {
	p.terminating = true
	if p.SuccessorServing() {
		return []Action{{Type: Unpublish}, {Type: StopAccepting}}
	}
	return nil
}

// ReleaseUnused grants the successor all of the limits except used, which is what this process
// still uses while it terminates. A grant is never reduced. ReleaseUnused does nothing unless
// this process is terminating and a successor is serving.
func (p *Predecessor) ReleaseUnused(used Quota) []Action {
	if !p.terminating || !p.SuccessorServing() {
		return nil
	}
	newQuota := p.limits.minus(used).max(p.grantedQuota)
	if newQuota == p.grantedQuota || !newQuota.fitsWithin(p.limits) {
		return nil
	}
	p.grantedQuota = newQuota
	return []Action{
		{Type: Limit, Quota: p.LocalQuota()},
		{Type: SendMessage, To: p.successor, Message: Message{Kind: Grant, Version: Version, Quota: newQuota}},
	}
}
