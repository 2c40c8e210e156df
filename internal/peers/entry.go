package peers

import (
	"cmp"
	"iter"
	"math"
	"slices"
	"time"
)

// Entry is what one sidecar tells of a subject. The last word of its owner counts; a Value
// of 0 says that there is nothing to say any more.
type Entry struct {
	Owner       Rank
	Kind        uint8
	Subject     uint64 // a hash of its name
	Incarnation uint64 // of the owner
	Sequence    uint32 // counts the owner's words in this life
	Value       uint32
	CreatedAt   time.Duration // when it was told first, by one's own clock
	Direct      bool          // its owner told so here itself; not passed on
}

type entryKey struct {
	owner   Rank
	kind    uint8
	subject uint64
}

func (entry *Entry) key() entryKey { return entryKey{entry.Owner, entry.Kind, entry.Subject} }

// compare orders words of one owner on one subject by how late they are.
func (entry Entry) compare(o Entry) int {
	return cmp.Or(cmp.Compare(entry.Incarnation, o.Incarnation), cmp.Compare(entry.Sequence, o.Sequence), cmp.Compare(entry.Value, o.Value))
}

// Join is the least fact that holds what both say: the later one, born at the earlier
// time if they are the same.
func (entry Entry) Join(o Entry) Entry {
	j := entry
	switch c := entry.compare(o); {
	case c < 0:
		j = o
	case c == 0:
		j.CreatedAt, j.Direct = min(entry.CreatedAt, o.CreatedAt), entry.Direct || o.Direct
	}
	return j
}

// storedEntry is a fact and how it is passed on.
type storedEntry struct {
	Entry
	kind *Kind
}

// entryTable holds facts within bounds: maxEntries in all, maxEntriesPerOwner of each owner.
type entryTable struct {
	byKey   map[entryKey]*storedEntry
	byOwner map[Rank]int
	order   []entryKey // as they came, for the bound and the sweep
	sweptAt time.Duration
}

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

// sweepInterval is how often facts that have faded are looked for.
const sweepInterval = time.Second

// sweep forgets what is too old.
func (t *entryTable) sweep(n *Node, now time.Duration) {
	if now-t.sweptAt < sweepInterval {
		return
	}
	t.sweptAt = now
	t.dropIf(n, func(stored *storedEntry) bool { return now-stored.CreatedAt > stored.kind.TTL })
}

// dropIf forgets what is old.
func (t *entryTable) dropIf(n *Node, old func(*storedEntry) bool) {
	for _, k := range slices.Clone(t.order) {
		if old(t.byKey[k]) {
			t.drop(n, k)
		}
	}
}

// dropEarlierIncarnations forgets what a life before this one told.
func (t *entryTable) dropEarlierIncarnations(n *Node, owner Rank, incarnation uint64) {
	if t.byOwner[owner] > 0 {
		t.dropIf(n, func(stored *storedEntry) bool { return stored.Owner == owner && stored.Incarnation < incarnation })
	}
}

// ensureCapacity makes room for a further fact of owner: its own oldest goes where it has too
// many, else the oldest of the least weight.
func (t *entryTable) ensureCapacity(n *Node, owner Rank, weight int) bool {
	full := t.byOwner[owner] >= maxEntriesPerOwner
	if !full && len(t.byKey) < maxEntries {
		return true
	}
	var victim *storedEntry
	for _, stored := range t.byKey {
		if full && stored.Owner != owner || !full && stored.kind.Weight > weight {
			continue
		}
		if victim == nil || cmp.Or(cmp.Compare(stored.kind.Weight, victim.kind.Weight), cmp.Compare(stored.CreatedAt, victim.CreatedAt),
			cmp.Compare(stored.Owner, victim.Owner), cmp.Compare(stored.Subject, victim.Subject), cmp.Compare(stored.Kind, victim.Kind)) < 0 {
			victim = stored
		}
	}
	n.stats.Forgotten++
	if victim == nil {
		return false
	}
	t.drop(n, victim.key())
	return true
}

// Publish tells the fleet a fact of this sidecar's. The same value again makes it young
// again, and is passed on as news. It returns false for a kind that is not configured.
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

// republishAll tells all of this sidecar's facts again, in its new life.
func (n *Node) republishAll(now time.Duration) {
	for _, k := range n.entries.order { // in their order: a map has none
		if entry := n.localEntries[k]; entry != nil {
			entry.Incarnation = n.self.Incarnation
			n.storeEntry(now, *entry)
		}
	}
}

// receiveEntry takes a fact that from tells.
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
		return // faded: it is not taken up again
	case entry.Owner == n.config.Self:
		// Of a life before this one, or what was told just now: nobody knows it better.
		if mine := n.localEntries[entry.key()]; entry.Incarnation == n.self.Incarnation && (mine == nil && entry.Sequence > n.sequence || mine != nil && mine.compare(entry) < 0) {
			n.supersede(now, entry, mine)
		}
		return
	case entry.Incarnation < known:
		return // an old life's news
	case known > 0 && entry.Incarnation > known+maxIncarnationJump && !entry.Direct:
		n.stats.Rejected++
		n.probeOutOfTurn(entry.Owner)
		return
	}
	n.storeEntry(now, entry)
}

// supersede goes above a word that somebody else put into this sidecar's mouth: its own last
// one, if there is one, else one that is over at once.
func (n *Node) supersede(now time.Duration, entry Entry, mine *Entry) {
	n.stats.Rejected++
	entry.Value, entry.CreatedAt, entry.Direct = 0, now, true
	if mine != nil {
		entry.Value = mine.Value
	}
	if entry.Sequence == math.MaxUint32 { // no count is above: a new life's are
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

// storeEntry merges a fact and makes it news if it is.
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

// Entry is what an owner told last of a subject, false if it is not known or faded.
func (n *Node) Entry(now time.Duration, owner Rank, kind uint8, subject uint64) (Entry, bool) {
	stored := n.entries.byKey[entryKey{owner, kind, subject}]
	if stored == nil || !n.isCurrent(stored, now) {
		return Entry{}, false
	}
	return stored.Entry, true
}

func (n *Node) isCurrent(stored *storedEntry, now time.Duration) bool {
	return now-stored.CreatedAt <= stored.kind.TTL && stored.Incarnation >= n.members[stored.Owner].record.Incarnation
}

// Entries yields what is known of a kind, in the order in which it came first.
func (n *Node) Entries(now time.Duration, kind uint8) iter.Seq[Entry] {
	return func(yield func(Entry) bool) {
		for _, k := range n.entries.order {
			if stored := n.entries.byKey[k]; k.kind == kind && stored != nil && n.isCurrent(stored, now) && !yield(stored.Entry) {
				return
			}
		}
	}
}

// Pull asks an owner for its own word on a subject: what others passed on is no vote.
func (n *Node) Pull(now time.Duration, owner Rank, kind uint8, subject uint64) {
	if int(owner) < len(n.members) && owner != n.config.Self {
		n.send(now, owner, message{kind: kindPull, pulled: entryKey{owner, kind, subject}}, false)
	}
}
