package handover

import "fmt"

// Predecessor is the machine of the process that serves and is to be replaced.
type Predecessor struct {
	limits           Quota
	grantedQuota     Quota // to the successor
	successor        int   // a peer; 0: none
	successorServing bool
	terminating      bool // this process has received the signal to end
	ownsStore        bool // it owns an idempotency store and can share that
	snapshot         func() []byte
	listen           string
}

// NewPredecessor returns the machine of a process that serves at listen and owns limits.
// snapshot returns what the process has learned, for an offer.
func NewPredecessor(listen string, limits Quota, snapshot func() []byte) *Predecessor {
	return &Predecessor{limits: limits, listen: listen, snapshot: snapshot}
}

// SetOwnsStore says that this process owns an idempotency store, which a successor may
// share.
func (p *Predecessor) SetOwnsStore() { p.ownsStore = true }

// SuccessorServing says whether a successor accepts clients.
func (p *Predecessor) SuccessorServing() bool { return p.successor != 0 && p.successorServing }

// LocalQuota is what this process may use itself.
func (p *Predecessor) LocalQuota() Quota { return p.limits.minus(p.grantedQuota) }

// SetLimits takes new limits of the settings. What is granted stays granted.
func (p *Predecessor) SetLimits(limits Quota) []Action {
	p.limits = limits.max(p.grantedQuota)
	return []Action{{Type: Limit, Quota: p.LocalQuota()}}
}

// Receive takes a message of a peer. The host numbers peers from 1.
func (p *Predecessor) Receive(peer int, message Message) []Action {
	switch {
	case message.Version != Version:
		return p.reject(peer, fmt.Sprintf("this process speaks version %d of the hand-over", Version), false)
	case message.Kind == Hello && p.successor != 0:
		return p.reject(peer, "another new process is taking over", true)
	case message.Kind == Hello && message.Listen != p.listen:
		return p.reject(peer, "this process listens at "+p.listen, false)
	case message.Kind == Hello:
		return p.offer(peer, message)
	case peer != p.successor:
		return p.reject(peer, "no hand-over is under way with this process", false)
	case message.Kind == Serving:
		p.successorServing = true
		if p.terminating {
			return []Action{{Type: Unpublish}, {Type: StopAccepting}}
		}
		return nil
	}
	return p.reject(peer, fmt.Sprintf("a message %q was not expected", message.Kind), false)
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
	// The table is shared first: with its counts, requests in flight are limited by their
	// sum and not by a smaller quota.
	if offer.IDTable {
		actions = append(actions, Action{Type: SendIDTable, To: peer, Message: offer})
	}
	// The quota is released here before it is granted there.
	return append(actions, Action{Type: Limit, Quota: p.LocalQuota()}, Action{Type: SendListener, To: peer, Message: offer})
}

func (p *Predecessor) reject(peer int, reason string, retryable bool) []Action {
	rejection := Message{Kind: Reject, Version: Version, Reason: reason, Retryable: retryable}
	actions := []Action{{Type: SendMessage, To: peer, Message: rejection}, {Type: Drop, To: peer}}
	if peer == p.successor {
		actions = append(actions, p.PeerLost(peer)...)
	}
	return actions
}

// PeerLost says that a peer has ended. What it was granted is this process's again.
func (p *Predecessor) PeerLost(peer int) []Action {
	if peer != p.successor || peer == 0 {
		return nil
	}
	p.successor, p.successorServing, p.grantedQuota = 0, false, Quota{}
	return []Action{{Type: Limit, Quota: p.LocalQuota()}}
}

// Terminate says that this process ends once its requests are answered.
func (p *Predecessor) Terminate() []Action {
	p.terminating = true
	if p.SuccessorServing() {
		return []Action{{Type: Unpublish}, {Type: StopAccepting}}
	}
	return nil
}

// ReleaseUnused takes what this process still uses while it terminates, and grants the
// rest to the successor for good.
func (p *Predecessor) ReleaseUnused(used Quota) []Action {
	if !p.terminating || !p.SuccessorServing() {
		return nil
	}
	next := p.limits.minus(used).max(p.grantedQuota)
	if next == p.grantedQuota || !next.fitsWithin(p.limits) {
		return nil
	}
	p.grantedQuota = next
	return []Action{
		{Type: Limit, Quota: p.LocalQuota()},
		{Type: SendMessage, To: p.successor, Message: Message{Kind: Grant, Version: Version, Quota: next}},
	}
}
