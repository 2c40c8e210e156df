package lease

import (
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// t0 is the time at which the tests start.
var t0 = time.Date(2026, 3, 18, 20, 0, 0, 0, time.UTC)

// notBusy reports no conflict on any instance.
func notBusy(string) string { return "" }

// TestAllOrNone checks that Acquire grants nothing if one of the instances is leased, if an
// instance is busy, or if the duration is out of range.
func TestAllOrNone(t *testing.T) {
	var table Table
	leases, err := table.Acquire(t0, "op1", "sari", []string{"a", "b"}, time.Minute, notBusy)
	if err != nil || len(leases) != 2 || leases[0].Token != 1 {
		t.Fatalf("Acquire of two free instances = %+v, %v; want 2 leases with token 1", leases, err)
	}
	table.Put(leases)
	_, err = table.Acquire(t0, "op2", "budi", []string{"c", "b"}, time.Minute, notBusy)
	held, ok := errors.AsType[*HeldError](err)
	if !ok || held.Holder != "sari" || held.Op != "op1" || !held.Expires.Equal(t0.Add(time.Minute)) {
		t.Fatalf("Acquire of a leased instance: got error %v, want a HeldError with sari's lease", err)
	}
	if err := table.Check(t0, "op2", 2, "c"); err == nil {
		t.Error("after a failed Acquire of c and b, token 2 allows changes to c")
	}
	_, err = table.Acquire(t0, "op2", "budi", []string{"c"}, time.Minute, func(string) string { return "a step is running" })
	if _, ok := errors.AsType[*HeldError](err); !ok {
		t.Errorf("Acquire of a busy instance: got error %v, want a HeldError", err)
	}
	for _, ttl := range []time.Duration{0, -1, MaxTTL + 1} {
		if _, err := table.Acquire(t0, "op2", "budi", []string{"c"}, ttl, notBusy); err == nil {
			t.Errorf("Acquire granted a lease for the invalid duration %v", ttl)
		}
	}
}

// TestEndAndClockGoingBack checks that a lease ends at its expiry, and when the clock is set
// back to before its grant, and that its token stays fenced after the next grant.
func TestEndAndClockGoingBack(t *testing.T) {
	var table Table
	leases, _ := table.Acquire(t0, "op1", "sari", []string{"a"}, time.Minute, notBusy)
	table.Put(leases)
	end := t0.Add(time.Minute)
	if err := table.Check(end.Add(-1), "op1", 1, "a"); err != nil {
		t.Errorf("Check 1ns before the expiry: %v", err)
	}
	for _, now := range []time.Time{end, t0.Add(-time.Hour)} {
		if err := table.Check(now, "op1", 1, "a"); err == nil {
			t.Errorf("the token allows changes at %v, outside of its lease", now)
		}
		if _, err := table.Renew(now, "op1", 1, []string{"a"}, time.Minute); err == nil {
			t.Errorf("the lease was renewed at %v, outside of its time", now)
		}
	}
	leases, err := table.Acquire(end, "op2", "budi", []string{"a"}, time.Minute, notBusy)
	if err != nil || leases[0].Token != 2 {
		t.Fatalf("Acquire after the expiry = %+v, %v; want a lease with token 2", leases, err)
	}
	table.Put(leases)
	if err := table.Check(end, "op1", 1, "a"); err == nil {
		t.Error("the earlier token still allows changes after the next grant")
	}
}

// TestOneHolder checks for random sequences of calls and random jumps of the clock that at
// most one token allows changes to an instance at any time, and that a token never does
// again after a later one was granted.
func TestOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var table Table
		now := t0
		type grant struct {
			op     string
			token  int64
			fenced bool
		}
		var grants []*grant
		instances := []string{"a"}
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(-20, 40).Draw(t, "seconds")) * time.Second)
			op := rapid.SampledFrom([]string{"op1", "op2"}).Draw(t, "op")
			who := rapid.SampledFrom([]string{"sari", "budi"}).Draw(t, "who")
			if rapid.Bool().Draw(t, "renew") && len(grants) > 0 {
				g := rapid.SampledFrom(grants).Draw(t, "grant")
				if leases, err := table.Renew(now, g.op, g.token, instances, 30*time.Second); err == nil {
					table.Put(leases)
				}
			} else if leases, err := table.Acquire(now, op, who, instances, 30*time.Second, notBusy); err == nil {
				for _, g := range grants {
					g.fenced = true
				}
				table.Put(leases)
				grants = append(grants, &grant{op: op, token: leases[0].Token})
			}
			allowed := 0
			for _, g := range grants {
				if table.Check(now, g.op, g.token, "a") == nil {
					allowed++
					if g.fenced {
						t.Fatalf("token %d allows changes after a later one was granted", g.token)
					}
				}
			}
			if allowed > 1 {
				t.Fatalf("%d tokens allow changes to the instance at once, want at most 1", allowed)
			}
		}
	})
}
