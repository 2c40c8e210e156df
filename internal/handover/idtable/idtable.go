// Package idtable is a set of request ids that the two processes of a hand-over share
// while both accept clients: an id that one has open, or had a short while ago, is known
// to the other. The set lies in memory that the caller maps; the package does no I/O.
//
// It promises that of any number of concurrent openings of one id within EntryTTL, in
// either process, at most one succeeds as long as there is space. Entries expire by time
// alone, so that a killed process leaves nothing to clean up. It does not promise that one
// succeeds: two at the very same moment may both find the id known. An id whose slots are
// all in use is accepted: each process still knows its own ids.
//
// The highest 40 bits of a word are those of the id's hash, the others the time until
// which the id is known. The lowest 14 bits of the hash are the word's index. Each change
// is one compare-and-swap.
package idtable

import (
	"sync/atomic"
	"time"
)

const (
	// Slots is the number of words, a power of two. At four times the platform's rate of 320
	// requests a second, two thirds of them are free.
	Slots = 1 << 14
	// EntryTTL is how long an id is known after its opening: the longest deadline, 3 s, and
	// a margin for a late retry.
	EntryTTL = 4 * time.Second

	maxProbes = 16                     // words that are searched for an id
	tick      = 250 * time.Millisecond // the unit of a word's time
	timeBits  = 24                     // of a word
	timeMask  = 1<<timeBits - 1
	ttlTicks  = uint64(EntryTTL / tick)
)

// Table is the set. Its methods may be called from any goroutine of any process.
type Table struct {
	words      []uint64
	overflowed atomic.Int64
}

// NewTable returns the table that lies in words: Slots of them, zero in a new table.
func NewTable(words []uint64) *Table { return &Table{words: words[:Slots]} }

// Overflowed is how many ids this process accepted without an entry, for want of space.
func (t *Table) Overflowed() int64 { return t.overflowed.Load() }

// isLive says whether a word's id is known at now. Times wrap around after 48 days. A time
// further ahead than EntryTTL was written by another clock.
func isLive(word, now uint64) bool {
	left := (word - now) & timeMask
	return word != 0 && left > 0 && left <= ttlTicks
}

// Open enters the id of a hash; false if it is known already. at is the time of a clock
// that both processes share and nobody sets (clock.Boot): a step of the wall clock would
// make both forget what they know. Processes of versions that count by the wall clock share
// nothing with those of this version; each still knows its own ids.
func (t *Table) Open(hash uint64, at time.Duration) bool {
	now := uint64(at/tick) & timeMask
	tag := hash &^ timeMask
	if tag == 0 {
		tag = 1 << timeBits
	}
	entry := tag | (now+ttlTicks)&timeMask
	for {
		place, previous, known := t.find(hash, tag, now, -1)
		switch {
		case known:
			return false
		case place < 0:
			t.overflowed.Add(1)
			return true
		case !atomic.CompareAndSwapUint64(t.slot(hash, place), previous, entry):
			continue // the word was taken meanwhile
		}
		// The same id may have been entered in another word meanwhile. Of two that enter
		// before either searches again, at least one sees the other.
		if _, _, known = t.find(hash, tag, now, place); known {
			atomic.CompareAndSwapUint64(t.slot(hash, place), entry, 0)
			return false
		}
		return true
	}
}

// slot is the word at a place of a hash, from 0 to maxProbes-1.
func (t *Table) slot(hash uint64, place int) *uint64 {
	return &t.words[(hash+uint64(place))&(Slots-1)]
}

// find says whether an id is known, in another place than except. If it is not, find
// returns the first place that is free and its word; free is -1 if there is none.
func (t *Table) find(hash, tag, now uint64, except int) (free int, previous uint64, known bool) {
	free = -1
	for place := range maxProbes {
		if place == except {
			continue
		}
		word := atomic.LoadUint64(t.slot(hash, place))
		switch live := isLive(word, now); {
		case live && word&^timeMask == tag:
			return -1, 0, true
		case !live && free < 0:
			free, previous = place, word
		}
	}
	return free, previous, false
}
