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

// TestAgainstAMap compares the table to a map with times: an id is known for EntryTTL, within
// a tick, even in a full table.
func TestAgainstAMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, plain, now := NewTable(make([]uint64, Slots)), make(map[uint64]time.Duration), time.Duration(t0)
		ids := make([]uint64, 64)
		for n := range ids {
			// Hashes differ above the bits of the index; half of them share one index.
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
			full := table.Overflowed()
			switch ok := table.Open(id, now); {
			case ok && was && age <= EntryTTL-tick && table.Overflowed() == full:
				t.Fatalf("an id of %v ago is forgotten", age)
			case !ok && (!was || age >= EntryTTL+tick):
				t.Fatalf("a new id passes for a known one (%v, %v)", was, age)
			case ok && table.Overflowed() == full:
				plain[id] = now
			}
		}
	})
}

// TestConcurrentOpens checks that of concurrent openings of an id at most one succeeds, and
// that for nearly all ids one does.
func TestConcurrentOpens(t *testing.T) {
	const ids, openers = 3000, 8
	table := NewTable(make([]uint64, Slots))
	var got [ids]atomic.Int32
	var wait sync.WaitGroup
	hash := make([]uint64, ids)
	for n := range hash {
		hash[n] = rand.Uint64()
	}
	for range openers {
		wait.Go(func() {
			for n, h := range hash { // in the same order, so that they collide
				if table.Open(h, t0) {
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
	if table.Overflowed() > 0 || once < ids*9/10 {
		t.Errorf("%d of %d opened, %d without an entry", once, ids, table.Overflowed())
	}
	if later := t0 + EntryTTL + tick; !table.Open(hash[0], later) || table.Open(hash[0], later) {
		t.Error("after its TTL an id is not new, or not known again")
	}
}

// TestClockSteps checks that after a clock has stepped back, words that lie too far ahead
// are free.
func TestClockSteps(t *testing.T) {
	table := NewTable(make([]uint64, Slots))
	if !table.Open(7, t0) || !table.Open(7, t0-time.Hour) || table.Open(7, t0-time.Hour) {
		t.Error("a word of an hour ahead counts as known")
	}
}

// BenchmarkOpen measures one opening at the rate of the platform's busiest day.
func BenchmarkOpen(b *testing.B) {
	b.Run("table", func(b *testing.B) {
		table, at := NewTable(make([]uint64, Slots)), time.Duration(t0)
		for b.Loop() {
			at += 800 * time.Microsecond
			table.Open(rand.Uint64(), at)
		}
	})
	// For comparison, what processes could not share: a map under a lock, with a ring to
	// forget the oldest.
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
