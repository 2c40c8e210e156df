package distribution

import (
	"bytes"
	"encoding/json"
	"reflect"
	"testing"

	"martendrum/internal/goldentest"
)

// storedEntry is an entry in a golden file, one per line.
type storedEntry struct {
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value"`
}

// entryLines encodes entries in the form of a golden file.
func entryLines(t *testing.T, entries []Entry) []byte {
	t.Helper()
	var lines bytes.Buffer
	for _, entry := range entries {
		line, err := json.Marshal(storedEntry{Key: entry.Key, Value: entry.Value})
		if err != nil {
			t.Fatalf("encoding of the entry %s: %v", entry.Key, err)
		}
		lines.Write(append(line, '\n'))
	}
	return lines.Bytes()
}

// goldenEntries returns the entries of a golden file.
func goldenEntries(t *testing.T, name string) []Entry {
	t.Helper()
	var entries []Entry
	for line := range bytes.Lines(goldentest.Read(t, name)) {
		var entry storedEntry
		if err := json.Unmarshal(line, &entry); err != nil {
			t.Fatalf("decoding of a line of %s: %v", name, err)
		}
		entries = append(entries, Entry{Key: entry.Key, Value: entry.Value})
	}
	return entries
}

// A log stored by an earlier build is restored to the same state, and stored again with the
// same bytes.
func TestLogOfEarlierBuild(t *testing.T) {
	const golden = "log.jsonl"
	store, state := newDisk(), NewState(testLimits())
	apply := func(next *Step, err error) {
		t.Helper()
		if err != nil || next == nil {
			t.Fatalf("preparing a step: got a step: %v, error %v; want a step", next != nil, err)
		}
		store.write(next.Batch())
		state.Apply(next)
	}
	propose := func(put Put) {
		t.Helper()
		_, next, err := state.Propose(testTime, state.Revision().Epoch, put)
		apply(next, err)
	}
	apply(state.Promote(3), nil)
	propose(put("limits/all", "sim", content(1)))
	propose(put("limits/all", "sim", content(2)))
	propose(Put{Name: "limits/share", Scope: Scope{Labels: map[string]string{"zone": "a"}, Fraction: 0.25}, Content: []byte(content(3)), Author: "sari"})
	propose(put("limits/gone", "sim", content(4)))
	propose(remove("limits/gone"))
	goldentest.Compare(t, golden, entryLines(t, store.all()))

	restored, err := Restore(testLimits(), goldenEntries(t, golden))
	if err != nil {
		t.Fatal(err)
	}
	requireSameState(t, state, restored)
	if !reflect.DeepEqual(restored.history, state.history) || restored.compacted != state.compacted {
		t.Errorf("restored history is %+v, compacted up to %v; want %+v, compacted up to %v", restored.history, restored.compacted, state.history, state.compacted)
	}
}

// A subscriber's state stored by an earlier build is restored to the same state, and stored
// again with the same bytes.
func TestSubscriberOfEarlierBuild(t *testing.T) {
	const golden = "subscriber.jsonl"
	source, interest := newLog(testLimits()), interestIn("h1", "sim")
	publish(t, source, put("limits/all", "sim", content(1)))
	replica := NewReplica(interest)
	subscribe(t, source, replica, interest, 0)
	applier := NewApplier("n1", 0)
	attempt := func(accepted bool, reason string) {
		t.Helper()
		applier.SetWanted(testTime, source.Resources())
		applier.BeginAttempt()
		applier.EndAttempt(accepted, reason)
	}
	attempt(true, "")
	publish(t, source, put("limits/more", "sim", content(2)))
	attempt(false, "no such key")
	store := newDisk()
	store.write(replica.Batch(nil))
	store.write(Batch{Put: []Entry{applier.Entry()}})
	goldentest.Compare(t, golden, entryLines(t, store.all()))

	entries := goldenEntries(t, golden)
	restored, err := RestoreReplica(interest, entries)
	if err != nil || !reflect.DeepEqual(restored, replica) {
		t.Errorf("RestoreReplica = %+v, %v; want %+v", restored, err, replica)
	}
	restoredApplier := NewApplier("n1", 0)
	if err := restoredApplier.Restore(entries); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(restoredApplier.accepted, applier.accepted) || !reflect.DeepEqual(restoredApplier.rejected, applier.rejected) {
		t.Errorf("restored applier has accepted %+v and rejected %+v, want %+v and %+v", restoredApplier.accepted, restoredApplier.rejected, applier.accepted, applier.rejected)
	}
	if len(applier.rejected) != 1 || len(applier.accepted) != 1 {
		t.Errorf("golden file has %d rejected and %d accepted resources, want one of each", len(applier.rejected), len(applier.accepted))
	}
}
