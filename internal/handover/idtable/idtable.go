// Package idtable is a set of request ids that the two processes of a hand-over share while
// both accept clients: an id that one process has open, or had open a short time ago, is known
// to the other. The set is in memory that the caller maps; the package does no I/O.
//
// It guarantees that of any number of concurrent calls of Open for one id within EntryTTL, in
// either process, at most one enters it. It does not guarantee that one does: two simultaneous
// calls may each find the entry of the other, and there may be no space, which Open reports.
// Entries expire by time alone, so a killed process leaves nothing to clean up.
//
// The set is a hash table of words. The highest 40 bits of a word are those of the id's hash,
// the other 24 the time until which the id is known. The lowest 14 bits of the hash are the
// index of the word at which the search begins. Each change is one compare-and-swap.
package idtable

import (
	"sync/atomic"
	"time"
)

const (
	// Slots is the number of words, a power of two. At four times the platform's rate of 320
	// requests per second, two thirds of them are free.
	Slots = 1 << 14
	// EntryTTL is how long an id is known after Open or Extend: the longest deadline, 3 s, and a
	// margin for a late retry.
	EntryTTL = 4 * time.Second

	maxProbes = 16                     // maximum number of words that are searched for an id
	tick      = 250 * time.Millisecond // the unit of the time in a word
	timeBits  = 24                     // bits of a word that hold the time
	timeMask  = 1<<timeBits - 1
	ttlTicks  = uint64(EntryTTL / tick)
)

// Result is the result of Open.
type Result int

const (
	Entered Result = iota // the id was not known, and is now
	Known                 // the id was known already
	Full                  // the id was not known, and there is no space for it
)

// Table is the set. Its methods may be called from any goroutine of any process.
type Table struct{ words []uint64 }

// NewTable returns the table that is stored in words. There must be Slots of them, all zero in a
// new table.
func NewTable(words []uint64) *Table { return &Table{words: words[:Slots]} }

// isLive reports whether the id in a word is known at now, in ticks. Times wrap around after 48
// days. A time further ahead than EntryTTL was written by another clock, and the word counts as
// free.
func isLive(word, now uint64) bool {
	remaining := (word - now) & timeMask
	return word != 0 && remaining > 0 && remaining <= ttlTicks
}

// Open enters the id with the given hash unless it is known already or there is no space. at is the
// time of a clock that both processes share and nobody sets (clock.SinceBoot): a step of the wall
// clock would make both forget the ids that they know. Processes of versions that used the wall clock
// share nothing with those of this version; each still knows its own ids.
func (t *Table) Open(hash uint64, at time.Duration) Result {
	tag, now := tagOf(hash), ticksOf(at)
	for {
		probe, previous, known := t.find(hash, tag, now, -1)
		switch {
		case known:
			return Known
		case probe < 0:
			return Full
		case !atomic.CompareAndSwapUint64(t.slot(hash, probe), previous, entryUntil(tag, now)):
			continue // another call has changed the word meanwhile
		}
		// Another call may have entered the same id in another word meanwhile. Of two calls
		// that enter an id before either searches again, at least one finds the other's entry.
		if _, _, known = t.find(hash, tag, now, probe); known {
			atomic.CompareAndSwapUint64(t.slot(hash, probe), entryUntil(tag, now), 0)
			return Known
		}
		return Entered
	}
}

// Extend makes an id that Open has entered known for EntryTTL from at, even if its entry has expired. It
// does nothing if the entry has expired and there is no space.
func (t *Table) Extend(hash uint64, at time.Duration) {
	tag, now := tagOf(hash), ticksOf(at)
	for probe := range maxProbes {
		slot := t.slot(hash, probe)
		word := atomic.LoadUint64(slot)
		if word&^timeMask == tag && isLive(word, now) {
			atomic.CompareAndSwapUint64(slot, word, entryUntil(tag, now))
			return
		}
	}
	t.Open(hash, at)
}

// tagOf returns the bits of a word that identify an id.
func tagOf(hash uint64) uint64 {
	tag := hash &^ timeMask
	if tag == 0 { // a word of 0 is free
		tag = 1 << timeBits
	}
	return tag
}

// ticksOf returns the time in a word for a time of the clock.
func ticksOf(at time.Duration) uint64 { return uint64(at/tick) & timeMask }

// entryUntil returns the word of an id that is known for EntryTTL from now.
func entryUntil(tag, now uint64) uint64 { return tag | (now+ttlTicks)&timeMask }

// slot returns the word that a probe searches for a hash. Probes are numbered from 0 to maxProbes-1.
func (t *Table) slot(hash uint64, probe int) *uint64 {
	return &t.words[(hash+uint64(probe))&(Slots-1)]
}

// find reports whether an id is known, in the words of all probes but except. If it is not known,
// find returns the first probe whose word is free, and that word; free is -1 if there is none.
func (t *Table) find(hash, tag, now uint64, except int) (free int, previous uint64, known bool) {
	free = -1
	for probe := range maxProbes {
		if probe == except {
			continue
		}
		word := atomic.LoadUint64(t.slot(hash, probe))
		switch live := isLive(word, now); {
		case live && word&^timeMask == tag:
			return -1, 0, true
		case !live && free < 0:
			free, previous = probe, word
		}
	}
	return free, previous, false
}
