package link

import (
	"sync"
	"sync/atomic"
	"testing"
)

// Two sides that each keep the sum within a limit never exceed it together, whoever
// writes when; and where there are no more who ask than may be held, none is refused.
func TestHeldByTwo(t *testing.T) {
	for _, c := range []struct{ older, newer, limit int }{{4, 4, 8}, {8, 0, 8}, {6, 6, 8}, {1, 1, 1}} {
		t1, f, err := newSharedTable(true)
		if err != nil {
			t.Fatal(err)
		}
		t2, err := mapSharedTable(f, true, successorSide)
		if err != nil {
			t.Fatal(err)
		}
		f.Close()
		var held, over, refused atomic.Int64
		var wait sync.WaitGroup
		for _, s := range []struct {
			ids  *SharedTable
			asks int
		}{{t1, c.older}, {t2, c.newer}} {
			wait.Go(func() {
				mine := 0
				for n := range 20000 {
					switch {
					case mine > 0 && (mine == s.asks || n%3 == 0):
						mine--
						held.Add(-1)
						s.ids.SetInFlight(mine)
					case mine == s.asks: // none at all
					case mine+1+s.ids.SetInFlight(mine+1) > c.limit:
						s.ids.SetInFlight(mine)
						refused.Add(1)
					default:
						if mine++; held.Add(1) > int64(c.limit) {
							over.Add(1)
						}
					}
				}
				held.Add(-int64(mine))
				s.ids.SetInFlight(0)
			})
		}
		wait.Wait()
		if over.Load() > 0 || c.older+c.newer <= c.limit && refused.Load() > 0 {
			t.Errorf("%+v: %d times over the limit, %d refused", c, over.Load(), refused.Load())
		}
		t1.Close()
		t2.Close()
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
