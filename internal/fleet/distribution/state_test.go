package distribution

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

func TestReadGivesTombstoneAfterRescoping(t *testing.T) {
	log := newLog(testLimits())
	interestX, interestY := interestIn("hx", "x"), interestIn("hy", "y")
	replicaX, replicaY := NewReplica(interestX), NewReplica(interestY)
	publish(t, log, put("a", "x", content(1)))
	subscribe(t, log, replicaX, interestX, 0)
	subscribe(t, log, replicaY, interestY, 0)

	publish(t, log, put("a", "y", content(1)))
	update, err := log.Read(Query{After: replicaX.Revision(), Interest: &interestX})
	if err != nil || update.Snapshot || len(update.Resources) != 1 || !update.Resources[0].Removed {
		t.Fatalf("Read after the rescoping = %+v, %v; want a delta with one tombstone", update, err)
	}
	if len(update.Resources[0].Content) > 0 || len(update.Resources[0].Scope.Labels) > 0 {
		t.Errorf("tombstone contains settings or labels of another service: %+v", update.Resources[0])
	}
	subscribe(t, log, replicaX, interestX, 0)
	subscribe(t, log, replicaY, interestY, 0)
	requireReplica(t, log, replicaX, interestX)
	requireReplica(t, log, replicaY, interestY)
}

func TestRescopedWhileMovingBetweenRelays(t *testing.T) {
	log, near, far := newLog(testLimits()), NewState(testLimits()), NewState(testLimits())
	interest := interestIn("h", "x")
	replica := NewReplica(interest)
	publish(t, log, put("a", "x", content(1)))
	catchUp(t, log, near, 0)
	subscribe(t, near, replica, interest, 0)
	publish(t, log, put("a", "y", content(1)))
	catchUp(t, log, far, 0)
	publish(t, log, put("a", "z", content(1)))
	catchUp(t, log, far, 0)
	subscribe(t, far, replica, interest, 0)
	requireReplica(t, far, replica, interest)
	if _, err := near.Read(Query{After: replica.Revision(), Interest: &interest}); !isAhead(err) {
		t.Errorf("Read at a relay that is behind the reader: got error %v, want an AheadError", err)
	}
	catchUp(t, log, near, 0)
	publish(t, log, put("a", "x", content(1)))
	catchUp(t, log, near, 0)
	subscribe(t, near, replica, interest, 0)
	requireReplica(t, near, replica, interest)
}

// A resource that left the reader's interest and changed again later is removed for the reader
// even if a page ends between these two changes.
func TestTombstoneIsNotLostBetweenPages(t *testing.T) {
	log := newLog(testLimits())
	interest := interestIn("h", "x")
	replica := NewReplica(interest)
	publish(t, log, put("a", "x", content(1)))
	subscribe(t, log, replica, interest, 1)
	publish(t, log, put("a", "y", content(1)))
	publish(t, log, put("b", "x", content(1)))
	publish(t, log, put("a", "z", content(1)))
	publish(t, log, put("c", "x", content(1)))
	subscribe(t, log, replica, interest, 1)
	requireReplica(t, log, replica, interest)
}

func TestCompactionGivesSnapshot(t *testing.T) {
	log := newLog(Limits{Resources: 10, History: 3})
	interest := interestIn("h", "x")
	replica, relay := NewReplica(interest), NewState(Limits{Resources: 10, History: 3})
	publish(t, log, put("a", "x", content(1)))
	publish(t, log, put("b", "x", content(1)))
	subscribe(t, log, replica, interest, 0)
	catchUp(t, log, relay, 0)
	publish(t, log, remove("a"))
	for n := range 3 {
		publish(t, log, put("c", "x", content(n)))
	}
	if len(log.history) != 3 {
		t.Errorf("log has a history of %d changes, want 3", len(log.history))
	}
	for _, interest := range []*Interest{nil, &interest} {
		update, err := log.Read(Query{After: replica.Revision(), Interest: interest})
		if err != nil || !update.Snapshot {
			t.Errorf("Read of a compacted revision = %+v, %v; want a snapshot", update, err)
		}
	}
	subscribe(t, log, replica, interest, 0)
	requireReplica(t, log, replica, interest)
	catchUp(t, log, relay, 0)
	requireSameState(t, log, relay)

	publish(t, log, remove("b"))
	update, err := log.Read(Query{After: replica.Revision(), Interest: &interest})
	if err != nil || update.Snapshot {
		t.Errorf("Read of a revision within the history = %+v, %v; want a delta", update, err)
	}
}

func TestHistoryStaysBoundedAfterLongUpdate(t *testing.T) {
	log, relay := newLog(testLimits()), NewState(Limits{Resources: 10, History: 3})
	publish(t, log, put("a", "x", content(1)))
	catchUp(t, log, relay, 0)
	store := newDisk()
	for n := range 8 {
		publish(t, log, put("b", "x", content(n)))
	}
	next, err := relay.PrepareUpdate(readComplete(t, log, NewReader(testLimits()), relay.Revision(), nil, 0, nil))
	if err != nil {
		t.Fatal(err)
	}
	store.write(next.Batch())
	relay.Apply(next)
	if len(relay.history) != 3 {
		t.Errorf("relay has a history of %d changes, want 3", len(relay.history))
	}
	changes := 0
	for key := range store.entries {
		if strings.HasPrefix(key, changePrefix) {
			changes++
		}
	}
	if changes != 3 {
		t.Errorf("relay has %d changes on disk, want 3", changes)
	}
	requireSameState(t, log, relay)
}

func TestPagesDuringChanges(t *testing.T) {
	for _, snapshot := range []bool{false, true} {
		for _, bytes := range []int{1, resourceOverhead * 3} {
			t.Run(fmt.Sprintf("snapshot=%v/bytes=%d", snapshot, bytes), func(t *testing.T) {
				log := newLog(testLimits())
				interest := interestIn("h", "x")
				replica, relay := NewReplica(interest), NewState(testLimits())
				if !snapshot {
					subscribe(t, log, replica, interest, 0)
					catchUp(t, log, relay, 0)
				}
				for n := range 12 {
					publish(t, log, put(fmt.Sprintf("r%d", n), []string{"x", "y"}[n%2], content(n)))
				}
				step := 0
				between := func() {
					switch step++; step {
					case 1:
						publish(t, log, put("r0", "x", content(100)))
					case 2:
						publish(t, log, put("r2", "y", content(100)))
						publish(t, log, put("r3", "x", content(100)))
					case 3:
						publish(t, log, remove("r10"))
						publish(t, log, put("r2", "z", content(100)))
					case 4:
						publish(t, log, put("new", "x", content(1)))
					}
				}
				update := readComplete(t, log, NewReader(testLimits()), replica.Revision(), &interest, bytes, between)
				if _, err := replica.Apply(update); err != nil {
					t.Fatal(err)
				}
				requireReplica(t, log, replica, interest)
				step = 0
				next, err := relay.PrepareUpdate(readComplete(t, log, NewReader(testLimits()), relay.Revision(), nil, bytes, between))
				if err != nil {
					t.Fatal(err)
				}
				relay.Apply(next)
				requireSameState(t, log, relay)
			})
		}
	}
}

// The history of one frequently changed resource may exceed the maximum message of a relay's
// connection, so pages are also bounded by the size of their changes.
func TestPageIsBoundedByChanges(t *testing.T) {
	const bytes = 20_000
	log := newLog(Limits{Resources: 10, History: 2000})
	relay := NewState(Limits{Resources: 10, History: 2000})
	publish(t, log, put("a", "x", content(0)))
	catchUp(t, log, relay, 0)
	for n := range 1000 {
		publish(t, log, put("a", "x", content(n+1)))
	}
	page, err := log.Read(Query{After: relay.Revision(), Bytes: bytes})
	if err != nil {
		t.Fatal(err)
	}
	data, err := msgpack.Marshal(&page)
	if err != nil || len(data) > 2*bytes || !page.More {
		t.Errorf("page of %d bytes and %d changes, More = %v, error %v; want at most twice the %d bytes of the query, and more pages", len(data), len(page.Changes), page.More, err, bytes)
	}
	reader := NewReader(Limits{Resources: 10, History: 2000})
	next, err := relay.PrepareUpdate(readComplete(t, log, reader, relay.Revision(), nil, bytes, nil))
	if err != nil {
		t.Fatal(err)
	}
	relay.Apply(next)
	requireSameState(t, log, relay)
	if len(relay.history) != len(log.history)-1 {
		t.Errorf("relay has a history of %d changes, want %d", len(relay.history), len(log.history)-1)
	}
}

// A relay whose copy is behind the start of a paged snapshot can't continue the snapshot.
func TestSnapshotDoesNotContinueAtRelayBehind(t *testing.T) {
	log, behindRelay := newLog(testLimits()), NewState(testLimits())
	for n := range 4 {
		publish(t, log, put(fmt.Sprintf("r%d", n), "x", content(n)))
	}
	catchUp(t, log, behindRelay, 0)
	publish(t, log, put("r0", "x", content(9)))
	interest, reader := interestIn("h", "x"), NewReader(testLimits())
	query := reader.Query(Revision{}, &interest)
	query.Bytes = 1
	page, err := log.Read(query)
	if err != nil || !page.More {
		t.Fatalf("Read of the first page = %+v, %v; want more pages", page, err)
	}
	if _, err := reader.AddPage(page); err != nil {
		t.Fatal(err)
	}
	if page, err := behindRelay.Read(reader.Query(Revision{}, &interest)); !isAhead(err) {
		t.Errorf("Read at the relay that is behind = %+v, %v; want an AheadError", page, err)
	}
}

func TestReadAheadOfState(t *testing.T) {
	log := newLog(testLimits())
	if _, err := log.Read(Query{After: Revision{1, 1}}); !isAhead(err) {
		t.Errorf("Read after a revision that the log does not have: got error %v, want an AheadError", err)
	}
}

func TestLatestChange(t *testing.T) {
	log := newLog(testLimits())
	publish(t, log, put("a", "x", content(1)))
	rescoped := publish(t, log, put("a", "y", content(1)))
	publish(t, log, put("b", "y", content(1)))
	revision, ok := log.LatestChange(Revision{1, 0}, interestIn("h", "x"))
	if !ok || revision != rescoped.Revision {
		t.Errorf("LatestChange = %v, %v; want %v, the change that removed the resource from the interest", revision, ok, rescoped.Revision)
	}
	if revision, ok := log.LatestChange(rescoped.Revision, interestIn("h", "x")); ok {
		t.Errorf("LatestChange after the last change in the interest = %v, want none", revision)
	}
}

// Every state can be restored from its batches, and without the batch of the last step the state before
// that step is restored.
func TestRestoreAfterEveryBatch(t *testing.T) {
	limits := Limits{Resources: 10, History: 4}
	log, store := NewState(limits), newDisk()
	apply := func(next *Step, err error) {
		t.Helper()
		if err != nil {
			t.Fatalf("preparing a step: %v", err)
		}
		before, err := Restore(limits, store.all())
		if err != nil {
			t.Fatal(err)
		}
		requireSameState(t, log, before)
		store.write(next.Batch())
		log.Apply(next)
		after, err := Restore(limits, store.all())
		if err != nil {
			t.Fatal(err)
		}
		requireSameState(t, log, after)
		if log.compacted != after.compacted || !slices.EqualFunc(log.history, after.history, sameChange) {
			t.Fatalf("restored history\n%v\nwant\n%v", after.history, log.history)
		}
	}
	propose := func(change Put) {
		t.Helper()
		_, next, err := log.Propose(testTime, log.Revision().Epoch, change)
		apply(next, err)
	}
	apply(log.Promote(1), nil)
	for n := range 6 {
		propose(put(fmt.Sprintf("r%d", n%3), []string{"x", "y"}[n%2], content(n)))
	}
	propose(remove("r1"))
	apply(log.Promote(2), nil)
	propose(put("r1", "x", content(3)))

	otherLog := newLog(testLimits())
	otherLog.Apply(otherLog.Promote(3))
	publish(t, otherLog, put("r2", "x", content(3)))
	snapshot, err := otherLog.Read(Query{})
	if err != nil {
		t.Fatal(err)
	}
	apply(log.PrepareUpdate(snapshot))
	publish(t, otherLog, remove("r2"))
	publish(t, otherLog, put("r3", "x", content(3)))
	delta, err := otherLog.Read(Query{After: log.Revision()})
	if err != nil {
		t.Fatal(err)
	}
	apply(log.PrepareUpdate(delta))
	if keys := len(store.entries); keys != len(log.resources)+len(log.history)+1 {
		t.Errorf("store has %d entries for %d resources and %d changes, want one for each of them and one for the revision", keys, len(log.resources), len(log.history))
	}
}

func sameChange(x, y Change) bool { return x.Revision == y.Revision && x.Name == y.Name }

func TestRestoreRejectsCorruptEntries(t *testing.T) {
	log, store := NewState(testLimits()), newDisk()
	next := log.Promote(1)
	store.write(next.Batch())
	log.Apply(next)
	_, next, err := log.Propose(testTime, 1, put("a", "x", content(1)))
	if err != nil {
		t.Fatal(err)
	}
	store.write(next.Batch())
	for key := range store.entries {
		for _, value := range []string{"", "[]", `{"name":"b"}`} {
			if key == revisionKey && value != "" && value != "[]" || strings.HasPrefix(key, changePrefix) && value == `{"name":"b"}` {
				continue // the value is a valid entry of this kind
			}
			entries := store.all()
			for n := range entries {
				if entries[n].Key == key {
					entries[n].Value = []byte(value)
				}
			}
			if _, err := Restore(testLimits(), entries); err == nil || !strings.Contains(err.Error(), key) {
				t.Errorf("Restore with the entry %s = %q: got error %v, want one that names the key", key, value, err)
			}
		}
	}
	if _, err := Restore(testLimits(), append(store.all(), Entry{Key: "other", Value: nil})); err != nil {
		t.Errorf("Restore with an entry of an unknown key: %v", err)
	}
}
