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

// trace is what actions ask for, in one line.
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

// The old process's side, step by step.
func TestOldScript(t *testing.T) {
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
		{func() []Action { return o.PeerLost(2) }, "limit(200) "}, // it died before it served
		{func() []Action { return o.Receive(4, hello()) }, "limit(100) sendListener(4 offer 100) "},
		{func() []Action { return o.ReleaseUnused(Quota{Sockets: 10}) }, ""}, // not on its way out
		{func() []Action { return o.Terminate() }, ""},                       // the new one does not serve yet
		{func() []Action { return o.Receive(4, Message{Kind: Serving, Version: Version}) }, "unpublish stopAccepting "},
		{func() []Action { return o.ReleaseUnused(Quota{Sockets: 120, MemoryMB: 60}) }, "limit(100) send(4 grant 100) "}, // memory stays as it was, held grows
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

// The new process's side: alone, shared, beside one that hangs and wakes, refused.
func TestNewScript(t *testing.T) {
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
	n = NewSuccessor(full) // the old one wakes
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

// Whatever happens in whatever order, the two together never may hold more than one,
// and some process accepts: the old one stops only while a new one serves.
func TestLimitsAreNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := newOld()
		old, taken := full, Quota{} // what each was told
		news := map[int]*Successor{}
		serving := 0
		var run func(acts []Action)
		run = func(acts []Action) {
			for _, a := range acts {
				switch a.Type {
				case Limit:
					old = a.Quota
				case StopAccepting:
					if serving == 0 {
						t.Fatal("nobody accepts")
					}
				case Drop:
					delete(news, a.To)
				case SendMessage, SendListener:
					n := news[a.To]
					if n == nil {
						continue
					}
					got, err := n.Receive(a.Message)
					if err != nil {
						delete(news, a.To)
						run(o.PeerLost(a.To))
						continue
					}
					for _, b := range got {
						if b.Type == Limit {
							taken = b.Quota
						}
					}
				}
				if !old.fitsWithin(full) || old.Sockets+taken.Sockets > full.Sockets || old.MemoryMB+taken.MemoryMB > full.MemoryMB || old.InFlight+taken.InFlight > full.InFlight+1 {
					t.Fatalf("old %+v, new %+v of %+v", old, taken, full)
				}
			}
		}
		last := 0
		t.Repeat(map[string]func(*rapid.T){
			"start": func(t *rapid.T) {
				last++
				news[last] = NewSuccessor(full)
				for _, a := range news[last].Hello("a:1") {
					run(o.Receive(last, a.Message))
				}
			},
			"serve": func(t *rapid.T) {
				for id, n := range news {
					for _, a := range n.Ready() {
						serving = id
						run(o.Receive(id, a.Message))
					}
				}
			},
			"die": func(t *rapid.T) {
				for id := range news {
					if delete(news, id); id == o.successor {
						taken = Quota{}
					}
					if id == serving {
						serving = 0
					}
					run(o.PeerLost(id))
					break
				}
			},
			"leave": func(t *rapid.T) { run(o.Terminate()) },
			"need": func(t *rapid.T) {
				run(o.ReleaseUnused(Quota{rapid.IntRange(0, 200).Draw(t, "s"), rapid.IntRange(0, 64).Draw(t, "m"), rapid.IntRange(0, 101).Draw(t, "h")}))
			},
		})
	})
}
