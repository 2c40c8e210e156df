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
	if changed, err := replica.Apply(snapshot); !changed || err != nil {
		t.Fatalf("Apply of a first snapshot = %v, %v; want a change", changed, err)
	}
	if changed, err := replica.Apply(snapshot); changed || err != nil {
		t.Errorf("Apply of the same snapshot again = %v, %v; want no change", changed, err)
	}
	publish(t, log, put("b", "y", content(1)))
	delta, _ := log.Read(Query{After: replica.Revision(), Interest: &interest})
	if changed, err := replica.Apply(delta); changed || err != nil || replica.Revision() != log.Revision() {
		t.Errorf("Apply of a delta without resources in the interest = %v, %v, now at %v; want no change, at %v", changed, err, replica.Revision(), log.Revision())
	}
	if _, err := replica.Apply(delta); !isInvalid(err) {
		t.Errorf("Apply of a repeated delta: got error %v, want an InvalidError", err)
	}
	if _, err := replica.Apply(snapshot); !isInvalid(err) {
		t.Errorf("Apply of an earlier snapshot: got error %v, want an InvalidError", err)
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
		if changed, err := replica.Apply(update); changed || !isInvalid(err) {
			t.Errorf("Apply of an update with a wrong hash = %v, %v; want an InvalidError", changed, err)
		}
		if replica.Revision() != before.Revision() || !slices.Equal(replica.Names(), before.Names()) {
			t.Errorf("after a rejected update the replica is at %v with the resources %v, want %v with %v", replica.Revision(), replica.Names(), before.Revision(), before.Names())
		}
	}
}

func TestResourcesForReturnsMergeOrder(t *testing.T) {
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
	for _, r := range replica.ResourcesFor("h", labels) {
		names = append(names, r.Name)
	}
	if !slices.Equal(names, []string{"d", "b", "c", "a"}) {
		t.Errorf("ResourcesFor returned the resources %v, want d, b, c, a", names)
	}
}

func TestLargerFractionContainsSmaller(t *testing.T) {
	const hosts = 10_000
	for _, fraction := range []float64{0.01, 0.1, 0.5, 0.9} {
		selected := 0
		for n := range hosts {
			host := hostName(n)
			if !(Scope{Fraction: fraction}).Matches("a", host, nil) {
				continue
			}
			selected++
			if !(Scope{Fraction: min(fraction*1.5, 1)}).Matches("a", host, nil) {
				t.Fatalf("%s is in a fraction of %v, but not in a larger one", host, fraction)
			}
		}
		if measured := float64(selected) / hosts; measured < fraction-0.02 || measured > fraction+0.02 {
			t.Errorf("a fraction of %v selects %v of the hosts, want a difference of at most 0.02", fraction, measured)
		}
	}
}

// storeAndRestore writes a replica's batch and returns the replica restored from the entries.
func storeAndRestore(t *testing.T, store *disk, replica, before *Replica, interest Interest) *Replica {
	t.Helper()
	store.write(replica.Batch(before))
	restored, err := RestoreReplica(interest, store.all())
	if err != nil {
		t.Fatalf("RestoreReplica: %v", err)
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
		outdated, err := RestoreReplica(interest, store.all())
		if err != nil {
			t.Fatal(err)
		}
		subscribe(t, log, replica, interest, 0)
		requireReplica(t, log, storeAndRestore(t, store, replica, before, interest), interest)
		before = replica.Clone()

		// A replica whose last batch was lost reaches the same state.
		subscribe(t, log, outdated, interest, 0)
		requireReplica(t, log, outdated, interest)
		if n == 0 && len(store.entries) != 2 {
			t.Errorf("store has %d entries after the first change, want 2", len(store.entries))
		}
	}
	for key, value := range map[string]string{replicaKey: "[]", replicaPrefix + "c": `{"name":"c"}`, replicaPrefix + "d": ""} {
		entries := append(store.all(), Entry{Key: key, Value: []byte(value)})
		if _, err := RestoreReplica(interest, entries); err == nil {
			t.Errorf("RestoreReplica with the entry %s = %q succeeded, want an error", key, value)
		}
	}
}

// A replica restored for another interest gets a snapshot, and afterwards contains only the snapshot's
// resources. Until then it returns the stored resources, and it retains the known epoch.
func TestReplicaWithOtherInterestGetsSnapshot(t *testing.T) {
	log, store := newLog(testLimits()), newDisk()
	interestX, interestXY := interestIn("h", "x"), interestIn("h", "x", "y")
	replica := NewReplica(interestXY)
	publish(t, log, put("a", "x", content(1)))
	publish(t, log, put("b", "y", content(1)))
	subscribe(t, log, replica, interestXY, 0)
	restored := storeAndRestore(t, store, replica, nil, interestX)
	if names := restored.Names(); !slices.Equal(names, []string{"a", "b"}) {
		t.Errorf("restored replica has the resources %v, want a and b", names)
	}
	update, err := log.Read(NewReader(testLimits()).Query(restored.Revision(), &interestX))
	if err != nil || !update.Snapshot {
		t.Errorf("Read for the restored replica: snapshot = %v, error %v; want a snapshot", update.Snapshot, err)
	}
	subscribe(t, log, restored, interestX, 0)
	requireReplica(t, log, restored, interestX)
}

func TestReplicaWithOtherInterestRemembersEpoch(t *testing.T) {
	old, promoted := promotedBehind(t)
	store := newDisk()
	interestX, interestXY := interestIn("h", "x"), interestIn("h", "x", "y")
	replica := NewReplica(interestX)
	subscribe(t, promoted, replica, interestX, 0)
	restored := storeAndRestore(t, store, replica, nil, interestXY)
	again := storeAndRestore(t, store, restored, replica, interestXY)
	late, err := old.Read(Query{Interest: &interestXY})
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range []*Replica{restored, again} {
		if _, err := r.Apply(late); !isFenced(err) {
			t.Errorf("Apply of an update of the earlier epoch: got error %v, want a FencedError", err)
		}
		subscribe(t, promoted, r, interestXY, 0)
		requireReplica(t, promoted, r, interestXY)
	}
}
