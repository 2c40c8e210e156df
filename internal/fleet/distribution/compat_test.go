package distribution

import (
	"bytes"
	"encoding/json"
	"reflect"
	"testing"

	"martendrum/internal/goldentest"
)

// storedEntry is an entry in a golden file.
type storedEntry struct {
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value"`
}

// entryLines encodes entries in the form of a golden file.
func entryLines(t *testing.T, rows []Entry) []byte {
	t.Helper()
	var lines bytes.Buffer
	for _, r := range rows {
		line, err := json.Marshal(storedEntry{Key: r.Key, Value: r.Value})
		if err != nil {
			t.Fatal(err)
		}
		lines.Write(append(line, '\n'))
	}
	return lines.Bytes()
}

// goldenEntries returns the entries of a golden file.
func goldenEntries(t *testing.T, name string) []Entry {
	t.Helper()
	var rows []Entry
	for line := range bytes.Lines(goldentest.Read(t, name)) {
		var r storedEntry
		if err := json.Unmarshal(line, &r); err != nil {
			t.Fatal(err)
		}
		rows = append(rows, Entry{Key: r.Key, Value: r.Value})
	}
	return rows
}

// A log stored by an earlier build is restored to the same state, and stored again with the
// same bytes.
func TestLogOfEarlierBuild(t *testing.T) {
	const golden = "log.jsonl"
	disk, state := newDisk(), NewState(testLimits())
	make := func(next *Step, err error) {
		t.Helper()
		if err != nil || next == nil {
			t.Fatal(next, err)
		}
		disk.write(next.Batch())
		state.Apply(next)
	}
	propose := func(put Put) {
		t.Helper()
		_, next, err := state.Propose(testTime, state.Revision().Epoch, put)
		make(next, err)
	}
	make(state.Promote(3), nil)
	propose(put("limits/all", "sim", content(1)))
	propose(put("limits/all", "sim", content(2)))
	propose(Put{Name: "limits/share", Scope: Scope{Labels: map[string]string{"zone": "a"}, Fraction: 0.25}, Content: []byte(content(3)), Author: "sari"})
	propose(put("limits/gone", "sim", content(4)))
	propose(remove("limits/gone"))
	goldentest.Compare(t, golden, entryLines(t, disk.all()))

	restored, err := Restore(testLimits(), goldenEntries(t, golden))
	if err != nil {
		t.Fatal(err)
	}
	requireSameState(t, state, restored)
	if !reflect.DeepEqual(restored.history, state.history) || restored.compacted != state.compacted {
		t.Errorf("history %+v behind %v; want %+v behind %v", restored.history, restored.compacted, state.history, state.compacted)
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
	try := func(accepted bool, reason string) {
		t.Helper()
		applier.Want(testTime, source.Resources())
		applier.Begin()
		applier.Done(accepted, reason)
	}
	try(true, "")
	publish(t, source, put("limits/more", "sim", content(2)))
	try(false, "no such key")
	disk := newDisk()
	disk.write(replica.Batch(nil))
	disk.write(Batch{Put: []Entry{applier.Entry()}})
	goldentest.Compare(t, golden, entryLines(t, disk.all()))

	rows := goldenEntries(t, golden)
	restored, err := RestoreReplica(interest, rows)
	if err != nil || !reflect.DeepEqual(restored, replica) {
		t.Errorf("%+v, %v; want %+v", restored, err, replica)
	}
	again := NewApplier("n1", 0)
	if err := again.Restore(rows); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(again.accepted, applier.accepted) || !reflect.DeepEqual(again.rejected, applier.rejected) {
		t.Errorf("accepted %+v, rejected %+v; want %+v, %+v", again.accepted, again.rejected, applier.accepted, applier.rejected)
	}
	if len(applier.rejected) != 1 || len(applier.accepted) != 1 {
		t.Errorf("%d rejected, %d accepted: the entry shows little", len(applier.rejected), len(applier.accepted))
	}
}
