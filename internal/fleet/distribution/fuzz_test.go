package distribution

import (
	"bytes"
	"encoding/json"
	"maps"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

// fuzzReplicas returns a log, and the copies of a relay and a subscriber, which are both at the same
// earlier revision of the log.
func fuzzReplicas(t testing.TB) (log, relay *State, replica *Replica) {
	log, relay, replica = newLog(testLimits()), NewState(testLimits()), NewReplica(interestIn("h", "x"))
	publish(t, log, put("a", "x", content(1)))
	publish(t, log, put("b", "y", content(1)))
	catchUp(t, log, relay, 0)
	subscribe(t, log, replica, interestIn("h", "x"), 0)
	publish(t, log, put("a", "y", content(2)))
	publish(t, log, put("c", "x", content(3)))
	publish(t, log, remove("b"))
	return log, relay, replica
}

// FuzzUpdate decodes bytes from a relay: no input may cause a panic, and a rejected update must leave
// the copy unchanged.
func FuzzUpdate(f *testing.F) {
	log, relay, replica := fuzzReplicas(f)
	interest := interestIn("h", "x")
	for _, query := range []Query{{}, {Bytes: 1}, {After: relay.Revision()}, {After: relay.Revision(), Bytes: 1},
		{Interest: &interest}, {After: replica.Revision(), Interest: &interest}} {
		update, err := log.Read(query)
		if err != nil {
			f.Fatal(err)
		}
		data, err := msgpack.Marshal(&update)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
		f.Add(data[:len(data)/2])
		farFuture := update
		farFuture.Resources = append([]Resource(nil), update.Resources...)
		farFuture.Resources[0].At = testTime.AddDate(9000, 0, 0)
		if data, err = msgpack.Marshal(&farFuture); err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte{0xdf, 0xff, 0xff, 0xff, 0xff}) // the header of a map with 4 billion elements
	f.Add(listMessage("resources", 1<<30, 3))
	f.Fuzz(func(t *testing.T, data []byte) {
		var update Update
		if err := msgpack.Unmarshal(data, &update); err != nil {
			return
		}
		_, relay, replica := fuzzReplicas(t)
		checkReplicaApply(t, replica, update)
		checkPrepareUpdate(t, relay, update)
		checkReader(t, update)
	})
}

// checkReplicaApply requires that an update which the replica rejects leaves it unchanged. After an
// accepted update the replica must not be at an earlier revision, must be the same when stored and
// restored, and must hold no removed resource.
func checkReplicaApply(t *testing.T, replica *Replica, update Update) {
	before := replica.Clone()
	_, err := replica.Apply(update)
	if err != nil {
		if before.revision != replica.revision || !maps.EqualFunc(before.resources, replica.resources, sameRevision) {
			t.Fatalf("replica has changed although Apply returned the error %v", err)
		}
		return
	}
	if before.revision.After(replica.revision) {
		t.Fatalf("Apply moved the replica back from %v to %v", before.revision, replica.revision)
	}
	store := newDisk()
	store.write(replica.Batch(nil))
	restored, err := RestoreReplica(interestIn("h", "x"), store.all())
	if err != nil {
		t.Fatalf("RestoreReplica after an accepted update: %v", err)
	}
	if restored.revision != replica.revision || !maps.EqualFunc(restored.resources, replica.resources, sameRevision) {
		t.Fatal("restored replica differs from the stored one")
	}
	for _, r := range replica.ResourcesFor("h", map[string]string{"service": "x"}) {
		if r.Removed {
			t.Fatalf("ResourcesFor returned the removed resource %s, want none", r.Name)
		}
	}
}

// checkPrepareUpdate requires that an update which the relay's copy rejects leaves it unchanged. After an
// accepted update the copy must not be at an earlier revision, its history must be within the limit, and
// a snapshot must be restored from its entries to the same state.
func checkPrepareUpdate(t *testing.T, relay *State, update Update) {
	before := relay.Revision()
	store := newDisk()
	next, err := relay.PrepareUpdate(update)
	if err != nil || next == nil {
		if relay.Revision() != before {
			t.Fatalf("relay is at %v although PrepareUpdate returned no step and the error %v, want %v", relay.Revision(), err, before)
		}
		return
	}
	store.write(next.Batch())
	relay.Apply(next)
	if before.After(relay.Revision()) {
		t.Fatalf("update moved the relay back from %v to %v", before, relay.Revision())
	}
	if len(relay.history) > testLimits().History {
		t.Fatalf("relay has a history of %d changes, want at most %d", len(relay.history), testLimits().History)
	}
	if update.Snapshot {
		restored, err := Restore(testLimits(), store.all())
		if err != nil {
			t.Fatalf("Restore after an accepted snapshot: %v", err)
		}
		requireSameState(t, relay, restored)
	}
	if _, err := relay.Read(Query{After: before, Bytes: 1}); err != nil {
		t.Fatalf("Read after the earlier revision %v: %v", before, err)
	}
}

// checkReader requires a reader to keep its limits when it receives the same update three times.
func checkReader(t *testing.T, update Update) {
	limits := Limits{Resources: 2, History: 2}
	reader := NewReader(limits)
	for range 3 {
		complete, err := reader.AddPage(update)
		if complete != nil && (err != nil || len(complete.Resources) > 2*(limits.Resources+limits.History)) {
			t.Fatalf("AddPage returned an update of %d resources with the error %v, want no error and at most %d resources", len(complete.Resources), err, 2*(limits.Resources+limits.History))
		}
		reader.Query(Revision{}, nil)
	}
}

// FuzzPut proposes an operator's change: a change that the log accepts can be stored, restored and sent
// to a relay.
func FuzzPut(f *testing.F) {
	f.Add("a", "service", "x", 0.5, []byte(`{"limits":{"in_flight":1}}`), "author")
	f.Add("a/b.c", "", "", 0.0, []byte(`{}`), "")
	f.Add("a", "k", "\xff", 1.0, []byte(`{"Seed":1}`), "\xff")
	f.Add("", "k", "v", -1.0, []byte(`[`), "")
	f.Fuzz(func(t *testing.T, name, key, value string, fraction float64, content []byte, author string) {
		scope := Scope{Labels: map[string]string{key: value}, Fraction: fraction}
		log, store := newLog(testLimits()), newDisk()
		resource, next, err := log.Propose(testTime, 1, Put{Name: name, Scope: scope, Content: content, Author: author})
		if err != nil {
			if !isInvalid(err) {
				t.Fatalf("Propose: got the error %v of type %T, want an InvalidError", err, err)
			}
			return
		}
		if !json.Valid(resource.Content) || !bytes.Equal(resource.Content, content) {
			t.Fatalf("Propose changed the content %q to %q", content, resource.Content)
		}
		store.write(next.Batch())
		log.Apply(next)
		restored, err := Restore(testLimits(), store.all())
		if err != nil {
			t.Fatal(err)
		}
		requireSameState(t, log, restored)
		page, err := log.Read(Query{})
		if err != nil {
			t.Fatal(err)
		}
		data, err := msgpack.Marshal(&page)
		if err != nil {
			t.Fatal(err)
		}
		var decoded Update
		if err := msgpack.Unmarshal(data, &decoded); err != nil {
			t.Fatal(err)
		}
		relay := NewState(testLimits())
		if next, err = relay.PrepareUpdate(decoded); err != nil {
			t.Fatal(err)
		}
		relay.Apply(next)
		requireSameState(t, log, relay)
	})
}

// FuzzParseRevision requires that only the form of Revision.String is parsed.
func FuzzParseRevision(f *testing.F) {
	for _, text := range []string{"1.42", "0.0", "", ".", "1", "1.", "-1.2", "1.-2", "+1.2", "01.2", "1.2.3",
		"9223372036854775807.9223372036854775808"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		revision, err := ParseRevision(text)
		if err != nil {
			if !isInvalid(err) || revision != (Revision{}) {
				t.Fatalf("ParseRevision(%q) = %v, %v; want the zero revision and an InvalidError", text, revision, err)
			}
			return
		}
		if revision.String() != text || revision.Epoch < 0 || revision.Number < 0 {
			t.Fatalf("ParseRevision(%q) = %v, want the same text and no negative number", text, revision)
		}
	})
}
