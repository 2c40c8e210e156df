package handover

import (
	"bytes"
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"martendrum"
	"martendrum/internal/goldentest"
)

// filled is a state with a value in every field, within what CheckLearned accepts.
func filled() martendrum.LearnedState {
	var l martendrum.LearnedState
	goldentest.Fill(&l)
	l.HedgeProbability, l.LostFraction, l.ShedLevel, l.AcceptedFraction = 0.2, 0.01, 0.3, 0.9
	l.Servers[0].WeightCorrection = 1.5
	return l
}

// TestSnapshotOfEarlierBuild checks that an earlier build's snapshot is read with its values
// and written again byte by byte.
func TestSnapshotOfEarlierBuild(t *testing.T) {
	const golden = "snapshot.bin"
	goldentest.Compare(t, golden, encoded(t, filled()))
	got, age, err := DecodeSnapshot(goldentest.Read(t, golden), "a:1", saved.Add(time.Second))
	if err != nil || age != time.Second || !reflect.DeepEqual(got, filled()) {
		t.Errorf("%+v, %v, %v; want %+v", got, age, err, filled())
	}
}

// TestMessagesOfEarlierBuild checks that the messages of a hand-over, and one message with
// every field, have the form that an earlier build wrote.
func TestMessagesOfEarlierBuild(t *testing.T) {
	const golden = "messages.jsonl"
	full := Quota{Sockets: 100, MemoryMB: 64, InFlight: 50}
	old := NewPredecessor("a:1", full, func() []byte { return []byte("snapshot") })
	old.SetOwnsStore()
	next := NewSuccessor(full)
	next.SetUsesStore()
	var messages []Message
	collect := func(actions []Action) {
		for _, action := range actions {
			if action.Type == SendMessage || action.Type == SendListener {
				messages = append(messages, action.Message)
			}
		}
	}
	collect(next.Hello("a:1"))
	collect(old.Receive(1, messages[0]))
	collect(old.Receive(2, messages[0])) // rejected: one successor at a time
	if _, err := next.Receive(messages[1]); err != nil {
		t.Fatal(err)
	}
	collect(next.Ready())
	collect(old.Receive(1, messages[len(messages)-1]))
	collect(old.Terminate())
	collect(old.ReleaseUnused(Quota{Sockets: 10, MemoryMB: 16, InFlight: 1}))
	var every Message
	goldentest.Fill(&every)
	messages = append(messages, every)
	if len(messages) != 6 {
		t.Fatalf("%d messages: %+v", len(messages), messages)
	}

	var lines bytes.Buffer
	for _, message := range messages {
		if err := json.NewEncoder(&lines).Encode(message); err != nil {
			t.Fatal(err)
		}
	}
	goldentest.Compare(t, golden, lines.Bytes())
	decoder := json.NewDecoder(bytes.NewReader(goldentest.Read(t, golden)))
	for _, want := range messages {
		var got Message
		if err := decoder.Decode(&got); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%+v, %v; want %+v", got, err, want)
		}
	}
}
