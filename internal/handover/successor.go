package handover

import (
	"errors"
	"fmt"
)

// Errors of Successor.Receive. After ErrBusy the successor may try again, and after ErrRejected
// it opens a socket of its own. After ErrInvalidOffer it must not start.
var (
	ErrBusy         = errors.New("handover: another new process is taking over")
	ErrInvalidOffer = errors.New("handover: invalid offer from the predecessor")
	ErrRejected     = errors.New("handover: hand-over rejected")
)

// successorState is the state of a successor's hand-over.
type successorState int

const (
	awaitingOffer      successorState = iota
	sharingQuota                      // the predecessor's offer is accepted
	withoutPredecessor                // there was none, or it has ended
	predecessorSilent                 // the predecessor does not take part, see PredecessorSilent
	isolated                          // processes can't find each other
)

// Successor is the state machine of a process that starts. It is not safe for concurrent use.
type Successor struct {
	limits      Quota
	quota       Quota // the part of limits that this process may use
	state       successorState
	servingSent bool
	usesStore   bool // this process uses an idempotency store
}

// NewSuccessor returns the state machine of a process that owns limits once it has no predecessor.
func NewSuccessor(limits Quota) *Successor { return &Successor{limits: limits} }

// SetUsesStore tells s that this process uses an idempotency store, which the predecessor may
// own. It must be called before Hello.
func (s *Successor) SetUsesStore() { s.usesStore = true }

// Hello requests a hand-over of the address listen from the predecessor, to which the caller is
// connected.
func (s *Successor) Hello(listen string) []Action {
	hello := Message{Kind: Hello, Version: Version, Listen: listen, IDTable: true, InFlightCounts: true, MultipleListeners: true, IdempotencyStore: s.usesStore}
	return []Action{{Type: SendMessage, Message: hello}}
}

// NoPredecessor handles a start without a predecessor: this process owns the limits.
func (s *Successor) NoPredecessor() []Action {
	s.state, s.quota = withoutPredecessor, s.limits
	return []Action{{Type: Limit, Quota: s.limits}, {Type: OpenListener}, {Type: Publish}}
}

// PredecessorSilent handles a predecessor that does not take part in a hand-over: it does not
// answer, can't be reached or rejects this process. Both processes then listen at the address.
// This process uses at most half of the limits: the predecessor can't be limited, but one that
// hangs does not start to use more.
func (s *Successor) PredecessorSilent() []Action {
	if s.state != awaitingOffer {
		return nil
	}
	s.state, s.quota = predecessorSilent, s.limits.half()
	return []Action{{Type: Limit, Quota: s.quota}, {Type: OpenListener}}
}

// Isolated handles a start where no hand-over is possible, neither to this process nor from it.
func (s *Successor) Isolated() []Action {
	s.state, s.quota = isolated, s.limits
	return []Action{{Type: Limit, Quota: s.limits}, {Type: OpenListener}}
}

// Receive handles a message from the predecessor. The error is ErrBusy, ErrRejected or
// ErrInvalidOffer.
func (s *Successor) Receive(message Message) ([]Action, error) {
	switch {
	case message.Kind == Reject && message.Retryable:
		return nil, fmt.Errorf("%w: %s", ErrBusy, message.Reason)
	case message.Kind == Reject:
		return nil, fmt.Errorf("%w: %s", ErrRejected, message.Reason)
	case message.Version != Version:
		return nil, fmt.Errorf("%w: the predecessor uses version %d", ErrRejected, message.Version)
	case message.Kind == Offer && (s.state == awaitingOffer || s.state == predecessorSilent): // a silent predecessor may resume
		if !message.validOffer() {
			return nil, ErrInvalidOffer
		}
		s.state, s.quota = sharingQuota, message.Quota
		return []Action{{Type: Limit, Quota: message.Quota}, {Type: TakeListener}}, nil
	case message.Kind == Grant && s.state == sharingQuota:
		if !s.quota.fitsWithin(message.Quota) {
			return nil, nil // a grant never reduces the quota
		}
		s.quota = message.Quota
		return []Action{{Type: Limit, Quota: message.Quota}}, nil
	}
	return nil, fmt.Errorf("%w: unexpected message %q", ErrInvalidOffer, message.Kind)
}

// validOffer reports whether an offer can be used.
func (m *Message) validOffer() bool {
	return m.Quota.Sockets > 0 && m.Quota.MemoryMB > 0 && m.ListenerCount >= 0 && m.ListenerCount <= MaxListeners
}

// Ready tells the predecessor that this process accepts clients.
func (s *Successor) Ready() []Action {
	if s.state != sharingQuota || s.servingSent {
		return nil
	}
	s.servingSent = true
	return []Action{{Type: SendMessage, Message: Message{Kind: Serving, Version: Version}}}
}

// PredecessorLost handles the end of the predecessor: this process now owns the limits.
func (s *Successor) PredecessorLost() []Action {
	switch s.state {
	case sharingQuota, predecessorSilent:
		s.state, s.quota = withoutPredecessor, s.limits
		return []Action{{Type: Limit, Quota: s.limits}, {Type: Publish}}
	}
	return nil
}

// WithoutPredecessor reports whether there was no predecessor or it has ended, so that this
// process owns the limits.
func (s *Successor) WithoutPredecessor() bool { return s.state == withoutPredecessor }
