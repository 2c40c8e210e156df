package handover

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

var full = Quota{Sockets: 200, MemoryMB: 64, InFlight: 101}

func hello() Message { return Message{Kind: Hello, Version: Version, Listen: "a:1"} }

func newOld() *Predecessor {
	return NewPredecessor("a:1", full, func() []byte { return []byte("learned") })
}

// trace is actions in one line.
func trace(acts []Action) (s string) {
	names := [...]string{"send", "shareTable", "sendListener", "drop", "limit", "unpublish", "publish", "stopAccepting", "takeListener", "ownListener"}
	for _, a := range acts {
		s += names[a.Type]
		switch a.Type {
		case SendMessage, SendListener:
			s += fmt.Sprintf("(%d %s %d)", a.To, a.Message.Kind, a.Message.Quota.Sockets)
		case Drop:
			s += fmt.Sprintf("(%d)", a.To)
		case Limit:
			s += fmt.Sprintf("(%d)", a.Quota.Sockets)
		}
		s += " "
	}
	return s
}

// TestPredecessorScript checks the predecessor's actions, step by step.
func TestPredecessorScript(t *testing.T) {
	o := newOld()
	for n, step := range []struct {
		do   func() []Action
		want string
	}{
		{func() []Action { return o.Receive(1, Message{Kind: Serving, Version: Version}) }, "send(1 refuse 0) drop(1) "},
		{func() []Action { return o.Receive(1, Message{Kind: Hello, Version: 9, Listen: "a:1"}) }, "send(1 refuse 0) drop(1) "},
		{func() []Action { return o.Receive(1, Message{Kind: Hello, Version: Version, Listen: "b:1"}) }, "send(1 refuse 0) drop(1) "},
		{func() []Action { return o.Receive(2, hello()) }, "limit(100) sendListener(2 offer 100) "},
		{func() []Action { return o.Receive(3, hello()) }, "send(3 refuse 0) drop(3) "},
		{func() []Action { return o.PeerLost(3) }, ""},
		{func() []Action { return o.PeerLost(2) }, "limit(200) "}, // it ended before it served
		{func() []Action { return o.Receive(4, hello()) }, "limit(100) sendListener(4 offer 100) "},
		{func() []Action { return o.ReleaseUnused(Quota{Sockets: 10}) }, ""}, // not terminating
		{func() []Action { return o.Terminate() }, ""},                       // the successor does not serve yet
		{func() []Action { return o.Receive(4, Message{Kind: Serving, Version: Version}) }, "unpublish stopAccepting "},
		{func() []Action { return o.ReleaseUnused(Quota{Sockets: 120, MemoryMB: 60}) }, "limit(100) send(4 grant 100) "}, // memory stays as it was, in-flight grows
		{func() []Action { return o.ReleaseUnused(Quota{Sockets: 30, MemoryMB: 60}) }, "limit(30) send(4 grant 170) "},
		{func() []Action { return o.ReleaseUnused(Quota{Sockets: 50, MemoryMB: 60}) }, ""}, // nothing is taken back
		{func() []Action { return o.PeerLost(4) }, "limit(200) "},
		{func() []Action { return o.Receive(5, NewSuccessor(full).Hello("a:1")[0].Message) }, "shareTable limit(100) sendListener(5 offer 100) "}, // the count is there before the limit
	} {
		if got := trace(step.do()); got != step.want {
			t.Fatalf("step %d: %q, want %q", n, got, step.want)
		}
	}
}

// TestSuccessorScript checks the successor's actions: alone, sharing, beside a predecessor that
// hangs and wakes up, rejected.
func TestSuccessorScript(t *testing.T) {
	offer := Message{Kind: Offer, Version: Version, Listen: "a:1", Quota: full.half()}
	n := NewSuccessor(full)
	if got := trace(n.NoPredecessor()); got != "limit(200) ownListener publish " || !n.Alone() {
		t.Error("alone:", got)
	}
	n = NewSuccessor(full)
	n.Hello("a:1")
	acts, err := n.Receive(offer)
	if got := trace(acts); got != "limit(100) takeListener " || err != nil {
		t.Error("offered:", got, err)
	}
	if got := trace(n.Ready()) + trace(n.Ready()); got != "send(0 serving 0) " {
		t.Error("ready:", got)
	}
	acts, _ = n.Receive(Message{Kind: Grant, Version: Version, Quota: Quota{150, 40, 60}})
	less, _ := n.Receive(Message{Kind: Grant, Version: Version, Quota: Quota{20, 4, 6}})
	if got := trace(acts) + trace(less); got != "limit(150) " {
		t.Error("granted:", got)
	}
	if got := trace(n.PredecessorLost()); got != "limit(200) publish " || !n.Alone() {
		t.Error("lost:", got)
	}
	n = NewSuccessor(full)
	if got := trace(n.PredecessorSilent()) + trace(n.Ready()) + trace(n.PredecessorLost()); got != "limit(100) ownListener limit(200) publish " {
		t.Error("silent:", got)
	}
	n = NewSuccessor(full) // the predecessor wakes up
	got := trace(n.PredecessorSilent()) + trace(n.Ready())
	acts, err = n.Receive(offer)
	if got += trace(acts) + trace(n.Ready()) + trace(n.PredecessorLost()); got != "limit(100) ownListener limit(100) takeListener send(0 serving 0) limit(200) publish " || err != nil {
		t.Error("woken:", got, err)
	}
	many := offer
	many.ListenerCount = MaxListeners + 1
	for _, m := range []Message{many, {Kind: Reject, Reason: "no"}, {Kind: Reject, Retryable: true}, {Kind: Offer, Version: 7}, {Kind: Offer, Version: Version}, {Kind: "what", Version: Version}, {Kind: Grant, Version: Version, Quota: full}} {
		if acts, err := NewSuccessor(full).Receive(m); err == nil || acts != nil {
			t.Errorf("%+v was taken: %s", m, trace(acts))
		}
	}
}

// limitsModel is a predecessor, its successors and what each may use.
type limitsModel struct {
	predecessor *Predecessor
	local       Quota // of the predecessor, as it was told
	granted     Quota // of the successor, as it was told
	successors  map[int]*Successor
	serving     int // the successor that serves; 0: none
	last        int
}

// TestLimitsAreNeverExceeded checks that, whatever happens in whatever order, both processes
// together never may use more than one, and that one accepts: the predecessor stops only
// while a successor serves.
func TestLimitsAreNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &limitsModel{predecessor: newOld(), local: full, successors: map[int]*Successor{}}
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

func (m *limitsModel) start(t *rapid.T) {
	m.last++
	m.successors[m.last] = NewSuccessor(full)
	for _, action := range m.successors[m.last].Hello("a:1") {
		m.perform(t, m.predecessor.Receive(m.last, action.Message))
	}
}

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
				t.Fatal("nobody accepts")
			}
		case Drop:
			delete(m.successors, action.To)
		case SendMessage, SendListener:
			if !m.deliver(t, action) {
				continue
			}
		}
		if !m.local.fitsWithin(full) || m.local.Sockets+m.granted.Sockets > full.Sockets || m.local.MemoryMB+m.granted.MemoryMB > full.MemoryMB || m.local.InFlight+m.granted.InFlight > full.InFlight+1 {
			t.Fatalf("old %+v, new %+v of %+v", m.local, m.granted, full)
		}
	}
}

// deliver gives a message to its successor. It returns false if that has ended or ends by
// it.
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
	for _, caused := range actions {
		if caused.Type == Limit {
			m.granted = caused.Quota
		}
	}
	return true
}
