package handover

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// fullQuota holds the limits of one sidecar.
var fullQuota = Quota{Sockets: 200, MemoryMB: 64, InFlight: 101}

// hello returns a hello without any of the optional features.
func hello() Message { return Message{Kind: Hello, Version: Version, Listen: "a:1"} }

// newPredecessor returns the predecessor at a:1, which owns fullQuota.
func newPredecessor() *Predecessor {
	return NewPredecessor("a:1", fullQuota, func() []byte { return []byte("learned") })
}

// trace formats actions in one line: the type of each, with the receiver, the kind of message and
// the sockets of the quota where it has them.
func trace(actions []Action) (s string) {
	names := [...]string{"send", "sendIDTable", "sendListener", "drop", "limit", "unpublish", "publish", "stopAccepting", "takeListener", "openListener"}
	for _, action := range actions {
		s += names[action.Type]
		switch action.Type {
		case SendMessage, SendListener:
			s += fmt.Sprintf("(%d %s %d)", action.To, action.Message.Kind, action.Message.Quota.Sockets)
		case Drop:
			s += fmt.Sprintf("(%d)", action.To)
		case Limit:
			s += fmt.Sprintf("(%d)", action.Quota.Sockets)
		}
		s += " "
	}
	return s
}

// TestPredecessorScript checks the actions that the predecessor returns at each step of several
// hand-overs: one successor ends before it serves, another one takes over and ends later.
func TestPredecessorScript(t *testing.T) {
	predecessor := newPredecessor()
	for n, step := range []struct {
		do   func() []Action
		want string
	}{
		{func() []Action { return predecessor.Receive(1, Message{Kind: Serving, Version: Version}) }, "send(1 refuse 0) drop(1) "},
		{func() []Action { return predecessor.Receive(1, Message{Kind: Hello, Version: 9, Listen: "a:1"}) }, "send(1 refuse 0) drop(1) "},
		{func() []Action { return predecessor.Receive(1, Message{Kind: Hello, Version: Version, Listen: "b:1"}) }, "send(1 refuse 0) drop(1) "},
		{func() []Action { return predecessor.Receive(2, hello()) }, "limit(100) sendListener(2 offer 100) "},
		{func() []Action { return predecessor.Receive(3, hello()) }, "send(3 refuse 0) drop(3) "},
		{func() []Action { return predecessor.PeerLost(3) }, ""},
		{func() []Action { return predecessor.PeerLost(2) }, "limit(200) "}, // the successor ended before it served
		{func() []Action { return predecessor.Receive(4, hello()) }, "limit(100) sendListener(4 offer 100) "},
		{func() []Action { return predecessor.ReleaseUnused(Quota{Sockets: 10}) }, ""}, // not terminating
		{func() []Action { return predecessor.Terminate() }, ""},                       // the successor does not serve yet
		{func() []Action { return predecessor.Receive(4, Message{Kind: Serving, Version: Version}) }, "unpublish stopAccepting "},
		{func() []Action { return predecessor.ReleaseUnused(Quota{Sockets: 120, MemoryMB: 60}) }, "limit(100) send(4 grant 100) "}, // the quotas of sockets and memory stay, that of requests in flight grows
		{func() []Action { return predecessor.ReleaseUnused(Quota{Sockets: 30, MemoryMB: 60}) }, "limit(30) send(4 grant 170) "},
		{func() []Action { return predecessor.ReleaseUnused(Quota{Sockets: 50, MemoryMB: 60}) }, ""}, // a grant is never reduced
		{func() []Action { return predecessor.PeerLost(4) }, "limit(200) "},
		{func() []Action { return predecessor.Receive(5, NewSuccessor(fullQuota).Hello("a:1")[0].Message) }, "sendIDTable limit(100) sendListener(5 offer 100) "}, // the table is shared before the limit shrinks
	} {
		if got := trace(step.do()); got != step.want {
			t.Fatalf("step %d: actions = %q, want %q", n, got, step.want)
		}
	}
}

// TestSuccessorScript checks the actions that the successor returns without a predecessor, with
// one, beside one that hangs and then resumes, and after messages that it must reject.
func TestSuccessorScript(t *testing.T) {
	offer := Message{Kind: Offer, Version: Version, Listen: "a:1", Quota: fullQuota.half()}
	successor := NewSuccessor(fullQuota)
	if got := trace(successor.NoPredecessor()); got != "limit(200) openListener publish " || !successor.WithoutPredecessor() {
		t.Errorf("NoPredecessor() = %q, WithoutPredecessor() = %v; want limit(200) openListener publish, true", got, successor.WithoutPredecessor())
	}
	successor = NewSuccessor(fullQuota)
	successor.Hello("a:1")
	actions, err := successor.Receive(offer)
	if got := trace(actions); got != "limit(100) takeListener " || err != nil {
		t.Errorf("Receive(offer) = %q, %v; want limit(100) takeListener", got, err)
	}
	if got := trace(successor.Ready()) + trace(successor.Ready()); got != "send(0 serving 0) " {
		t.Errorf("two calls of Ready() = %q, want send(0 serving 0) once", got)
	}
	actions, _ = successor.Receive(Message{Kind: Grant, Version: Version, Quota: Quota{150, 40, 60}})
	afterLess, _ := successor.Receive(Message{Kind: Grant, Version: Version, Quota: Quota{20, 4, 6}})
	if got := trace(actions) + trace(afterLess); got != "limit(150) " {
		t.Errorf("a grant of 150 sockets, then one of 20 = %q, want limit(150) only", got)
	}
	if got := trace(successor.PredecessorLost()); got != "limit(200) publish " || !successor.WithoutPredecessor() {
		t.Errorf("PredecessorLost() = %q, WithoutPredecessor() = %v; want limit(200) publish, true", got, successor.WithoutPredecessor())
	}
	successor = NewSuccessor(fullQuota)
	if got := trace(successor.PredecessorSilent()) + trace(successor.Ready()) + trace(successor.PredecessorLost()); got != "limit(100) openListener limit(200) publish " {
		t.Errorf("a silent predecessor that ends: actions = %q, want limit(100) openListener limit(200) publish", got)
	}
	successor = NewSuccessor(fullQuota) // the predecessor resumes
	got := trace(successor.PredecessorSilent()) + trace(successor.Ready())
	actions, err = successor.Receive(offer)
	if got += trace(actions) + trace(successor.Ready()) + trace(successor.PredecessorLost()); got != "limit(100) openListener limit(100) takeListener send(0 serving 0) limit(200) publish " || err != nil {
		t.Errorf("a silent predecessor that resumes: actions = %q, err = %v; want limit(100) openListener limit(100) takeListener send(0 serving 0) limit(200) publish, nil", got, err)
	}
	tooManyListeners := offer
	tooManyListeners.ListenerCount = MaxListeners + 1
	for _, message := range []Message{tooManyListeners, {Kind: Reject, Reason: "no"}, {Kind: Reject, Retryable: true}, {Kind: Offer, Version: 7}, {Kind: Offer, Version: Version}, {Kind: "what", Version: Version}, {Kind: Grant, Version: Version, Quota: fullQuota}} {
		if actions, err := NewSuccessor(fullQuota).Receive(message); err == nil || actions != nil {
			t.Errorf("Receive(%+v) = %q, nil; want an error and no action", message, trace(actions))
		}
	}
}

// limitsModel is a predecessor, its successors and the quotas that each was told to keep to.
type limitsModel struct {
	predecessor *Predecessor
	local       Quota // of the predecessor
	granted     Quota // of the successor
	successors  map[int]*Successor
	serving     int // the successor that serves; 0: none
	last        int // number of the latest successor
}

// TestLimitsAreNeverExceeded checks, for random sequences of events, that the quotas of both processes
// together never exceed the limits of one sidecar, and that one of them accepts: the predecessor stops
// accepting only while a successor is serving.
func TestLimitsAreNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &limitsModel{predecessor: newPredecessor(), local: fullQuota, successors: map[int]*Successor{}}
		t.Repeat(map[string]func(*rapid.T){
			"start": m.start,
			"serve": m.serve,
			"die":   m.die,
			"leave": func(t *rapid.T) { m.perform(t, m.predecessor.Terminate()) },
			"need": func(t *rapid.T) {
				used := Quota{rapid.IntRange(0, 200).Draw(t, "s"), rapid.IntRange(0, 64).Draw(t, "m"), rapid.IntRange(0, 101).Draw(t, "h")}
				m.perform(t, m.predecessor.ReleaseUnused(used))
			},
		})
	})
}

// start starts a successor, which requests a hand-over.
func (m *limitsModel) start(t *rapid.T) {
	m.last++
	m.successors[m.last] = NewSuccessor(fullQuota)
	for _, action := range m.successors[m.last].Hello("a:1") {
		m.perform(t, m.predecessor.Receive(m.last, action.Message))
	}
}

// serve makes the successor that has an offer accept clients.
func (m *limitsModel) serve(t *rapid.T) {
	for id, successor := range m.successors {
		for _, action := range successor.Ready() {
			m.serving = id
			m.perform(t, m.predecessor.Receive(id, action.Message))
		}
	}
}

// die ends one successor.
func (m *limitsModel) die(t *rapid.T) {
	for id := range m.successors {
		if delete(m.successors, id); id == m.predecessor.successor {
			m.granted = Quota{}
		}
		if id == m.serving {
			m.serving = 0
		}
		m.perform(t, m.predecessor.PeerLost(id))
		break
	}
}

// perform carries out the predecessor's actions and checks the limits after each.
func (m *limitsModel) perform(t *rapid.T, actions []Action) {
	for _, action := range actions {
		switch action.Type {
		case Limit:
			m.local = action.Quota
		case StopAccepting:
			if m.serving == 0 {
				t.Fatal("the predecessor stops accepting, and no successor is serving")
			}
		case Drop:
			delete(m.successors, action.To)
		case SendMessage, SendListener:
			if !m.deliver(t, action) {
				continue
			}
		}
		if !m.local.fitsWithin(fullQuota) || m.local.Sockets+m.granted.Sockets > fullQuota.Sockets || m.local.MemoryMB+m.granted.MemoryMB > fullQuota.MemoryMB || m.local.InFlight+m.granted.InFlight > fullQuota.InFlight+1 {
			t.Fatalf("the predecessor may use %+v and the successor %+v, together more than %+v", m.local, m.granted, fullQuota)
		}
	}
}

// deliver delivers a message to a successor and updates its quota. It returns false if the
// successor has ended or ends because of the message.
func (m *limitsModel) deliver(t *rapid.T, action Action) bool {
	successor := m.successors[action.To]
	if successor == nil {
		return false
	}
	actions, err := successor.Receive(action.Message)
	if err != nil {
		delete(m.successors, action.To)
		m.perform(t, m.predecessor.PeerLost(action.To))
		return false
	}
	for _, resulting := range actions {
		if resulting.Type == Limit {
			m.granted = resulting.Quota
		}
	}
	return true
}
