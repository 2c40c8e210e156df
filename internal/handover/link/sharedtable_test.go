package link

import (
	"sync"
	"sync/atomic"
	"testing"
)

// TestInFlightOfTwoProcesses checks that two processes that each keep the sum within a limit
// never exceed it together, and that none is rejected where both together need no more.
func TestInFlightOfTwoProcesses(t *testing.T) {
	for _, c := range []struct{ older, newer, limit int }{{4, 4, 8}, {8, 0, 8}, {6, 6, 8}, {1, 1, 1}} {
		predecessor, f, err := newSharedTable(true)
		if err != nil {
			t.Fatal(err)
		}
		successor, err := mapSharedTable(f, true, successorSide)
		if err != nil {
			t.Fatal(err)
		}
		f.Close()
		var inFlight, over, rejected atomic.Int64
		var wait sync.WaitGroup
		for _, s := range []struct {
			ids   *SharedTable
			wants int
		}{{predecessor, c.older}, {successor, c.newer}} {
			wait.Go(func() {
				own := 0
				for n := range 20000 {
					switch {
					case own > 0 && (own == s.wants || n%3 == 0):
						own--
						inFlight.Add(-1)
						s.ids.SetInFlight(own)
					case own == s.wants: // it may have none
					case own+1+s.ids.SetInFlight(own+1) > c.limit:
						s.ids.SetInFlight(own)
						rejected.Add(1)
					default:
						if own++; inFlight.Add(1) > int64(c.limit) {
							over.Add(1)
						}
					}
				}
				inFlight.Add(-int64(own))
				s.ids.SetInFlight(0)
			})
		}
		wait.Wait()
		if over.Load() > 0 || c.older+c.newer <= c.limit && rejected.Load() > 0 {
			t.Errorf("%+v: %d times over the limit, %d rejected", c, over.Load(), rejected.Load())
		}
		predecessor.Close()
		successor.Close()
	}
	plain, f, err := newSharedTable(false)
	if err != nil || plain.CountsInFlight() {
		t.Fatal("a table without a count:", err)
	}
	defer plain.Close()
	defer f.Close()
	if _, err := mapSharedTable(f, true, successorSide); err == nil {
		t.Error("a table without a count was taken for one with it")
	}
}
