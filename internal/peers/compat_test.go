package peers

import (
	"encoding/hex"
	"reflect"
	"strings"
	"testing"
	"time"

	"martendrum/internal/goldentest"
)

// TestDatagramsOfEarlierBuild checks that datagrams of each kind are encoded as by an earlier build, and
// that its datagrams decode to the same messages.
func TestDatagramsOfEarlierBuild(t *testing.T) {
	const golden = "datagrams.hex"
	const now = time.Hour
	self := Record{Incarnation: 1_800_000_000_123, Heartbeat: 9, State: Alive, Phase: 3, Traffic: 40, StartedAt: now - time.Minute}
	record := Record{Rank: 4, Incarnation: 1_800_000_000_456, Heartbeat: 2, State: Suspect, Phase: 2, Traffic: 7, StartedAt: now - 2*time.Minute}
	entry := Entry{Owner: 5, Kind: hot, Subject: 1 << 60, Incarnation: 1_800_000_000_789, Sequence: 11, Value: 12, CreatedAt: now - 3*time.Second}
	node := &Node{config: testConfig(3, 16)}
	messages := []message{
		{kind: kindPing, seq: 1, self: self},
		{kind: kindAck, seq: 2, self: self},
		{kind: kindPingRequest, seq: 3, self: self, target: 6},
		{kind: kindIndirectAck, seq: 4, self: self, target: 7},
		{kind: kindPull, seq: 5, self: self, pulled: entryKey{owner: 3, kind: hot, subject: 1 << 59}},
		{kind: kindUpdate, seq: 6, self: self},
	}
	if len(messages) != int(kindCount) {
		t.Fatalf("got %d messages, want one of each of the %d kinds", len(messages), kindCount)
	}
	var written []string
	for _, m := range messages {
		w := newWriter(now)
		w.header(m)
		if !w.addRecord(record) || !w.addEntry(entry) {
			t.Fatal("the record and the entry do not fit into a datagram")
		}
		written = append(written, hex.EncodeToString(w.finish(node)))
	}
	goldentest.Compare(t, golden, []byte(strings.Join(written, "\n")+"\n"))

	for n, line := range strings.Fields(string(goldentest.Read(t, golden))) {
		data, err := hex.DecodeString(line)
		if err != nil {
			t.Fatalf("line %d of %s: %v", n, golden, err)
		}
		got, err := node.decode(now, data)
		if err != nil {
			t.Fatalf("decode datagram %d: %v", n, err)
		}
		want := &decoded{message: messages[n], records: []Record{record}, entries: []Entry{entry}}
		if !reflect.DeepEqual(got, want) {
			t.Errorf("decode(datagram %d) = %+v, want %+v", n, got, want)
		}
	}
}
