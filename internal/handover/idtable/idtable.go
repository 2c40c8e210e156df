// Package idtable is a set of request ids that the old process of a sidecar and the new
// one share while both take clients: an id that one has open, or had a short while ago,
// is known to the other. It is laid over memory that the caller maps; it does no I/O.
//
// It promises that of any number of openings of one id within Life, in either process
// and at the same time, at most one succeeds, as long as there is room. It forgets by
// time alone, so a process that is killed leaves nothing that must be cleaned up. It
// does not promise that one succeeds: two at the very same moment may both be told
// that the id is known. Where the 16 places of an id are taken, the id is let through:
// each process still knows its own.
//
// A word is 40 bits of the id's hash, and in the others until when it is known. 14 bits
// more of the hash are in its place. All changes are one compare-and-swap.
package idtable

import (
	"sync/atomic"
	"time"
)

const (
	// Slots is the number of words: a power of two. At four times the platform's rate
	// of 320 requests a second, two thirds of it stay free.
	Slots = 1 << 14
	// EntryTTL is how long an id is known from its opening: the longest deadline, 3 s, and
	// some more for one that comes late.
	EntryTTL = 4 * time.Second

	maxProbes = 16
	tick      = 250 * time.Millisecond // the unit of a word's time
	// Of a word.
	timeBits = 24
	timeMask = 1<<timeBits - 1
	ttlTicks = uint64(EntryTTL / tick)
)

// Table is the set. Its methods may be called from any goroutine of any process.
type Table struct {
	words      []uint64
	overflowed atomic.Int64
}

// NewTable returns the table that lies in words, Slots of them, zero where it is new.
func NewTable(words []uint64) *Table { return &Table{words: words[:Slots]} }

// Overflowed is how many ids this process let through for want of room.
func (t *Table) Overflowed() int64 { return t.overflowed.Load() }

// isLive says whether a word is known at now. Times are compared around the wrap, after
// 48 days; one that lies further ahead than any may was written by another clock.
func isLive(w, now uint64) bool {
	left := (w - now) & timeMask
	return w != 0 && left > 0 && left <= ttlTicks
}

// Open enters the id of that hash; false if it is known already. at is of a clock that both
// processes read alike and nobody steps (clock.Boot): a step of the wall clock would make
// both forget what they know. A process of a version that counted by the wall clock shares
// nothing with one of this version; each still knows its own.
func (t *Table) Open(hash uint64, at time.Duration) bool {
	now := uint64(at/tick) & timeMask
	tag := hash &^ timeMask
	if tag == 0 {
		tag = 1 << timeBits
	}
	word := tag | (now+ttlTicks)&timeMask
	for {
		place, was, known := t.find(hash, tag, now, -1)
		switch {
		case known:
			return false
		case place < 0:
			t.overflowed.Add(1)
			return true
		case !atomic.CompareAndSwapUint64(t.word(hash, place), was, word):
			continue // somebody took the place: look again
		}
		// Another may have entered the same id elsewhere since this one looked. Of two
		// that enter before either looks again, each sees the other, or one does.
		if _, _, known = t.find(hash, tag, now, place); known {
			atomic.CompareAndSwapUint64(t.word(hash, place), word, 0)
			return false
		}
		return true
	}
}

func (t *Table) word(hash uint64, place int) *uint64 {
	return &t.words[(hash+uint64(place))&(Slots-1)]
}

// find finds whether an id is known, in another place than but, and the first that is free.
func (t *Table) find(hash, tag, now uint64, but int) (free int, was uint64, known bool) {
	free = -1
	for place := range maxProbes {
		if place == but {
			continue
		}
		w := atomic.LoadUint64(t.word(hash, place))
		switch live := isLive(w, now); {
		case live && w&^timeMask == tag:
			return -1, 0, true
		case !live && free < 0:
			free, was = place, w
		}
	}
	return free, was, false
}
