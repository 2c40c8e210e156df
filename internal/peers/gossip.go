package peers

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// update is a changed record or entry to be sent.
type update struct {
	rank      Rank
	entry     entryKey
	isEntry   bool
	hot       bool // to be sent by pushHot
	weight    int
	transmits int // how often it has been sent
}

// sameSubject reports whether both are updates of the same record or entry.
func (u update) sameSubject(other update) bool {
	return other.isEntry == u.isEntry && other.entry == u.entry && other.rank == u.rank
}

// queueUpdate queues an update in place of an earlier one of the same subject, and schedules
// pushHot for a hot one.
func (n *Node) queueUpdate(now time.Duration, u update) {
	n.updates = slices.DeleteFunc(n.updates, u.sameSubject)
	if len(n.updates) >= maxUpdates { // drop the update of the lowest weight, and of these the one sent most often
		lowest := 0
		for i, other := range n.updates {
			if o := n.updates[lowest]; cmp.Or(cmp.Compare(o.weight, other.weight), cmp.Compare(other.transmits, o.transmits)) > 0 {
				lowest = i
			}
		}
		n.updates = slices.Delete(n.updates, lowest, lowest+1)
	}
	n.updates = append(n.updates, u)
	if u.hot && n.hotDue == 0 {
		n.hotDue = now + time.Duration(n.rng.Float64()*float64(hotDelay)) + 1
	}
}

// maxTransmits returns how often an update is sent.
func (n *Node) maxTransmits() int { return int(math.Ceil(transmitFactor * n.logSize)) }

// countDuplicate records that another member sent an update that is known already. After a few
// duplicates it is no longer sent (rumor mongering with a counter, Demers et al. 1987).
func (n *Node) countDuplicate(u update) {
	for i := range n.updates {
		if other := &n.updates[i]; u.sameSubject(*other) {
			other.transmits += 1 + n.maxTransmits()/maxDuplicates
			return
		}
	}
}

// maxDuplicates is the number of duplicates after which an update is no longer sent.
const maxDuplicates = 6

// updateOrder returns the order in which updates are added to a datagram: hot ones first, then by
// weight, then those sent least often, the latest first.
func (n *Node) updateOrder() []int {
	order := make([]int, len(n.updates))
	for i := range order {
		order[i] = len(order) - 1 - i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		u, other := &n.updates[a], &n.updates[b]
		return cmp.Or(compareBool(other.hot, u.hot), cmp.Compare(other.weight, u.weight), cmp.Compare(u.transmits, other.transmits))
	})
	return order
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// send adds a datagram to Out with as many updates as fit, and returns false if the rate limit does not
// allow it. must allows a debt of up to one burst; it is set for datagrams that the membership depends
// on.
func (n *Node) send(now time.Duration, to Rank, m message, must bool) bool {
	n.tokens = min(n.config.Burst, n.tokens+n.config.Rate*(now-n.tokensUpdated).Seconds())
	n.tokensUpdated = now
	if n.tokens < MaxDatagram && !(must && n.tokens > -n.config.Burst) {
		n.stats.RateLimited++
		return false
	}
	m.self = n.self
	w := newWriter(now)
	w.header(m)
	theirs := n.members[to].record
	if theirs.Incarnation > 0 && (theirs.State != Alive || n.members[to].directIncarnation != theirs.Incarnation) {
		w.addRecord(theirs) // lets the member refute what is known about it
	}
	if m.publish != nil {
		w.addEntry(*m.publish)
	}
	limit, hasSpace := n.maxTransmits(), true
	order := n.updateOrder()
	if m.kind != kindUpdate && n.tokens < n.config.Burst/2 {
		order, hasSpace = nil, false // the remaining tokens are reserved for hot updates
	}
	for _, i := range order {
		u := &n.updates[i]
		if !u.isEntry && u.rank == to || u.isEntry && u.entry.owner == to {
			continue
		}
		if hasSpace = n.addUpdate(now, w, u); !hasSpace {
			break
		}
		u.transmits++
	}
	n.updates = slices.DeleteFunc(n.updates, func(u update) bool { return u.transmits >= limit })
	if hasSpace {
		n.addFillers(now, w, to, m.kind == kindAck)
	}
	data := w.finish(n)
	n.tokens -= float64(len(data))
	n.stats.Sent++
	n.stats.SentBytes += uint64(len(data))
	n.out = append(n.out, Datagram{to, data})
	return true
}

// addUpdate adds an update to a datagram, and returns false if it does not fit. An obsolete update
// is skipped and counts as added.
func (n *Node) addUpdate(now time.Duration, w *writer, u *update) bool {
	if u.isEntry {
		stored := n.entries.byKey[u.entry]
		if stored == nil || !n.isCurrent(stored, now) {
			u.transmits = math.MaxInt - 1
			return true
		}
		return w.addEntry(stored.Entry)
	}
	if u.rank == n.config.Self {
		return true // it is in the header
	}
	return w.addRecord(n.members[u.rank].record)
}

// addFillers adds known records and entries in turn, for members that missed their updates. An
// acknowledgement to a member that has just started gets as many as fit.
func (n *Node) addFillers(now time.Duration, w *writer, to Rank, isAck bool) {
	left := maxFillers
	if m := &n.members[to]; isAck && now-m.record.StartedAt < 10*n.config.Period {
		left = math.MaxInt
	}
	all := len(n.members) + len(n.entries.order)
	for attempts := 0; attempts < min(all, 64) && left > 0; attempts++ {
		n.lastFiller = (n.lastFiller + 1) % all
		var ok bool
		if i := n.lastFiller - len(n.members); i >= 0 {
			stored := n.entries.byKey[n.entries.order[i]]
			if stored.Owner == to || !n.isCurrent(stored, now) {
				continue
			}
			ok = w.addEntry(stored.Entry)
		} else {
			r := Rank(n.lastFiller)
			if r == to || r == n.config.Self || n.members[r].record.Incarnation == 0 {
				continue
			}
			ok = w.addRecord(n.members[r].record)
		}
		if !ok {
			return
		}
		left--
	}
}

// maxPushRounds is the maximum number of datagrams to each member in which pushHot sends hot
// updates.
const maxPushRounds = 4

// pushHot sends the hot updates immediately to a random sample of members.
func (n *Node) pushHot(now time.Duration) {
	waiting := func(u update) bool {
		return u.hot && u.transmits < n.config.Fanout && (u.isEntry || n.tokens > n.config.Burst/2)
	}
	// One datagram may not have space for all of them. Updates that the rate limit delays are sent with probes.
	for round := 0; round < maxPushRounds && slices.ContainsFunc(n.updates, waiting); round++ {
		for _, r := range n.sample(n.config.Fanout, now, true) {
			n.send(now, r, message{kind: kindUpdate}, false)
		}
	}
	for i := range n.updates {
		n.updates[i].hot = false
	}
}

// Receive processes a datagram that arrived from the address of the member from. It returns a
// *DecodeError if the datagram is dropped, and an error if from is this member or not in the fleet.
func (n *Node) Receive(now time.Duration, from Rank, data []byte) error {
	if int(from) >= len(n.members) || from == n.config.Self {
		return errSelf
	}
	n.stats.Received++
	n.stats.ReceivedBytes += uint64(len(data))
	d, err := n.decode(now, data)
	if err != nil {
		n.stats.Damaged++
		return err
	}
	d.self.Rank = from // the address identifies the sender
	n.receiveSenderRecord(now, d.self)
	for _, r := range d.records {
		if r.Rank == from {
			n.stats.Rejected++ // the sender's record is in the header
			continue
		}
		n.receiveIndirectRecord(now, from, r)
	}
	for _, entry := range d.entries {
		n.receiveEntry(now, from, entry)
	}
	switch d.kind {
	case kindPing:
		n.send(now, from, message{kind: kindAck, seq: d.seq}, true)
	case kindAck:
		n.receiveAck(now, from, d.seq)
	case kindPingRequest:
		n.relayProbe(now, from, d.target, d.seq)
	case kindIndirectAck:
		n.receiveIndirectAck(now, d.target, d.seq)
	case kindPull:
		if entry := n.localEntries[d.pulled]; entry != nil {
			n.send(now, from, message{kind: kindUpdate, publish: entry}, false)
		}
	}
	return nil
}
