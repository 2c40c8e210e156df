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
	Count       uint32 // counts the owner's words in this life
	Value       uint32
	Born        time.Duration // when it was told first, by one's own clock
	Direct      bool          // its owner told so here itself; not passed on
}

type entryKey struct {
	owner   Rank
	kind    uint8
	subject uint64
}

func (f *Entry) key() entryKey { return entryKey{f.Owner, f.Kind, f.Subject} }

// compare orders words of one owner on one subject by how late they are.
func (f Entry) compare(o Entry) int {
	return cmp.Or(cmp.Compare(f.Incarnation, o.Incarnation), cmp.Compare(f.Count, o.Count), cmp.Compare(f.Value, o.Value))
}

// Join is the least fact that holds what both say: the later one, born at the earlier
// time if they are the same.
func (f Entry) Join(o Entry) Entry {
	j := f
	switch c := f.compare(o); {
	case c < 0:
		j = o
	case c == 0:
		j.Born, j.Direct = min(f.Born, o.Born), f.Direct || o.Direct
	}
	return j
}

// storedEntry is a fact and how it is passed on.
type storedEntry struct {
	Entry
	kind *Kind
}

// entryTable holds facts within bounds: maxFacts in all, factsOfOne of each owner.
type entryTable struct {
	byKey   map[entryKey]*storedEntry
	byOwner map[Rank]int
	order   []entryKey // as they came, for the bound and the sweep
	swept   time.Duration
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
	if now-t.swept < sweepInterval {
		return
	}
	t.swept = now
	t.dropAll(n, func(h *storedEntry) bool { return now-h.Born > h.kind.TTL })
}

// dropAll forgets what is old.
func (t *entryTable) dropAll(n *Node, old func(*storedEntry) bool) {
	for _, k := range slices.Clone(t.order) {
		if old(t.byKey[k]) {
			t.drop(n, k)
		}
	}
}

// void forgets what a life before this one told.
func (t *entryTable) void(n *Node, owner Rank, life uint64) {
	if t.byOwner[owner] > 0 {
		t.dropAll(n, func(h *storedEntry) bool { return h.Owner == owner && h.Incarnation < life })
	}
}

// makeRoom makes room for a further fact of owner: its own oldest goes where it has too
// many, else the oldest of the least weight.
func (t *entryTable) makeRoom(n *Node, owner Rank, weight int) bool {
	full := t.byOwner[owner] >= factsOfOne
	if !full && len(t.byKey) < maxFacts {
		return true
	}
	var victim *storedEntry
	for _, h := range t.byKey {
		if full && h.Owner != owner || !full && h.kind.Weight > weight {
			continue
		}
		if victim == nil || cmp.Or(cmp.Compare(h.kind.Weight, victim.kind.Weight), cmp.Compare(h.Born, victim.Born),
			cmp.Compare(h.Owner, victim.Owner), cmp.Compare(h.Subject, victim.Subject), cmp.Compare(h.Kind, victim.Kind)) < 0 {
			victim = h
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
	n.count++
	f := Entry{Owner: n.cfg.Self, Kind: kind, Subject: subject, Incarnation: n.self.Incarnation, Count: n.count, Value: value, Born: now, Direct: true}
	n.localEntries[f.key()] = &f
	n.storeEntry(now, f)
	return true
}

// restamp tells all of this sidecar's facts again, in its new life.
func (n *Node) restamp(now time.Duration) {
	for _, k := range n.facts.order { // in their order: a map has none
		if f := n.localEntries[k]; f != nil {
			f.Incarnation = n.self.Incarnation
			n.storeEntry(now, *f)
		}
	}
}

// receiveEntry takes a fact that from tells.
func (n *Node) receiveEntry(now time.Duration, from Rank, f Entry) {
	kind := n.kinds[f.Kind]
	if kind == nil || int(f.Owner) >= len(n.members) || f.Incarnation == 0 || f.Incarnation >= maxIncarnation {
		n.stats.Rejected++
		return
	}
	f.Direct = f.Owner == from
	known := n.members[f.Owner].record.Incarnation
	switch {
	case now-f.Born > kind.TTL:
		return // faded: it is not taken up again
	case f.Owner == n.cfg.Self:
		// Of a life before this one, or what was told just now: nobody knows it better.
		if mine := n.localEntries[f.key()]; f.Incarnation == n.self.Incarnation && (mine == nil && f.Count > n.count || mine != nil && mine.compare(f) < 0) {
			n.outbid(now, f, mine)
		}
		return
	case f.Incarnation < known:
		return // an old life's news
	case known > 0 && f.Incarnation > known+maxIncarnationJump && !f.Direct:
		n.stats.Rejected++
		n.lookAt(f.Owner)
		return
	}
	n.storeEntry(now, f)
}

// outbid goes above a word that somebody else put into this sidecar's mouth: its own last
// one, if there is one, else one that is over at once.
func (n *Node) outbid(now time.Duration, f Entry, mine *Entry) {
	n.stats.Rejected++
	f.Value, f.Born, f.Direct = 0, now, true
	if mine != nil {
		f.Value = mine.Value
	}
	if f.Count == math.MaxUint32 { // no count is above: a new life's are
		n.self.Incarnation++
		n.self.Heartbeat, f.Incarnation, f.Count = 0, n.self.Incarnation, n.count
		n.restamp(now)
		n.advance(now)
	}
	n.count = max(n.count, f.Count) + 1
	f.Count = n.count
	n.localEntries[f.key()] = &f
	n.storeEntry(now, f)
}

// storeEntry merges a fact and makes it news if it is.
func (n *Node) storeEntry(now time.Duration, f Entry) {
	k := f.key()
	h := n.facts.byKey[k]
	if h == nil {
		kind := n.kinds[f.Kind]
		if !n.facts.makeRoom(n, f.Owner, kind.Weight) {
			return
		}
		h = &storedEntry{Entry: f, kind: kind}
		n.facts.byKey[k] = h
		n.facts.byOwner[f.Owner]++
		n.facts.order = append(n.facts.order, k)
	} else {
		before := h.Entry
		if h.Entry = before.Join(f); h.compare(before) == 0 {
			if f.compare(before) == 0 {
				n.known(pending{entry: k, isEntry: true})
			}
			return
		}
	}
	n.queue(now, pending{entry: k, isEntry: true, weight: h.kind.Weight, hot: h.kind.Hot})
}

// Entry is what an owner told last of a subject, false if it is not known or faded.
func (n *Node) Entry(now time.Duration, owner Rank, kind uint8, subject uint64) (Entry, bool) {
	h := n.facts.byKey[entryKey{owner, kind, subject}]
	if h == nil || !n.valid(h, now) {
		return Entry{}, false
	}
	return h.Entry, true
}

func (n *Node) valid(h *storedEntry, now time.Duration) bool {
	return now-h.Born <= h.kind.TTL && h.Incarnation >= n.members[h.Owner].record.Incarnation
}

// Entries yields what is known of a kind, in the order in which it came first.
func (n *Node) Entries(now time.Duration, kind uint8) iter.Seq[Entry] {
	return func(yield func(Entry) bool) {
		for _, k := range n.facts.order {
			if h := n.facts.byKey[k]; k.kind == kind && h != nil && n.valid(h, now) && !yield(h.Entry) {
				return
			}
		}
	}
}

// Pull asks an owner for its own word on a subject: what others passed on is no vote.
func (n *Node) Pull(now time.Duration, owner Rank, kind uint8, subject uint64) {
	if int(owner) < len(n.members) && owner != n.cfg.Self {
		n.send(now, owner, message{kind: kindPull, about: entryKey{owner, kind, subject}}, false)
	}
}
