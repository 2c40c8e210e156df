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

// Kind is what a message says.
type Kind string

// The messages, in the order of a hand-over.
const (
	Hello   Kind = "hello"   // new: I am to take your place, at this address
	Reject  Kind = "refuse"  // old: not now, or not you
	Offer   Kind = "offer"   // old: the listener (beside the message), a share, what I learned
	Serving Kind = "serving" // new: I take clients
	Grant   Kind = "grant"   // old: your share is larger now
)

// Message is one message. Unused fields are empty.
type Message struct {
	Kind     Kind   `json:"kind"`
	Version  int    `json:"version"`
	Listen   string `json:"listen,omitempty"`
	Why      string `json:"why,omitempty"`
	Again    bool   `json:"again,omitempty"` // of a refusal: it may pass
	Quota    Quota  `json:"share,omitzero"`
	Snapshot []byte `json:"snapshot,omitempty"`
	// IDs says of a hello that this process can share a table of ids, and of an offer
	// that one comes with it.
	IDs bool `json:"ids,omitempty"`
	// Counts says of a hello that this process can share a count of the requests held,
	// and of an offer that the table has one: what is held is limited by the sum then.
	Counts bool `json:"counts,omitempty"`
	// Many says of a hello that this process can take several listening sockets.
	Many bool `json:"many,omitempty"`
	// Record says of a hello that this process has a store of record, and of an offer
	// that the old one's ownership of it comes with it: both have it from then on, until
	// one of them ends, and neither takes the other's requests for a dead process's.
	Record bool `json:"record,omitempty"`
	// Listeners is how many sockets come with an offer, 0 for one.
	Listeners int `json:"listeners,omitempty"`
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

// within says that s asks for no more than o in any respect.
func (s Quota) within(o Quota) bool {
	return s.Sockets <= o.Sockets && s.MemoryMB <= o.MemoryMB && s.InFlight <= o.InFlight
}

// max is the larger in each respect.
func (s Quota) max(o Quota) Quota {
	return Quota{max(s.Sockets, o.Sockets), max(s.MemoryMB, o.MemoryMB), max(s.InFlight, o.InFlight)}
}

// Action is what a machine asks its host to do, in the order given.
type Action struct {
	Do      Do
	To      int     // a peer, for Send, SendListener and Drop
	Message Message // for Send and SendListener
	Quota   Quota   // for Limit
}

// Do says what an Action is.
type Do int

// What the host can be asked for.
const (
	Send          Do = iota
	SendIDTable      // with a peer: ids, and the count of requests held where Message says so
	SendListener     // Send, with the listening socket beside it, and the table where there is one
	Drop             // end the connection to a peer
	Limit            // keep to Share from now on
	Unpublish        // no new process can find this one from now on
	Publish          // one can
	StopAccepting    // the other process accepts on the same socket
	TakeListener     // serve on the socket that came with the offer
	OpenListener     // open a socket, sharing the address with an old process that may be there
)

// Old is the machine of the process that serves already.
type Old struct {
	full        Quota
	granted     Quota // to the new one
	peer        int   // the new one; 0: none
	serving     bool  // it has said so
	terminating bool  // this process has been told to end
	record      bool  // it owns a store of record, and can pass that on
	snapshot    func() []byte
	listen      string
}

// NewOld returns the machine of a process that serves at listen and owns full.
// snapshot is asked for what to tell a new process.
func NewOld(listen string, full Quota, snapshot func() []byte) *Old {
	return &Old{full: full, listen: listen, snapshot: snapshot}
}

// OwnsRecord says that this process owns a store of record which a new one may share.
func (o *Old) OwnsRecord() { o.record = true }

// Succeeded says that a new process serves at this one's side.
func (o *Old) Succeeded() bool { return o.peer != 0 && o.serving }

// LocalQuota is what this process may hold itself.
func (o *Old) LocalQuota() Quota { return o.full.minus(o.granted) }

// Reconfigured takes new limits of the configuration. What is granted stays granted.
func (o *Old) Reconfigured(full Quota) []Action {
	o.full = full.max(o.granted)
	return []Action{{Do: Limit, Quota: o.LocalQuota()}}
}

// Came takes a message of a peer. Peers are numbered from 1 by the host.
func (o *Old) Came(peer int, m Message) []Action {
	switch {
	case m.Version != Version:
		return o.refuse(peer, fmt.Sprintf("this process speaks version %d of the hand-over", Version), false)
	case m.Kind == Hello && o.peer != 0:
		return o.refuse(peer, "another new process is taking over", true)
	case m.Kind == Hello && m.Listen != o.listen:
		return o.refuse(peer, "this process listens at "+o.listen, false)
	case m.Kind == Hello:
		o.peer, o.serving, o.granted = peer, false, o.full.half()
		// The share is given up here before it is granted there. The table comes first:
		// with a count in it, less than all is not the limit of what is held.
		offer := Message{Kind: Offer, Version: Version, Listen: o.listen, Quota: o.granted, Snapshot: o.snapshot(), IDs: m.IDs, Counts: m.IDs && m.Counts, Many: m.Many,
			Record: o.record && m.Record}
		var acts []Action
		if offer.IDs {
			acts = append(acts, Action{Do: SendIDTable, To: peer, Message: offer})
		}
		return append(acts, Action{Do: Limit, Quota: o.LocalQuota()}, Action{Do: SendListener, To: peer, Message: offer})
	case peer != o.peer:
		return o.refuse(peer, "no hand-over is under way with this process", false)
	case m.Kind == Serving:
		o.serving = true
		if o.terminating {
			return []Action{{Do: Unpublish}, {Do: StopAccepting}}
		}
		return nil
	}
	return o.refuse(peer, fmt.Sprintf("a message %q was not expected", m.Kind), false)
}

func (o *Old) refuse(peer int, why string, again bool) []Action {
	acts := []Action{{Do: Send, To: peer, Message: Message{Kind: Reject, Version: Version, Why: why, Again: again}}, {Do: Drop, To: peer}}
	if peer == o.peer {
		acts = append(acts, o.Lost(peer)...)
	}
	return acts
}

// Lost says that a peer has gone. What it was granted comes back.
func (o *Old) Lost(peer int) []Action {
	if peer != o.peer || peer == 0 {
		return nil
	}
	o.peer, o.serving, o.granted = 0, false, Quota{}
	return []Action{{Do: Limit, Quota: o.LocalQuota()}}
}

// Leave says that this process ends when all that it has taken is answered.
func (o *Old) Leave() []Action {
	o.terminating = true
	if o.Succeeded() {
		return []Action{{Do: Unpublish}, {Do: StopAccepting}}
	}
	return nil
}

// Needs says what this process still holds on its way out. What it needs no more
// goes to the new one, and is not taken back.
func (o *Old) Needs(use Quota) []Action {
	if !o.terminating || !o.Succeeded() {
		return nil
	}
	next := o.full.minus(use).max(o.granted)
	if next == o.granted || !next.within(o.full) {
		return nil
	}
	o.granted = next
	return []Action{
		{Do: Limit, Quota: o.LocalQuota()},
		{Do: Send, To: o.peer, Message: Message{Kind: Grant, Version: Version, Quota: next}},
	}
}

// New is the machine of a process that starts.
type New struct {
	full        Quota
	quota       Quota
	state       state
	servingSent bool // Serving has been sent

	record bool // it has a store of record
}

type state int

const (
	asking state = iota
	sharing
	alone
	aside // beside an old one that does not answer
	apart // where nobody can find anybody
)

// NewNew returns the machine of a process that may own full once it is alone.
func NewNew(full Quota) *New { return &New{full: full} }

// HasRecord says that this process has a store of record, which the old one may own.
func (n *New) HasRecord() { n.record = true }

// Begin asks the old one, whom the host has found.
func (n *New) Begin(listen string) []Action {
	return []Action{{Do: Send, Message: Message{Kind: Hello, Version: Version, Listen: listen, IDs: true, Counts: true, Many: true, Record: n.record}}}
}

// Nobody says that there is no old process.
func (n *New) Nobody() []Action {
	n.state, n.quota = alone, n.full
	return []Action{{Do: Limit, Quota: n.full}, {Do: OpenListener}, {Do: Publish}}
}

// Silent says that there is an old process that does not take part: it does not
// answer, or can't. Both then listen at the address, and this one keeps to half:
// the other can't be told to keep to less than all, but one that hangs takes no more.
func (n *New) Silent() []Action {
	if n.state != asking {
		return nil
	}
	n.state, n.quota = aside, n.full.half()
	return []Action{{Do: Limit, Quota: n.quota}, {Do: OpenListener}}
}

// Apart says that no hand-over is possible here: this process is on its own, and none
// can take over from it.
func (n *New) Apart() []Action {
	n.state, n.quota = apart, n.full
	return []Action{{Do: Limit, Quota: n.full}, {Do: OpenListener}}
}

// Errors of a new process that must not start.
var (
	ErrBusy     = errors.New("handover: another new process is taking over")
	ErrShape    = errors.New("handover: the old process offers what can't be used")
	ErrRejected = errors.New("handover: refused")
)

// Came takes a message of the old one.
func (n *New) Came(m Message) ([]Action, error) {
	switch {
	case m.Kind == Reject && m.Again:
		return nil, fmt.Errorf("%w: %s", ErrBusy, m.Why)
	case m.Kind == Reject:
		return nil, fmt.Errorf("%w: %s", ErrRejected, m.Why)
	case m.Version != Version:
		return nil, fmt.Errorf("%w: version %d", ErrRejected, m.Version)
	case m.Kind == Offer && (n.state == asking || n.state == aside): // aside: it hung, and has woken
		if m.Quota.Sockets <= 0 || m.Quota.MemoryMB <= 0 || m.Listeners < 0 || m.Listeners > MaxListeners {
			return nil, ErrShape
		}
		n.state, n.quota = sharing, m.Quota
		return []Action{{Do: Limit, Quota: m.Quota}, {Do: TakeListener}}, nil
	case m.Kind == Grant && n.state == sharing:
		if !n.quota.within(m.Quota) {
			return nil, nil // a grant is never less than the one before
		}
		n.quota = m.Quota
		return []Action{{Do: Limit, Quota: m.Quota}}, nil
	}
	return nil, fmt.Errorf("%w: a message %q was not expected", ErrShape, m.Kind)
}

// Ready says that this process takes clients.
func (n *New) Ready() []Action {
	if n.state != sharing || n.servingSent {
		return nil
	}
	n.servingSent = true
	return []Action{{Do: Send, Message: Message{Kind: Serving, Version: Version}}}
}

// Lost says that the old one has gone: all that it held is free.
func (n *New) Lost() []Action {
	switch n.state {
	case sharing, aside:
		n.state, n.quota = alone, n.full
		return []Action{{Do: Limit, Quota: n.full}, {Do: Publish}}
	}
	return nil
}

// Alone says that no old process is left.
func (n *New) Alone() bool { return n.state == alone }
