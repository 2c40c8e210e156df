package handover

import (
	"errors"
	"fmt"
)

// Errors of a successor that must not start, or must open a socket of its own.
var (
	ErrBusy         = errors.New("handover: another new process is taking over")
	ErrInvalidOffer = errors.New("handover: the old process offers what can't be used")
	ErrRejected     = errors.New("handover: refused")
)

// successorState is the state of a successor's hand-over.
type successorState int

const (
	awaitingOffer successorState = iota
	sharingQuota
	alone
	predecessorSilent // the predecessor does not answer
	isolated          // processes can't find each other here
)

// Successor is the machine of a process that starts.
type Successor struct {
	limits      Quota
	quota       Quota
	state       successorState
	servingSent bool
	usesStore   bool
}

// NewSuccessor returns the machine of a process that owns limits once it is alone.
func NewSuccessor(limits Quota) *Successor { return &Successor{limits: limits} }

// SetUsesStore says that this process uses an idempotency store, which the predecessor
// may own.
func (s *Successor) SetUsesStore() { s.usesStore = true }

// Hello sends a hello to the predecessor that the host has found.
func (s *Successor) Hello(listen string) []Action {
	hello := Message{Kind: Hello, Version: Version, Listen: listen, IDTable: true, InFlightCounts: true, MultipleListeners: true, IdempotencyStore: s.usesStore}
	return []Action{{Type: SendMessage, Message: hello}}
}

// NoPredecessor says that there is no predecessor.
func (s *Successor) NoPredecessor() []Action {
	s.state, s.quota = alone, s.limits
	return []Action{{Type: Limit, Quota: s.limits}, {Type: OpenListener}, {Type: Publish}}
}

// PredecessorSilent says that there is a predecessor that does not take part: it does
// not answer, or can't. Both listen at the address then. This process keeps to half of the
// limits: the predecessor can't be limited, but one that hangs takes no more.
func (s *Successor) PredecessorSilent() []Action {
	if s.state != awaitingOffer {
		return nil
	}
	s.state, s.quota = predecessorSilent, s.limits.half()
	return []Action{{Type: Limit, Quota: s.quota}, {Type: OpenListener}}
}

// Isolated says that no hand-over is possible here, neither to this process nor from it.
func (s *Successor) Isolated() []Action {
	s.state, s.quota = isolated, s.limits
	return []Action{{Type: Limit, Quota: s.limits}, {Type: OpenListener}}
}

// Receive takes a message of the predecessor.
func (s *Successor) Receive(message Message) ([]Action, error) {
	switch {
	case message.Kind == Reject && message.Retryable:
		return nil, fmt.Errorf("%w: %s", ErrBusy, message.Reason)
	case message.Kind == Reject:
		return nil, fmt.Errorf("%w: %s", ErrRejected, message.Reason)
	case message.Version != Version:
		return nil, fmt.Errorf("%w: version %d", ErrRejected, message.Version)
	case message.Kind == Offer && (s.state == awaitingOffer || s.state == predecessorSilent): // a silent predecessor may wake up
		if !message.validOffer() {
			return nil, ErrInvalidOffer
		}
		s.state, s.quota = sharingQuota, message.Quota
		return []Action{{Type: Limit, Quota: message.Quota}, {Type: TakeListener}}, nil
	case message.Kind == Grant && s.state == sharingQuota:
		if !s.quota.fitsWithin(message.Quota) {
			return nil, nil // a grant never takes back
		}
		s.quota = message.Quota
		return []Action{{Type: Limit, Quota: message.Quota}}, nil
	}
	return nil, fmt.Errorf("%w: a message %q was not expected", ErrInvalidOffer, message.Kind)
}

// validOffer says whether an offer can be used.
func (m *Message) validOffer() bool {
	return m.Quota.Sockets > 0 && m.Quota.MemoryMB > 0 && m.ListenerCount >= 0 && m.ListenerCount <= MaxListeners
}

// Ready says that this process accepts clients.
func (s *Successor) Ready() []Action {
	if s.state != sharingQuota || s.servingSent {
		return nil
	}
	s.servingSent = true
	return []Action{{Type: SendMessage, Message: Message{Kind: Serving, Version: Version}}}
}

// PredecessorLost says that the predecessor has ended: this process owns the limits.
func (s *Successor) PredecessorLost() []Action {
	switch s.state {
	case sharingQuota, predecessorSilent:
		s.state, s.quota = alone, s.limits
		return []Action{{Type: Limit, Quota: s.limits}, {Type: Publish}}
	}
	return nil
}

// Alone says whether no predecessor is left.
func (s *Successor) Alone() bool { return s.state == alone }
