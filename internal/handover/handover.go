// Package handover is how an old process of a sidecar and the new one that takes its
// place agree: what each says, in which order, and who may use how much meanwhile. It
// does no I/O: package link brings what comes and carries out what is asked here.
//
// The promises, whatever of the two dies or hangs at any step:
//   - The two together never hold more than one sidecar may (Ledger): the old one owns
//     the limits and grants parts of them; what it has not granted is its own, and what
//     the new one was granted comes back only when the new one has gone.
//   - The listening socket is never without a process that accepts from it, as long as
//     one of the two lives: the old one stops accepting only once the new one has said
//     that it serves and is still there.
//   - One new process at a time; a second one is told so.
//   - An old one that hangs is not waited for. Should it wake, the hand-over goes on
//     where it stood: the new one takes its socket beside its own.
//
// Requests held are counted by both together, in a table that the two share, where both
// can: a client whose connection the old one ends goes on at the new one at once, and a
// share of a fixed size would be too small at the one or the other. The shares of Held
// are for two of which one can't.
package handover

import (
	"errors"
	"fmt"
)

// Version is that of the protocol. A peer of another one is refused, and the new
// process falls back on a socket of its own beside the old one's.
const Version = 1

// MessageKind is what a message says.
type MessageKind string

// The messages, in the order of a hand-over.
const (
	Hello   MessageKind = "hello"   // new: I am to take your place, at this address
	Reject  MessageKind = "refuse"  // old: not now, or not you
	Offer   MessageKind = "offer"   // old: the listener (beside the message), a share, what I learned
	Serving MessageKind = "serving" // new: I take clients
	Grant   MessageKind = "grant"   // old: your share is larger now
)

// Message is one message. Unused fields are empty.
type Message struct {
	Kind      MessageKind `json:"kind"`
	Version   int         `json:"version"`
	Listen    string      `json:"listen,omitempty"`
	Reason    string      `json:"why,omitempty"`
	Retryable bool        `json:"again,omitempty"` // of a refusal: it may pass
	Quota     Quota       `json:"share,omitzero"`
	Snapshot  []byte      `json:"snapshot,omitempty"`
	// IDTable says of a hello that this process can share a table of ids, and of an offer
	// that one comes with it.
	IDTable bool `json:"ids,omitempty"`
	// InFlightCounts says of a hello that this process can share a count of the requests held,
	// and of an offer that the table has one: what is held is limited by the sum then.
	InFlightCounts bool `json:"counts,omitempty"`
	// MultipleListeners says of a hello that this process can take several listening sockets.
	MultipleListeners bool `json:"many,omitempty"`
	// IdempotencyStore says of a hello that this process has a store of record, and of an offer
	// that the old one's ownership of it comes with it: both have it from then on, until
	// one of them ends, and neither takes the other's requests for a dead process's.
	IdempotencyStore bool `json:"record,omitempty"`
	// ListenerCount is how many sockets come with an offer, 0 for one.
	ListenerCount int `json:"listeners,omitempty"`
}

// MaxListeners is how many sockets an offer may bring: one, and one more for each
// process that woke after another had opened its own.
const MaxListeners = 4

// Quota is a part of what one sidecar may hold.
type Quota struct {
	Sockets  int `json:"sockets"`   // descriptors
	MemoryMB int `json:"memory_mb"` // resident
	InFlight int `json:"held"`      // requests at once
}

func (s Quota) minus(o Quota) Quota {
	return Quota{s.Sockets - o.Sockets, s.MemoryMB - o.MemoryMB, max(0, s.InFlight-o.InFlight)}
}

func (s Quota) half() Quota { return Quota{s.Sockets / 2, s.MemoryMB / 2, (s.InFlight + 1) / 2} }

// fitsWithin says that s asks for no more than o in any respect.
func (s Quota) fitsWithin(o Quota) bool {
	return s.Sockets <= o.Sockets && s.MemoryMB <= o.MemoryMB && s.InFlight <= o.InFlight
}

// max is the larger in each respect.
func (s Quota) max(o Quota) Quota {
	return Quota{max(s.Sockets, o.Sockets), max(s.MemoryMB, o.MemoryMB), max(s.InFlight, o.InFlight)}
}

// Action is what a machine asks its host to do, in the order given.
type Action struct {
	Type    ActionType
	To      int     // a peer, for Send, SendListener and Drop
	Message Message // for Send and SendListener
	Quota   Quota   // for Limit
}

// ActionType says what an Action is.
type ActionType int

// What the host can be asked for.
const (
	SendMessage   ActionType = iota
	SendIDTable              // with a peer: ids, and the count of requests held where Message says so
	SendListener             // Send, with the listening socket beside it, and the table where there is one
	Drop                     // end the connection to a peer
	Limit                    // keep to Share from now on
	Unpublish                // no new process can find this one from now on
	Publish                  // one can
	StopAccepting            // the other process accepts on the same socket
	TakeListener             // serve on the socket that came with the offer
	OpenListener             // open a socket, sharing the address with an old process that may be there
)

// Predecessor is the machine of the process that serves already.
type Predecessor struct {
	limits           Quota
	grantedQuota     Quota // to the new one
	successor        int   // the new one; 0: none
	successorServing bool  // it has said so
	terminating      bool  // this process has been told to end
	ownsStore        bool  // it owns a store of record, and can pass that on
	snapshot         func() []byte
	listen           string
}

// NewPredecessor returns the machine of a process that serves at listen and owns full.
// snapshot is asked for what to tell a new process.
func NewPredecessor(listen string, full Quota, snapshot func() []byte) *Predecessor {
	return &Predecessor{limits: full, listen: listen, snapshot: snapshot}
}

// SetOwnsStore says that this process owns a store of record which a new one may share.
func (o *Predecessor) SetOwnsStore() { o.ownsStore = true }

// SuccessorServing says that a new process serves at this one's side.
func (o *Predecessor) SuccessorServing() bool { return o.successor != 0 && o.successorServing }

// LocalQuota is what this process may hold itself.
func (o *Predecessor) LocalQuota() Quota { return o.limits.minus(o.grantedQuota) }

// SetLimits takes new limits of the configuration. What is granted stays granted.
func (o *Predecessor) SetLimits(full Quota) []Action {
	o.limits = full.max(o.grantedQuota)
	return []Action{{Type: Limit, Quota: o.LocalQuota()}}
}

// Receive takes a message of a peer. Peers are numbered from 1 by the host.
func (o *Predecessor) Receive(peer int, m Message) []Action {
	switch {
	case m.Version != Version:
		return o.reject(peer, fmt.Sprintf("this process speaks version %d of the hand-over", Version), false)
	case m.Kind == Hello && o.successor != 0:
		return o.reject(peer, "another new process is taking over", true)
	case m.Kind == Hello && m.Listen != o.listen:
		return o.reject(peer, "this process listens at "+o.listen, false)
	case m.Kind == Hello:
		o.successor, o.successorServing, o.grantedQuota = peer, false, o.limits.half()
		// The share is given up here before it is granted there. The table comes first:
		// with a count in it, less than all is not the limit of what is held.
		offer := Message{Kind: Offer, Version: Version, Listen: o.listen, Quota: o.grantedQuota, Snapshot: o.snapshot(), IDTable: m.IDTable, InFlightCounts: m.IDTable && m.InFlightCounts, MultipleListeners: m.MultipleListeners,
			IdempotencyStore: o.ownsStore && m.IdempotencyStore}
		var acts []Action
		if offer.IDTable {
			acts = append(acts, Action{Type: SendIDTable, To: peer, Message: offer})
		}
		return append(acts, Action{Type: Limit, Quota: o.LocalQuota()}, Action{Type: SendListener, To: peer, Message: offer})
	case peer != o.successor:
		return o.reject(peer, "no hand-over is under way with this process", false)
	case m.Kind == Serving:
		o.successorServing = true
		if o.terminating {
			return []Action{{Type: Unpublish}, {Type: StopAccepting}}
		}
		return nil
	}
	return o.reject(peer, fmt.Sprintf("a message %q was not expected", m.Kind), false)
}

func (o *Predecessor) reject(peer int, why string, again bool) []Action {
	acts := []Action{{Type: SendMessage, To: peer, Message: Message{Kind: Reject, Version: Version, Reason: why, Retryable: again}}, {Type: Drop, To: peer}}
	if peer == o.successor {
		acts = append(acts, o.PeerLost(peer)...)
	}
	return acts
}

// PeerLost says that a peer has gone. What it was granted comes back.
func (o *Predecessor) PeerLost(peer int) []Action {
	if peer != o.successor || peer == 0 {
		return nil
	}
	o.successor, o.successorServing, o.grantedQuota = 0, false, Quota{}
	return []Action{{Type: Limit, Quota: o.LocalQuota()}}
}

// Terminate says that this process ends when all that it has taken is answered.
func (o *Predecessor) Terminate() []Action {
	o.terminating = true
	if o.SuccessorServing() {
		return []Action{{Type: Unpublish}, {Type: StopAccepting}}
	}
	return nil
}

// ReleaseUnused says what this process still holds on its way out. What it needs no more
// goes to the new one, and is not taken back.
func (o *Predecessor) ReleaseUnused(use Quota) []Action {
	if !o.terminating || !o.SuccessorServing() {
		return nil
	}
	next := o.limits.minus(use).max(o.grantedQuota)
	if next == o.grantedQuota || !next.fitsWithin(o.limits) {
		return nil
	}
	o.grantedQuota = next
	return []Action{
		{Type: Limit, Quota: o.LocalQuota()},
		{Type: SendMessage, To: o.successor, Message: Message{Kind: Grant, Version: Version, Quota: next}},
	}
}

// Successor is the machine of a process that starts.
type Successor struct {
	limits      Quota
	quota       Quota
	state       successorState
	servingSent bool // Serving has been sent

	usesStore bool // it has a store of record
}

type successorState int

const (
	awaitingOffer successorState = iota
	sharingQuota
	alone
	besideSilent // beside an old one that does not answer
	isolated     // where nobody can find anybody
)

// NewSuccessor returns the machine of a process that may own full once it is alone.
func NewSuccessor(full Quota) *Successor { return &Successor{limits: full} }

// SetUsesStore says that this process has a store of record, which the old one may own.
func (n *Successor) SetUsesStore() { n.usesStore = true }

// Hello asks the old one, whom the host has found.
func (n *Successor) Hello(listen string) []Action {
	return []Action{{Type: SendMessage, Message: Message{Kind: Hello, Version: Version, Listen: listen, IDTable: true, InFlightCounts: true, MultipleListeners: true, IdempotencyStore: n.usesStore}}}
}

// NoPredecessor says that there is no old process.
func (n *Successor) NoPredecessor() []Action {
	n.state, n.quota = alone, n.limits
	return []Action{{Type: Limit, Quota: n.limits}, {Type: OpenListener}, {Type: Publish}}
}

// PredecessorSilent says that there is an old process that does not take part: it does not
// answer, or can't. Both then listen at the address, and this one keeps to half:
// the other can't be told to keep to less than all, but one that hangs takes no more.
func (n *Successor) PredecessorSilent() []Action {
	if n.state != awaitingOffer {
		return nil
	}
	n.state, n.quota = besideSilent, n.limits.half()
	return []Action{{Type: Limit, Quota: n.quota}, {Type: OpenListener}}
}

// Isolated says that no hand-over is possible here: this process is on its own, and none
// can take over from it.
func (n *Successor) Isolated() []Action {
	n.state, n.quota = isolated, n.limits
	return []Action{{Type: Limit, Quota: n.limits}, {Type: OpenListener}}
}

// Errors of a new process that must not start.
var (
	ErrBusy         = errors.New("handover: another new process is taking over")
	ErrInvalidOffer = errors.New("handover: the old process offers what can't be used")
	ErrRejected     = errors.New("handover: refused")
)

// Receive takes a message of the old one.
func (n *Successor) Receive(m Message) ([]Action, error) {
	switch {
	case m.Kind == Reject && m.Retryable:
		return nil, fmt.Errorf("%w: %s", ErrBusy, m.Reason)
	case m.Kind == Reject:
		return nil, fmt.Errorf("%w: %s", ErrRejected, m.Reason)
	case m.Version != Version:
		return nil, fmt.Errorf("%w: version %d", ErrRejected, m.Version)
	case m.Kind == Offer && (n.state == awaitingOffer || n.state == besideSilent): // aside: it hung, and has woken
		if m.Quota.Sockets <= 0 || m.Quota.MemoryMB <= 0 || m.ListenerCount < 0 || m.ListenerCount > MaxListeners {
			return nil, ErrInvalidOffer
		}
		n.state, n.quota = sharingQuota, m.Quota
		return []Action{{Type: Limit, Quota: m.Quota}, {Type: TakeListener}}, nil
	case m.Kind == Grant && n.state == sharingQuota:
		if !n.quota.fitsWithin(m.Quota) {
			return nil, nil // a grant is never less than the one before
		}
		n.quota = m.Quota
		return []Action{{Type: Limit, Quota: m.Quota}}, nil
	}
	return nil, fmt.Errorf("%w: a message %q was not expected", ErrInvalidOffer, m.Kind)
}

// Ready says that this process takes clients.
func (n *Successor) Ready() []Action {
	if n.state != sharingQuota || n.servingSent {
		return nil
	}
	n.servingSent = true
	return []Action{{Type: SendMessage, Message: Message{Kind: Serving, Version: Version}}}
}

// PredecessorLost says that the old one has gone: all that it held is free.
func (n *Successor) PredecessorLost() []Action {
	switch n.state {
	case sharingQuota, besideSilent:
		n.state, n.quota = alone, n.limits
		return []Action{{Type: Limit, Quota: n.limits}, {Type: Publish}}
	}
	return nil
}

// Alone says that no old process is left.
func (n *Successor) Alone() bool { return n.state == alone }
