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

// filled returns a learned state in which every field has a value, one that CheckLearned accepts.
func filled() martendrum.LearnedState {
	var state martendrum.LearnedState
	goldentest.Fill(&state)
	state.HedgeProbability, state.LostFraction, state.ShedLevel, state.AcceptedFraction = 0.2, 0.01, 0.3, 0.9
	state.Servers[0].WeightCorrection = 1.5
	return state
}

// TestSnapshotOfEarlierBuild checks that a snapshot of an earlier build decodes to the same values,
// and that these are encoded to the same bytes as by that build.
func TestSnapshotOfEarlierBuild(t *testing.T) {
	const golden = "snapshot.bin"
	goldentest.Compare(t, golden, encoded(t, filled()))
	got, age, err := DecodeSnapshot(goldentest.Read(t, golden), "a:1", saved.Add(time.Second))
	if err != nil || age != time.Second || !reflect.DeepEqual(got, filled()) {
		t.Errorf("DecodeSnapshot() of the earlier build's snapshot = %+v, %v, %v; want %+v, 1s, nil", got, age, err, filled())
	}
}

// TestMessagesOfEarlierBuild checks that the messages of a hand-over, and one message with every
// field set, are encoded and decoded as by an earlier build.
func TestMessagesOfEarlierBuild(t *testing.T) {
	const golden = "messages.jsonl"
	limits := Quota{Sockets: 100, MemoryMB: 64, InFlight: 50}
	predecessor := NewPredecessor("a:1", limits, func() []byte { return []byte("snapshot") })
	predecessor.SetOwnsStore()
	successor := NewSuccessor(limits)
	successor.SetUsesStore()
	var messages []Message
	collect := func(actions []Action) {
		for _, action := range actions {
			if action.Type == SendMessage || action.Type == SendListener {
				messages = append(messages, action.Message)
			}
		}
	}
	collect(successor.Hello("a:1"))
	collect(predecessor.Receive(1, messages[0]))
	collect(predecessor.Receive(2, messages[0])) // rejected: one successor at a time
	if _, err := successor.Receive(messages[1]); err != nil {
		t.Fatalf("Receive(offer): %v", err)
	}
	collect(successor.Ready())
	collect(predecessor.Receive(1, messages[len(messages)-1]))
	collect(predecessor.Terminate())
	collect(predecessor.ReleaseUnused(Quota{Sockets: 10, MemoryMB: 16, InFlight: 1}))
	var allFields Message
	goldentest.Fill(&allFields)
	messages = append(messages, allFields)
	if len(messages) != 6 {
		t.Fatalf("got %d messages, want 6: %+v", len(messages), messages)
	}

	var lines bytes.Buffer
	for _, message := range messages {
		if err := json.NewEncoder(&lines).Encode(message); err != nil {
			t.Fatalf("encode %+v: %v", message, err)
		}
	}
	goldentest.Compare(t, golden, lines.Bytes())
	decoder := json.NewDecoder(bytes.NewReader(goldentest.Read(t, golden)))
	for _, want := range messages {
		var got Message
		if err := decoder.Decode(&got); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("decoded message = %+v, %v; want %+v", got, err, want)
		}
	}
}
