package lease

import (
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var t0 = time.Date(2026, 3, 18, 20, 0, 0, 0, time.UTC)

func free(string) string { return "" }

func TestAllOrNone(t *testing.T) {
	var tab Table
	ls, err := tab.Acquire(t0, "op1", "sari", []string{"a", "b"}, time.Minute, free)
	if err != nil || len(ls) != 2 || ls[0].Token != 1 {
		t.Fatal(ls, err)
	}
	tab.Put(ls)
	_, err = tab.Acquire(t0, "op2", "budi", []string{"c", "b"}, time.Minute, free)
	held, ok := errors.AsType[*HeldError](err)
	if !ok || held.Holder != "sari" || held.Op != "op1" || !held.Expires.Equal(t0.Add(time.Minute)) {
		t.Fatal(err)
	}
	if err := tab.Check(t0, "op2", 2, "c"); err == nil {
		t.Error("one of two was granted")
	}
	_, err = tab.Acquire(t0, "op2", "budi", []string{"c"}, time.Minute, func(string) string { return "a step is under way" })
	if _, ok := errors.AsType[*HeldError](err); !ok {
		t.Error("busy, but granted:", err)
	}
	for _, ttl := range []time.Duration{0, -1, MaxTTL + 1} {
		if _, err := tab.Acquire(t0, "op2", "budi", []string{"c"}, ttl, free); err == nil {
			t.Error("granted for", ttl)
		}
	}
}

func TestEndAndClockGoingBack(t *testing.T) {
	var tab Table
	ls, _ := tab.Acquire(t0, "op1", "sari", []string{"a"}, time.Minute, free)
	tab.Put(ls)
	end := t0.Add(time.Minute)
	if err := tab.Check(end.Add(-1), "op1", 1, "a"); err != nil {
		t.Error(err)
	}
	for _, now := range []time.Time{end, t0.Add(-time.Hour)} {
		if err := tab.Check(now, "op1", 1, "a"); err == nil {
			t.Error("allowed at", now)
		}
		if _, err := tab.Renew(now, "op1", 1, []string{"a"}, time.Minute); err == nil {
			t.Error("renewed at", now)
		}
	}
	ls, err := tab.Acquire(end, "op2", "budi", []string{"a"}, time.Minute, free)
	if err != nil || ls[0].Token != 2 {
		t.Fatal(ls, err)
	}
	tab.Put(ls)
	if err := tab.Check(end, "op1", 1, "a"); err == nil {
		t.Error("the earlier token is still allowed")
	}
}

// For every sequence of calls and every movement of the clock, at most one token allows
// changes to an instance at any time, and a token that a later one replaced never does
// again.
func TestOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tab Table
		now := t0
		type grant struct {
			op     string
			token  int64
			fenced bool
		}
		var grants []*grant
		inst := []string{"a"}
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(-20, 40).Draw(t, "seconds")) * time.Second)
			op := rapid.SampledFrom([]string{"op1", "op2"}).Draw(t, "op")
			who := rapid.SampledFrom([]string{"sari", "budi"}).Draw(t, "who")
			if rapid.Bool().Draw(t, "renew") && len(grants) > 0 {
				g := rapid.SampledFrom(grants).Draw(t, "grant")
				if ls, err := tab.Renew(now, g.op, g.token, inst, 30*time.Second); err == nil {
					tab.Put(ls)
				}
			} else if ls, err := tab.Acquire(now, op, who, inst, 30*time.Second, free); err == nil {
				for _, g := range grants {
					g.fenced = true
				}
				tab.Put(ls)
				grants = append(grants, &grant{op: op, token: ls[0].Token})
			}
			allowed := 0
			for _, g := range grants {
				if tab.Check(now, g.op, g.token, "a") == nil {
					allowed++
					if g.fenced {
						t.Fatalf("token %d is allowed after a later one was granted", g.token)
					}
				}
			}
			if allowed > 1 {
				t.Fatalf("%d tokens are allowed at once", allowed)
			}
		}
	})
}
