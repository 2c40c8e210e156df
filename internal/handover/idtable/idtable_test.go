package idtable

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// t0 is a reading of a machine's boot clock.
const t0 = 40 * 24 * time.Hour

// Against a plain map with times: an id is known exactly as long as it should be,
// within a tick, in a table as full as it gets.
func TestAgainstAMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tab, plain, now := NewTable(make([]uint64, Slots)), make(map[uint64]time.Duration), time.Duration(t0)
		ids := make([]uint64, 64)
		for n := range ids {
			// Hashes differ above the place's bits; half of them share one place.
			ids[n] = uint64(n+1)<<timeBits | rapid.Uint64Range(0, Slots-1).Draw(t, "place")
			if n%2 == 1 {
				ids[n] = ids[n]&^(Slots-1) | ids[0]&(Slots-1)
			}
		}
		for range rapid.IntRange(1, 200).Draw(t, "openings") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
			id := ids[rapid.IntRange(0, len(ids)-1).Draw(t, "which")]
			at, was := plain[id]
			age := now - at
			full := tab.Overflowed()
			switch ok := tab.Open(id, now); {
			case ok && was && age <= EntryTTL-tick && tab.Overflowed() == full:
				t.Fatalf("an id of %v ago is forgotten", age)
			case !ok && (!was || age >= EntryTTL+tick):
				t.Fatalf("a new id passes for a known one (%v, %v)", was, age)
			case ok && tab.Overflowed() == full:
				plain[id] = now
			}
		}
	})
}

// Of many who open the same ids at once, one at most gets each, and over all nearly
// each is got.
func TestOneOpensEach(t *testing.T) {
	const ids, openers = 3000, 8
	tab := NewTable(make([]uint64, Slots))
	var got [ids]atomic.Int32
	var wait sync.WaitGroup
	hash := make([]uint64, ids)
	for n := range hash {
		hash[n] = rand.Uint64()
	}
	for range openers {
		wait.Go(func() {
			for n, h := range hash { // in step, so that they meet
				if tab.Open(h, t0) {
					got[n].Add(1)
				}
			}
		})
	}
	wait.Wait()
	once := 0
	for n := range got {
		switch got[n].Load() {
		case 0:
		case 1:
			once++
		default:
			t.Errorf("id %d was opened %d times", n, got[n].Load())
		}
	}
	if tab.Overflowed() > 0 || once < ids*9/10 {
		t.Errorf("%d of %d opened, %d for want of room", once, ids, tab.Overflowed())
	}
	if later := t0 + EntryTTL + tick; !tab.Open(hash[0], later) || tab.Open(hash[0], later) {
		t.Error("after its life an id is not new, or not known again")
	}
}

// A clock that steps back leaves words that lie too far ahead: they are free.
func TestClockSteps(t *testing.T) {
	tab := NewTable(make([]uint64, Slots))
	if !tab.Open(7, t0) || !tab.Open(7, t0-time.Hour) || tab.Open(7, t0-time.Hour) {
		t.Error("a word of an hour ahead is taken for a known one")
	}
}

// BenchmarkOpen is one opening among those that the platform's busiest day has open.
func BenchmarkOpen(b *testing.B) {
	b.Run("table", func(b *testing.B) {
		tab, at := NewTable(make([]uint64, Slots)), time.Duration(t0)
		for b.Loop() {
			at += 800 * time.Microsecond
			tab.Open(rand.Uint64(), at)
		}
	})
	// What could not be shared between processes, for the price: a map under a lock, with
	// a ring to forget the oldest.
	b.Run("map", func(b *testing.B) {
		var mu sync.Mutex
		known, ring, next := make(map[uint64]bool), make([]uint64, 5000), 0
		for b.Loop() {
			id := rand.Uint64()
			mu.Lock()
			if !known[id] {
				delete(known, ring[next])
				known[id], ring[next] = true, id
				next = (next + 1) % len(ring)
			}
			mu.Unlock()
		}
	})
}
