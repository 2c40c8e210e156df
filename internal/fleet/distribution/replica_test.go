package distribution

import (
	"slices"
	"testing"
)

func TestReplicaAppliesDeltaAndSnapshot(t *testing.T) {
	log := newLog(testLimits())
	interest := interestIn("h", "x")
	replica := NewReplica(interest)
	publish(t, log, put("a", "x", content(1)))
	snapshot, _ := log.Read(Query{Interest: &interest})
	if changed, err := replica.Take(snapshot); !changed || err != nil {
		t.Fatalf("%v, %v", changed, err)
	}
	if changed, err := replica.Take(snapshot); changed || err != nil {
		t.Errorf("the same once more: %v, %v", changed, err)
	}
	publish(t, log, put("b", "y", content(1)))
	delta, _ := log.Read(Query{After: replica.Revision(), Interest: &interest})
	if changed, err := replica.Take(delta); changed || err != nil || replica.Revision() != log.Revision() {
		t.Errorf("one that does not concern it: %v, %v, at %v", changed, err, replica.Revision())
	}
	if _, err := replica.Take(delta); !isInvalid(err) {
		t.Errorf("a repeated delta: %v", err)
	}
	if _, err := replica.Take(snapshot); !isInvalid(err) {
		t.Errorf("an earlier snapshot: %v", err)
	}
	requireReplica(t, log, replica, interest)
}

func TestReplicaUnchangedOnError(t *testing.T) {
	log := newLog(testLimits())
	interest := interestIn("h", "x")
	replica := NewReplica(interest)
	publish(t, log, put("a", "x", content(1)))
	subscribe(t, log, replica, interest, 0)
	before := replica.Clone()
	publish(t, log, put("b", "x", content(1)))
	publish(t, log, put("a", "x", content(2)))
	for _, query := range []Query{{Interest: &interest}, {After: replica.Revision(), Interest: &interest}} {
		update, err := log.Read(query)
		if err != nil {
			t.Fatal(err)
		}
		update.Resources[len(update.Resources)-1].Content = []byte("{}")
		if changed, err := replica.Take(update); changed || !isInvalid(err) {
			t.Errorf("%v, %v", changed, err)
		}
		if replica.Revision() != before.Revision() || !slices.Equal(replica.Names(), before.Names()) {
			t.Errorf("the copy is at %v with %v", replica.Revision(), replica.Names())
		}
	}
}

func TestForGivesMergeOrder(t *testing.T) {
	log := newLog(testLimits())
	labels := map[string]string{"service": "x", "zone": "z"}
	interest := Interest{Host: "h", Instances: []map[string]string{labels, {"service": "y"}}}
	publish(t, log, Put{Name: "a", Content: []byte("{}"), Scope: Scope{Labels: labels}})
	publish(t, log, put("c", "x", "{}"))
	publish(t, log, put("b", "x", "{}"))
	publish(t, log, put("y", "y", "{}"))
	publish(t, log, Put{Name: "d", Content: []byte("{}")})
	replica := NewReplica(interest)
	subscribe(t, log, replica, interest, 0)
	var names []string
	for _, r := range replica.For("h", labels) {
		names = append(names, r.Name)
	}
	if !slices.Equal(names, []string{"d", "b", "c", "a"}) {
		t.Errorf("%v", names)
	}
}

func TestLargerFractionContainsSmaller(t *testing.T) {
	const hosts = 10_000
	for _, share := range []float64{0.01, 0.1, 0.5, 0.9} {
		held := 0
		for n := range hosts {
			host := hostName(n)
			if !(Scope{Fraction: share}).Matches("a", host, nil) {
				continue
			}
			held++
			if !(Scope{Fraction: min(share*1.5, 1)}).Matches("a", host, nil) {
				t.Fatalf("%s is in a fraction of %v, and not in a larger one", host, share)
			}
		}
		if drawn := float64(held) / hosts; drawn < share-0.02 || drawn > share+0.02 {
			t.Errorf("a fraction of %v holds %v", share, drawn)
		}
	}
}

// storeAndRestore writes a replica's batch and returns the replica restored from the entries.
func storeAndRestore(t *testing.T, store *disk, replica, before *Replica, interest Interest) *Replica {
	t.Helper()
	store.write(replica.Batch(before))
	restored, err := RestoreReplica(interest, store.all())
	if err != nil {
		t.Fatal(err)
	}
	return restored
}

func TestReplicaRestoresFromEntries(t *testing.T) {
	log, store := newLog(testLimits()), newDisk()
	interest := interestIn("h", "x")
	replica := NewReplica(interest)
	var before *Replica
	for n, change := range []Put{put("a", "x", content(1)), put("b", "x", content(2)), put("a", "x", content(3)),
		put("b", "y", content(4)), put("c", "x", content(5)), remove("a")} {
		publish(t, log, change)
		lost, err := RestoreReplica(interest, store.all())
		if err != nil {
			t.Fatal(err)
		}
		subscribe(t, log, replica, interest, 0)
		requireReplica(t, log, storeAndRestore(t, store, replica, before, interest), interest)
		before = replica.Clone()

		// The one before, whose batch was lost, gets there as well.
		subscribe(t, log, lost, interest, 0)
		requireReplica(t, log, lost, interest)
		if n == 0 && len(store.entries) != 2 {
			t.Errorf("%d entries", len(store.entries))
		}
	}
	for key, value := range map[string]string{replicaKey: "[]", replicaPrefix + "c": `{"name":"c"}`, replicaPrefix + "d": ""} {
		rows := append(store.all(), Entry{Key: key, Value: []byte(value)})
		if _, err := RestoreReplica(interest, rows); err == nil {
			t.Errorf("%s = %q is taken", key, value)
		}
	}
}

// A replica restored for another interest gets a snapshot and holds nothing else afterwards.
// The stored resources serve until then, and the known epoch is retained.
func TestReplicaWithOtherInterestGetsSnapshot(t *testing.T) {
	log, store := newLog(testLimits()), newDisk()
	x, y := interestIn("h", "x"), interestIn("h", "x", "y")
	replica := NewReplica(y)
	publish(t, log, put("a", "x", content(1)))
	publish(t, log, put("b", "y", content(1)))
	subscribe(t, log, replica, y, 0)
	restored := storeAndRestore(t, store, replica, nil, x)
	if names := restored.Names(); !slices.Equal(names, []string{"a", "b"}) {
		t.Errorf("stored %v", names)
	}
	update, err := log.Read(NewReader(testLimits()).Query(restored.Revision(), &x))
	if err != nil || !update.Snapshot {
		t.Errorf("snapshot %v, %v", update.Snapshot, err)
	}
	subscribe(t, log, restored, x, 0)
	requireReplica(t, log, restored, x)
}

func TestReplicaWithOtherInterestRemembersEpoch(t *testing.T) {
	old, promoted := promotedBehind(t)
	store := newDisk()
	x, y := interestIn("h", "x"), interestIn("h", "x", "y")
	replica := NewReplica(x)
	subscribe(t, promoted, replica, x, 0)
	restored := storeAndRestore(t, store, replica, nil, y)
	again := storeAndRestore(t, store, restored, replica, y)
	late, err := old.Read(Query{Interest: &y})
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range []*Replica{restored, again} {
		if _, err := r.Take(late); !isFenced(err) {
			t.Errorf("%v", err)
		}
		subscribe(t, promoted, r, y, 0)
		requireReplica(t, promoted, r, y)
	}
}
