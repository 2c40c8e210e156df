package peers

import (
	"cmp"
	"errors"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Kinds of entries in tests.
const hot, plain = 1, 2

// testConfig returns the configuration of a member of a fleet of the given size.
func testConfig(self Rank, size int) Config {
	return Config{
		Cluster: "test", Self: self, Size: size, Incarnation: 1000,
		Kinds: []EntryKind{{ID: hot, TTL: time.Minute, Weight: 2, Hot: true}, {ID: plain, TTL: time.Minute, Weight: 1}},
	}
}

// newNode returns a Node that starts at 0 with a fixed seed.
func newNode(t rapid.TB, config Config) *Node {
	t.Helper()
	n, err := New(config, 0, rand.New(rand.NewPCG(uint64(config.Self), 1)))
	if err != nil {
		t.Fatalf("New: %v", err)
	}
	return n
}

// datagramFrom returns a datagram in which from, in the given incarnation, sends records and entries.
func datagramFrom(from Rank, size int, incarnation uint64, now time.Duration, records []Record, entries []Entry) []byte {
	n := &Node{config: testConfig(from, size)}
	w := newWriter(now)
	w.header(message{kind: kindUpdate, self: Record{Incarnation: incarnation, StartedAt: 0}})
	for _, r := range records {
		w.addRecord(r)
	}
	for _, entry := range entries {
		w.addEntry(entry)
	}
	return w.finish(n)
}

// drawRecord draws a record of member 3.
func drawRecord(t *rapid.T) Record {
	return Record{
		Rank: 3, Incarnation: rapid.Uint64Range(1, 3).Draw(t, "incarnation"), Heartbeat: rapid.Uint32Range(0, 2).Draw(t, "heartbeat"),
		State: State(rapid.IntRange(0, int(Left)).Draw(t, "state")), Phase: rapid.Uint8Range(0, 2).Draw(t, "phase"),
		Traffic: rapid.Uint8Range(0, 2).Draw(t, "traffic"), StartedAt: time.Duration(rapid.IntRange(0, 3).Draw(t, "started at")),
	}
}

// drawEntry draws an entry of one of the members 1 to 4.
func drawEntry(t *rapid.T) Entry {
	return Entry{
		Owner: Rank(rapid.IntRange(1, 4).Draw(t, "owner")), Kind: rapid.Uint8Range(hot, plain).Draw(t, "kind"),
		Subject: rapid.Uint64Range(1, 3).Draw(t, "subject"), Incarnation: rapid.Uint64Range(1, 3).Draw(t, "incarnation"),
		Sequence: rapid.Uint32Range(1, 3).Draw(t, "sequence"), Value: rapid.Uint32Range(0, 2).Draw(t, "value"),
		CreatedAt: time.Duration(rapid.IntRange(0, 20).Draw(t, "created at")) * ageUnit,
	}
}

// checkJoinLaws checks that join is commutative, associative and idempotent.
func checkJoinLaws[T comparable](t *rapid.T, join func(a, b T) T, a, b, c T) {
	switch {
	case join(a, b) != join(b, a):
		t.Errorf("join is not commutative: join(a, b) = %+v, join(b, a) = %+v", join(a, b), join(b, a))
	case join(join(a, b), c) != join(a, join(b, c)):
		t.Errorf("join is not associative: join(join(a, b), c) = %+v, join(a, join(b, c)) = %+v", join(join(a, b), c), join(a, join(b, c)))
	case join(a, a) != a || join(join(a, b), b) != join(a, b):
		t.Errorf("join is not idempotent: join(a, a) = %+v, want %+v; join(join(a, b), b) = %+v, want %+v", join(a, a), a, join(join(a, b), b), join(a, b))
	}
}

// TestJoinLaws checks that records and entries merge as join-semilattices.
func TestJoinLaws(t *testing.T) {
	t.Run("records", rapid.MakeCheck(func(t *rapid.T) { checkJoinLaws(t, Record.Join, drawRecord(t), drawRecord(t), drawRecord(t)) }))
	t.Run("entries", rapid.MakeCheck(func(t *rapid.T) {
		a, b, c := drawEntry(t), drawEntry(t), drawEntry(t)
		b.Owner, b.Kind, b.Subject, c.Owner, c.Kind, c.Subject = a.Owner, a.Kind, a.Subject, a.Owner, a.Kind, a.Subject
		checkJoinLaws(t, Entry.Join, a, b, c)
	}))
}

// state returns the records of the other members and the entries that a node stores, with Entry.Direct
// cleared.
func state(n *Node, now time.Duration) (records []Record, entries []Entry) {
	for r := range n.members {
		if Rank(r) != n.config.Self {
			records = append(records, n.members[r].record)
		}
	}
	for _, kind := range []uint8{hot, plain} {
		for entry := range n.Entries(now, kind) {
			entry.Direct = false
			entries = append(entries, entry)
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(a.Owner, b.Owner), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Subject, b.Subject))
	})
	return records, entries
}

// TestStateIndependentOfOrderAndRepetition checks that nodes that receive the same datagrams have the same
// state, whatever the order and the repetition, and store no entry of an earlier incarnation.
func TestStateIndependentOfOrderAndRepetition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const size, now = 6, 10 * time.Second
		var datagrams [][]byte
		var from []Rank
		for range rapid.IntRange(1, 12).Draw(t, "datagrams") {
			sender := Rank(rapid.IntRange(1, 5).Draw(t, "sender"))
			var records []Record
			if r := drawRecord(t); r.Rank != sender {
				records = append(records, r)
			}
			datagrams = append(datagrams, datagramFrom(sender, size, uint64(rapid.IntRange(1, 3).Draw(t, "sender's incarnation")), now, records, []Entry{drawEntry(t), drawEntry(t)}))
			from = append(from, sender)
		}
		receive := func(order []int) *Node {
			n := newNode(t, testConfig(0, size))
			for _, i := range order {
				if err := n.Receive(now, from[i], datagrams[i]); err != nil {
					t.Fatalf("Receive datagram %d: %v", i, err)
				}
			}
			return n
		}
		order := make([]int, len(datagrams))
		for i := range order {
			order[i] = i
		}
		otherOrder := rapid.Permutation(append(slices.Clone(order), order...)).Draw(t, "order")
		records, entries := state(receive(order), now)
		otherRecords, otherEntries := state(receive(otherOrder), now)
		if !slices.Equal(records, otherRecords) {
			t.Errorf("records depend on the order of datagrams:\n%+v in the first order,\n%+v in another one, with repetitions; want them equal", records, otherRecords)
		}
		if !slices.Equal(entries, otherEntries) {
			t.Errorf("entries depend on the order of datagrams:\n%+v in the first order,\n%+v in another one, with repetitions; want them equal", entries, otherEntries)
		}
		for _, entry := range entries {
			if entry.Incarnation < records[entry.Owner-1].Incarnation {
				t.Errorf("entry of an earlier incarnation is stored: %+v, its owner's incarnation is %d", entry, records[entry.Owner-1].Incarnation)
			}
		}
	})
}

// TestLiarCannotSpeakForOthers checks that a lying member can't raise the incarnations or heartbeats of
// others so far that the others can't rise above them, can't send in another's name, and that entries that
// it forwards are not direct.
func TestLiarCannotSpeakForOthers(t *testing.T) {
	const size, liar, victim, now = 5, 4, 2, 20 * time.Second
	n := newNode(t, testConfig(0, size))
	honest := newNode(t, testConfig(victim, size))
	sendUpdate := func(to, from *Node, at time.Duration) {
		from.send(at, to.config.Self, message{kind: kindUpdate}, true)
		for _, datagram := range from.Out() {
			if datagram.To == to.config.Self {
				if err := to.Receive(at, from.config.Self, datagram.Data); err != nil {
					t.Fatalf("Receive from member %d: %v", from.config.Self, err)
				}
			}
		}
	}
	sendUpdate(n, honest, now)
	lies := datagramFrom(liar, size, 1000, now, []Record{
		{Rank: victim, Incarnation: maxIncarnation - 1},
		{Rank: victim, Incarnation: 1000, Heartbeat: 1 << 30, State: Left},
		{Rank: victim, Incarnation: 1000, Heartbeat: 0, State: Suspect, StartedAt: -1000 * time.Hour},
		{Rank: 0, Incarnation: maxIncarnation - 2},
		{Rank: liar, Incarnation: 7, State: Left},
	}, []Entry{
		{Owner: victim, Kind: hot, Subject: 5, Incarnation: 1000, Sequence: 9, Value: 1, CreatedAt: now},
		{Owner: 1, Kind: hot, Subject: 5, Incarnation: 1, Sequence: 9, Value: 1, CreatedAt: now},
		{Owner: 0, Kind: hot, Subject: 6, Incarnation: 1000, Sequence: 1<<32 - 1, Value: 1, CreatedAt: now},
		{Owner: liar, Kind: hot, Subject: 5, Incarnation: 1000, Sequence: 1, Value: 1, CreatedAt: now},
	})
	for range 3 {
		if err := n.Receive(now, liar, lies); err != nil {
			t.Fatalf("Receive from the lying member: %v", err)
		}
	}
	if m := n.Member(victim, now); m.Incarnation != 1000 || m.State == Left || m.State == Dead || m.Age > now {
		t.Errorf("the victim is seen as %+v; want incarnation 1000, not left or dead, and an age of at most %v", m, now)
	}
	if n.Incarnation() > 1001 {
		t.Errorf("a single lying member raised the incarnation to %d, want at most 1001", n.Incarnation())
	}
	direct := 0
	for entry := range n.Entries(now, hot) {
		if entry.Direct {
			direct++
		}
		if entry.Owner == 0 && entry.Value != 0 {
			t.Errorf("a forged entry of this member is stored: %+v", entry)
		}
	}
	if direct != 2 { // the liar's own, and this member's withdrawal of the forged one
		t.Errorf("%d entries are direct, want 2", direct)
	}
	for step := range 4 { // the victim receives the claims, and refutes them
		sendUpdate(honest, n, now+time.Duration(step)*time.Second)
		sendUpdate(n, honest, now+time.Duration(step)*time.Second)
	}
	if m := n.Member(victim, now+4*time.Second); m.State != Alive {
		t.Errorf("the victim's state after it refuted the claims = %v, want %v", m.State, Alive)
	}
}

// TestIncarnationRisesAboveEarlierOne checks a member that restarts with a lower incarnation than before,
// because its clock went back by years: its incarnation rises above the earlier one once two members have
// reported the earlier one.
func TestIncarnationRisesAboveEarlierOne(t *testing.T) {
	const size, far = 4, 50 * 365 * 24 * 3600_000
	config := testConfig(1, size)
	n := newNode(t, config)
	for _, test := range []struct {
		sender Rank
		want   uint64
	}{{2, 1000}, {2, 1000}, {3, far + 1}} {
		n.Receive(time.Second, test.sender, datagramFrom(test.sender, size, 5, time.Second, []Record{{Rank: 1, Incarnation: far, Heartbeat: 7, Phase: 3}}, nil))
		if n.Incarnation() != test.want {
			t.Errorf("after a report of member %d: Incarnation() = %d, want %d", test.sender, n.Incarnation(), test.want)
		}
	}
	n.Receive(time.Second, 2, datagramFrom(2, size, 5, time.Second, []Record{{Rank: 1, Incarnation: far + 10}}, nil))
	if n.Incarnation() != far+11 {
		t.Errorf("after a report of an incarnation that is 9 above its own: Incarnation() = %d, want %d", n.Incarnation(), uint64(far+11))
	}
}

// TestPhasesNeverDecrease checks that within an incarnation another member never sees a phase decrease
// unless the heartbeat rises, whatever phases are set and whatever records are received.
func TestPhasesNeverDecrease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const size = 3
		n, other := newNode(t, testConfig(1, size)), newNode(t, testConfig(0, size))
		seen := Record{}
		for i := range rapid.IntRange(1, 30).Draw(t, "steps") {
			now := time.Duration(i) * 100 * time.Millisecond
			switch rapid.IntRange(0, 2).Draw(t, "action") {
			case 0:
				n.SetPhase(now, rapid.Uint8Range(0, 5).Draw(t, "phase"))
			case 1:
				r := drawRecord(t)
				r.Rank, r.Incarnation = 1, 1000+r.Incarnation-1
				n.Receive(now, 2, datagramFrom(2, size, 5, now, []Record{r}, nil))
			case 2:
				n.send(now, 0, message{kind: kindUpdate}, true)
			}
			datagrams := n.Out()
			if len(datagrams) > 0 && rapid.Bool().Draw(t, "reordered") {
				slices.Reverse(datagrams)
			}
			for _, d := range datagrams {
				if d.To == 0 {
					other.Receive(now, 1, d.Data)
				}
			}
			record := other.members[1].record
			if record.Incarnation == seen.Incarnation && record.Phase < seen.Phase && record.Heartbeat <= seen.Heartbeat {
				t.Fatalf("the phase decreased from record %+v to %+v", seen, record)
			}
			seen = record
		}
	})
}

// TestBounds checks under a high load of entries that no datagram has more than 256 bytes, and that what a
// node sends and stores stays within its bounds.
func TestBounds(t *testing.T) {
	const size = 400
	n := newNode(t, testConfig(0, size))
	sent := 0
	for now := time.Duration(0); now < 60*time.Second; now += 20 * time.Millisecond {
		for range 3 {
			owner := Rank(1 + n.rng.IntN(size-1))
			if n.rng.IntN(2) == 0 {
				owner = 1
			}
			entry := Entry{Owner: owner, Kind: hot, Subject: n.rng.Uint64(), Incarnation: 5, Sequence: n.rng.Uint32(), Value: n.rng.Uint32(), CreatedAt: now}
			n.Receive(now, owner, datagramFrom(owner, size, 5, now, []Record{{Rank: Rank(1 + n.rng.IntN(size-1)), Incarnation: n.rng.Uint64N(1000) + 1}}, []Entry{entry}))
		}
		n.Publish(now, plain, n.rng.Uint64(), 1)
		if now >= n.Due() {
			n.Tick(now)
		}
		for _, d := range n.Out() {
			if len(d.Data) > MaxDatagram {
				t.Fatalf("datagram has %d bytes, want at most %d", len(d.Data), MaxDatagram)
			}
			sent += len(d.Data)
		}
	}
	if limit := int(60*n.config.Rate + 2*n.config.Burst); sent > limit {
		t.Errorf("sent %d bytes in a minute, want at most %d", sent, limit)
	}
	switch {
	case len(n.entries.byKey) > maxEntries, n.entries.byOwner[1] > maxEntriesPerOwner, n.entries.byOwner[0] > maxEntriesPerOwner:
		t.Errorf("too many entries: %d stored, want at most %d; %d of member 1 and %d of this member, want at most %d of each", len(n.entries.byKey), maxEntries, n.entries.byOwner[1], n.entries.byOwner[0], maxEntriesPerOwner)
	case len(n.entries.order) != len(n.entries.byKey), len(n.localEntries) > maxEntriesPerOwner, len(n.updates) > maxUpdates, len(n.priorityProbes) > maxPriorityProbes:
		t.Errorf("%d entries in the order of arrival, want %d as stored; %d local entries, want at most %d; %d updates, want at most %d; %d priority probes, want at most %d",
			len(n.entries.order), len(n.entries.byKey), len(n.localEntries), maxEntriesPerOwner, len(n.updates), maxUpdates, len(n.priorityProbes), maxPriorityProbes)
	}
}

// TestHungProcessSuspectsItself checks that a process that was suspended rates its own health as worse
// instead of suspecting the members whose acknowledgements it missed.
func TestHungProcessSuspectsItself(t *testing.T) {
	n := newNode(t, testConfig(0, 3))
	n.Receive(0, 1, datagramFrom(1, 3, 5, 0, nil, nil))
	n.Receive(0, 2, datagramFrom(2, 3, 5, 0, nil, nil))
	for now := time.Duration(0); now < time.Minute; now += 10 * time.Second { // each tick is late
		n.Tick(now)
	}
	if n.Stats().Suspected > 0 || n.Health() == 0 {
		t.Errorf("after late ticks: Suspected = %d, Health() = %d; want 0 and more than 0", n.Stats().Suspected, n.Health())
	}
}

// TestErrorsHaveAdvice checks that the errors of an invalid configuration and of an undecodable datagram
// have a text and advice.
func TestErrorsHaveAdvice(t *testing.T) {
	type advised interface {
		error
		Advice() string
	}
	n := newNode(t, testConfig(0, 3))
	good := datagramFrom(1, 3, 5, 0, nil, nil)
	errs := []error{
		n.Receive(0, 1, nil),
		n.Receive(0, 1, make([]byte, 300)),
		n.Receive(0, 1, append(slices.Clone(good), 1)),
		n.Receive(0, 1, datagramFrom(1, 3, 0, 0, nil, nil)),
	}
	for _, edit := range []func(*Config){func(c *Config) { c.Size = 0 }, func(c *Config) { c.Self = 3 }, func(c *Config) { c.Incarnation = 0 }} {
		config := testConfig(0, 3)
		edit(&config)
		_, err := New(config, 0, rand.New(rand.NewPCG(1, 1)))
		errs = append(errs, err)
	}
	for i, err := range errs {
		var withAdvice advised
		if !errors.As(err, &withAdvice) || withAdvice.Advice() == "" || withAdvice.Error() == "" {
			t.Errorf("error %d: got %v, want an error with a text and advice", i, err)
		}
	}
	if n.Stats().Damaged != 4 {
		t.Errorf("Stats().Damaged = %d, want 4", n.Stats().Damaged)
	}
	if err := n.Receive(0, 0, good); !errors.Is(err, errSelf) {
		t.Errorf("Receive from the node's own rank: error = %v, want errSelf", err)
	}
}

// FuzzReceive checks that any body with a valid checksum is received without a panic, and that the
// datagrams that a node then sends are within MaxDatagram and can be decoded.
func FuzzReceive(f *testing.F) {
	records, entries := []Record{{Rank: 2, Incarnation: 9, State: Suspect}}, []Entry{{Owner: 2, Kind: hot, Subject: 1, Incarnation: 9, Sequence: 1, Value: 1}}
	f.Add(datagramFrom(1, 3, 5, 0, records, entries)[4:])
	f.Add([]byte{Version, byte(kindPull)})
	f.Fuzz(func(t *testing.T, body []byte) {
		n := newNode(t, testConfig(0, 3))
		sum := n.checksum(body)
		data := append([]byte{byte(sum >> 24), byte(sum >> 16), byte(sum >> 8), byte(sum)}, body...)
		if n.Receive(0, 1, data) != nil {
			return
		}
		n.Tick(time.Second)
		for _, d := range n.Out() {
			if len(d.Data) > MaxDatagram {
				t.Fatalf("datagram has %d bytes, want at most %d", len(d.Data), MaxDatagram)
			}
			if _, err := n.decode(time.Second, d.Data); err != nil {
				t.Fatalf("decode of a datagram that the node sent: got error %v, want none", err)
			}
		}
	})
}
