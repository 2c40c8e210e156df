package handover

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

var full = Quota{Sockets: 200, MemoryMB: 64, InFlight: 101}

func hello() Message { return Message{Kind: Hello, Version: Version, Listen: "a:1"} }

func newOld() *Old { return NewOld("a:1", full, func() []byte { return []byte("learned") }) }

// trace is what actions ask for, in one line.
func trace(acts []Action) (s string) {
	names := [...]string{"send", "shareTable", "sendListener", "drop", "limit", "unpublish", "publish", "stopAccepting", "takeListener", "ownListener"}
	for _, a := range acts {
		s += names[a.Do]
		switch a.Do {
		case Send, SendListener:
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
		{func() []Action { return o.Came(1, Message{Kind: Serving, Version: Version}) }, "send(1 refuse 0) drop(1) "},
		{func() []Action { return o.Came(1, Message{Kind: Hello, Version: 9, Listen: "a:1"}) }, "send(1 refuse 0) drop(1) "},
		{func() []Action { return o.Came(1, Message{Kind: Hello, Version: Version, Listen: "b:1"}) }, "send(1 refuse 0) drop(1) "},
		{func() []Action { return o.Came(2, hello()) }, "limit(100) sendListener(2 offer 100) "},
		{func() []Action { return o.Came(3, hello()) }, "send(3 refuse 0) drop(3) "},
		{func() []Action { return o.Lost(3) }, ""},
		{func() []Action { return o.Lost(2) }, "limit(200) "}, // it died before it served
		{func() []Action { return o.Came(4, hello()) }, "limit(100) sendListener(4 offer 100) "},
		{func() []Action { return o.Needs(Quota{Sockets: 10}) }, ""}, // not on its way out
		{func() []Action { return o.Leave() }, ""},                   // the new one does not serve yet
		{func() []Action { return o.Came(4, Message{Kind: Serving, Version: Version}) }, "unpublish stopAccepting "},
		{func() []Action { return o.Needs(Quota{Sockets: 120, MemoryMB: 60}) }, "limit(100) send(4 grant 100) "}, // memory stays as it was, held grows
		{func() []Action { return o.Needs(Quota{Sockets: 30, MemoryMB: 60}) }, "limit(30) send(4 grant 170) "},
		{func() []Action { return o.Needs(Quota{Sockets: 50, MemoryMB: 60}) }, ""}, // nothing is taken back
		{func() []Action { return o.Lost(4) }, "limit(200) "},
		{func() []Action { return o.Came(5, NewNew(full).Begin("a:1")[0].Message) }, "shareTable limit(100) sendListener(5 offer 100) "}, // the count is there before the limit
	} {
		if got := trace(step.do()); got != step.want {
			t.Fatalf("step %d: %q, want %q", n, got, step.want)
		}
	}
}

// The new process's side: alone, shared, beside one that hangs and wakes, refused.
func TestNewScript(t *testing.T) {
	offer := Message{Kind: Offer, Version: Version, Listen: "a:1", Quota: full.half()}
	n := NewNew(full)
	if got := trace(n.Nobody()); got != "limit(200) ownListener publish " || !n.Alone() {
		t.Error("alone:", got)
	}
	n = NewNew(full)
	n.Begin("a:1")
	acts, err := n.Came(offer)
	if got := trace(acts); got != "limit(100) takeListener " || err != nil {
		t.Error("offered:", got, err)
	}
	if got := trace(n.Ready()) + trace(n.Ready()); got != "send(0 serving 0) " {
		t.Error("ready:", got)
	}
	acts, _ = n.Came(Message{Kind: Grant, Version: Version, Quota: Quota{150, 40, 60}})
	less, _ := n.Came(Message{Kind: Grant, Version: Version, Quota: Quota{20, 4, 6}})
	if got := trace(acts) + trace(less); got != "limit(150) " {
		t.Error("granted:", got)
	}
	if got := trace(n.Lost()); got != "limit(200) publish " || !n.Alone() {
		t.Error("lost:", got)
	}
	n = NewNew(full)
	if got := trace(n.Silent()) + trace(n.Ready()) + trace(n.Lost()); got != "limit(100) ownListener limit(200) publish " {
		t.Error("silent:", got)
	}
	n = NewNew(full) // the old one wakes
	got := trace(n.Silent()) + trace(n.Ready())
	acts, err = n.Came(offer)
	if got += trace(acts) + trace(n.Ready()) + trace(n.Lost()); got != "limit(100) ownListener limit(100) takeListener send(0 serving 0) limit(200) publish " || err != nil {
		t.Error("woken:", got, err)
	}
	many := offer
	many.Listeners = MaxListeners + 1
	for _, m := range []Message{many, {Kind: Reject, Why: "no"}, {Kind: Reject, Again: true}, {Kind: Offer, Version: 7}, {Kind: Offer, Version: Version}, {Kind: "what", Version: Version}, {Kind: Grant, Version: Version, Quota: full}} {
		if acts, err := NewNew(full).Came(m); err == nil || acts != nil {
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
		news := map[int]*New{}
		serving := 0
		var run func(acts []Action)
		run = func(acts []Action) {
			for _, a := range acts {
				switch a.Do {
				case Limit:
					old = a.Quota
				case StopAccepting:
					if serving == 0 {
						t.Fatal("nobody accepts")
					}
				case Drop:
					delete(news, a.To)
				case Send, SendListener:
					n := news[a.To]
					if n == nil {
						continue
					}
					got, err := n.Came(a.Message)
					if err != nil {
						delete(news, a.To)
						run(o.Lost(a.To))
						continue
					}
					for _, b := range got {
						if b.Do == Limit {
							taken = b.Quota
						}
					}
				}
				if !old.within(full) || old.Sockets+taken.Sockets > full.Sockets || old.MemoryMB+taken.MemoryMB > full.MemoryMB || old.InFlight+taken.InFlight > full.InFlight+1 {
					t.Fatalf("old %+v, new %+v of %+v", old, taken, full)
				}
			}
		}
		last := 0
		t.Repeat(map[string]func(*rapid.T){
			"start": func(t *rapid.T) {
				last++
				news[last] = NewNew(full)
				for _, a := range news[last].Begin("a:1") {
					run(o.Came(last, a.Message))
				}
			},
			"serve": func(t *rapid.T) {
				for id, n := range news {
					for _, a := range n.Ready() {
						serving = id
						run(o.Came(id, a.Message))
					}
				}
			},
			"die": func(t *rapid.T) {
				for id := range news {
					if delete(news, id); id == o.peer {
						taken = Quota{}
					}
					if id == serving {
						serving = 0
					}
					run(o.Lost(id))
					break
				}
			},
			"leave": func(t *rapid.T) { run(o.Leave()) },
			"need": func(t *rapid.T) {
				run(o.Needs(Quota{rapid.IntRange(0, 200).Draw(t, "s"), rapid.IntRange(0, 64).Draw(t, "m"), rapid.IntRange(0, 101).Draw(t, "h")}))
			},
		})
	})
}
