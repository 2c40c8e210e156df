package peers

import (
	"cmp"
	"iter"
	"math"
	"slices"
	"time"
)

// Entry is a value that a member, its owner, publishes about a subject. Only the owner's latest entry
// of a kind on a subject is valid. A Value of 0 withdraws the entry.
type Entry struct {
	Owner       Rank
	Kind        uint8
	Subject     uint64 // a hash of its name
	Incarnation uint64 // of the owner
	Sequence    uint32 // increases with each entry of the owner in this incarnation
	Value       uint32
	CreatedAt   time.Duration // when it was first published, by the local clock
	Direct      bool          // received from its owner; not transmitted
}

// entryKey identifies an entry: a later entry with the same key replaces it.
type entryKey struct {
	owner   Rank
	kind    uint8
	subject uint64
}

func (e *Entry) key() entryKey { return entryKey{e.Owner, e.Kind, e.Subject} }

// compare orders an owner's entries on one subject, earlier before later.
func (e Entry) compare(other Entry) int {
	return cmp.Or(cmp.Compare(e.Incarnation, other.Incarnation), cmp.Compare(e.Sequence, other.Sequence), cmp.Compare(e.Value, other.Value))
}

// Join returns the least upper bound of two entries with the same key: the later one or, if they are
// the same version, that version with the earlier creation time.
func (e Entry) Join(other Entry) Entry {
	joined := e
	switch c := e.compare(other); {
	case c < 0:
		joined = other
	case c == 0:
		joined.CreatedAt, joined.Direct = min(e.CreatedAt, other.CreatedAt), e.Direct || other.Direct
	}
	return joined
}

// storedEntry is an entry with its kind.
type storedEntry struct {
	Entry
	kind *EntryKind
}

// entryTable stores at most maxEntries entries, and at most maxEntriesPerOwner of each owner.
type entryTable struct {
	byKey   map[entryKey]*storedEntry
	byOwner map[Rank]int
	order   []entryKey    // in order of arrival
	sweptAt time.Duration // time of the latest sweep
}

// drop deletes an entry.
func (t *entryTable) drop(n *Node, k entryKey) {
	if t.byKey[k] == nil {
		return
	}
	delete(t.byKey, k)
	delete(n.localEntries, k)
	t.order = slices.DeleteFunc(t.order, func(o entryKey) bool { return o == k })
	if t.byOwner[k.owner]--; t.byOwner[k.owner] == 0 {
		delete(t.byOwner, k.owner)
	}
}

// sweepInterval is the interval between searches for expired entries.
const sweepInterval = time.Second

// sweep drops expired entries.
func (t *entryTable) sweep(n *Node, now time.Duration) {
	if now-t.sweptAt < sweepInterval {
		return
	}
	t.sweptAt = now
	t.dropIf(n, func(stored *storedEntry) bool { return now-stored.CreatedAt > stored.kind.TTL })
}

// dropIf drops the entries that match.
func (t *entryTable) dropIf(n *Node, matches func(*storedEntry) bool) {
	for _, k := range slices.Clone(t.order) {
		if matches(t.byKey[k]) {
			t.drop(n, k)
		}
	}
}

// dropEarlierIncarnations drops an owner's entries of incarnations before the given one.
func (t *entryTable) dropEarlierIncarnations(n *Node, owner Rank, incarnation uint64) {
	if t.byOwner[owner] > 0 {
		t.dropIf(n, func(stored *storedEntry) bool { return stored.Owner == owner && stored.Incarnation < incarnation })
	}
}

// ensureCapacity makes room for another entry of owner with the given weight, and returns false if it
// can't. If the owner has maxEntriesPerOwner entries, it evicts the one of the lowest weight and of
// these the oldest. Otherwise, if the table is full, it does so among all entries that have no higher
// weight than the new one.
func (t *entryTable) ensureCapacity(n *Node, owner Rank, weight int) bool {
	ownerFull := t.byOwner[owner] >= maxEntriesPerOwner
	if !ownerFull && len(t.byKey) < maxEntries {
		return true
	}
	var victim *storedEntry
	for _, stored := range t.byKey {
		if ownerFull && stored.Owner != owner || !ownerFull && stored.kind.Weight > weight {
			continue
		}
		if victim == nil || cmp.Or(cmp.Compare(stored.kind.Weight, victim.kind.Weight), cmp.Compare(stored.CreatedAt, victim.CreatedAt),
			cmp.Compare(stored.Owner, victim.Owner), cmp.Compare(stored.Subject, victim.Subject), cmp.Compare(stored.Kind, victim.Kind)) < 0 {
			victim = stored
		}
	}
	n.stats.Evicted++
	if victim == nil {
		return false
	}
	t.drop(n, victim.key())
	return true
}

// Publish publishes an entry of this member. Publishing the same value again renews the entry's
// creation time and queues a new update. Publish returns false for a kind that is not configured.
func (n *Node) Publish(now time.Duration, kind uint8, subject uint64, value uint32) bool {
	if n.kinds[kind] == nil {
		return false
	}
	n.sequence++
	entry := Entry{Owner: n.config.Self, Kind: kind, Subject: subject, Incarnation: n.self.Incarnation, Sequence: n.sequence, Value: value, CreatedAt: now, Direct: true}
	n.localEntries[entry.key()] = &entry
	n.storeEntry(now, entry)
	return true
}

// republishAll renews all of this member's entries in its new incarnation.
func (n *Node) republishAll(now time.Duration) {
	for _, k := range n.entries.order { // ordered, unlike localEntries
		if entry := n.localEntries[k]; entry != nil {
			entry.Incarnation = n.self.Incarnation
			n.storeEntry(now, *entry)
		}
	}
}

// receiveEntry processes an entry in a datagram from a member.
func (n *Node) receiveEntry(now time.Duration, from Rank, entry Entry) {
	kind := n.kinds[entry.Kind]
	if kind == nil || int(entry.Owner) >= len(n.members) || entry.Incarnation == 0 || entry.Incarnation >= maxIncarnation {
		n.stats.Rejected++
		return
	}
	entry.Direct = entry.Owner == from
	known := n.members[entry.Owner].record.Incarnation
	switch {
	case now-entry.CreatedAt > kind.TTL:
		return // expired: it is not stored again
	case entry.Owner == n.config.Self:
		// Only this member publishes its entries. An entry that is later than its own is forged.
		if mine := n.localEntries[entry.key()]; entry.Incarnation == n.self.Incarnation && (mine == nil && entry.Sequence > n.sequence || mine != nil && mine.compare(entry) < 0) {
			n.supersede(now, entry, mine)
		}
		return
	case entry.Incarnation < known:
		return // it belongs to an earlier incarnation
	case known > 0 && entry.Incarnation > known+maxIncarnationJump && !entry.Direct:
		n.stats.Rejected++
		n.prioritizeProbe(entry.Owner)
		return
	}
	n.storeEntry(now, entry)
}

// supersede replaces a forged entry of this member by a later one: the member's own latest value,
// or a withdrawal if it has published none.
func (n *Node) supersede(now time.Duration, entry Entry, mine *Entry) {
	n.stats.Rejected++
	entry.Value, entry.CreatedAt, entry.Direct = 0, now, true
	if mine != nil {
		entry.Value = mine.Value
	}
	if entry.Sequence == math.MaxUint32 { // no sequence is higher in this incarnation
		n.self.Incarnation++
		n.self.Heartbeat, entry.Incarnation, entry.Sequence = 0, n.self.Incarnation, n.sequence
		n.republishAll(now)
		n.advance(now)
	}
	n.sequence = max(n.sequence, entry.Sequence) + 1
	entry.Sequence = n.sequence
	n.localEntries[entry.key()] = &entry
	n.storeEntry(now, entry)
}

// storeEntry merges an entry, and queues an update if it is new.
func (n *Node) storeEntry(now time.Duration, entry Entry) {
	k := entry.key()
	stored := n.entries.byKey[k]
	if stored == nil {
		kind := n.kinds[entry.Kind]
		if !n.entries.ensureCapacity(n, entry.Owner, kind.Weight) {
			return
		}
		stored = &storedEntry{Entry: entry, kind: kind}
		n.entries.byKey[k] = stored
		n.entries.byOwner[entry.Owner]++
		n.entries.order = append(n.entries.order, k)
	} else {
		before := stored.Entry
		if stored.Entry = before.Join(entry); stored.compare(before) == 0 {
			if entry.compare(before) == 0 {
				n.countDuplicate(update{entry: k, isEntry: true})
			}
			return
		}
	}
	n.queueUpdate(now, update{entry: k, isEntry: true, weight: stored.kind.Weight, hot: stored.kind.Hot})
}

// Entry returns an owner's latest entry on a subject, and false if there is none or it has expired.
func (n *Node) Entry(now time.Duration, owner Rank, kind uint8, subject uint64) (Entry, bool) {
	stored := n.entries.byKey[entryKey{owner, kind, subject}]
	if stored == nil || !n.isCurrent(stored, now) {
		return Entry{}, false
	}
	return stored.Entry, true
}

// isCurrent reports whether an entry has not expired and is of its owner's known incarnation.
func (n *Node) isCurrent(stored *storedEntry, now time.Duration) bool {
	return now-stored.CreatedAt <= stored.kind.TTL && stored.Incarnation >= n.members[stored.Owner].record.Incarnation
}

// Entries yields the current entries of a kind, in order of first arrival.
func (n *Node) Entries(now time.Duration, kind uint8) iter.Seq[Entry] {
	return func(yield func(Entry) bool) {
		for _, k := range n.entries.order {
			if stored := n.entries.byKey[k]; k.kind == kind && stored != nil && n.isCurrent(stored, now) && !yield(stored.Entry) {
				return
			}
		}
	}
}

// Pull requests an entry from its owner: an entry that arrives from its owner is direct, and only
// direct entries count as votes.
func (n *Node) Pull(now time.Duration, owner Rank, kind uint8, subject uint64) {
	if int(owner) < len(n.members) && owner != n.config.Self {
		n.send(now, owner, message{kind: kindPull, pulled: entryKey{owner, kind, subject}}, false)
	}
}
