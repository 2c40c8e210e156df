package sqlite

import (
	"fmt"
	"path/filepath"
	"testing"
	"time"

	"martendrum/internal/goldentest"
	"martendrum/internal/idempotency"
	bt "martendrum/internal/idempotency/backendtest"
)

// writeStore creates a store at path with a gap and with keys in each state. The stored file
// testdata/record.db was written with the same ops.
func writeStore(t *testing.T, path string) {
	t.Helper()
	store, err := Open(ctx, testConfig(path))
	if err != nil {
		t.Fatalf("open a new store: %v", err)
	}
	omitted := bt.End("cut", "e", idempotency.Answered)
	omitted.Answer, omitted.AnswerOmitted = nil, true
	settled := &idempotency.Op{Kind: idempotency.Settle, Class: "activate", Key: "settled", Outcome: idempotency.NeverRan, SettledBy: "sari", Note: "asked the network"}
	bt.Apply(t, store, bt.Claim("claimed", "a", time.Hour), bt.Claim("sent", "b", time.Hour), bt.Send("sent", "b", 0), bt.Send("sent", "b", 1),
		bt.Claim("answered", "c", time.Hour), bt.Send("answered", "c", 0), bt.End("answered", "c", idempotency.Answered),
		bt.Claim("never", "d", time.Hour), bt.End("never", "d", idempotency.NeverRan),
		bt.Claim("cut", "e", time.Hour), bt.Send("cut", "e", 0), omitted,
		bt.Claim("may", "f", time.Hour), bt.Send("may", "f", 0), bt.End("may", "f", idempotency.MayHaveRun),
		bt.Claim("settled", "g", time.Hour), bt.Send("settled", "g", 0), bt.End("settled", "g", idempotency.MayHaveRun), settled)
	if err := store.WriteGap(ctx, idempotency.Gap{Owner: "o", Class: "activate", From: 1, Until: 2, Requests: 3, Cause: "the store is away"}); err != nil {
		t.Fatalf("write a gap: %v", err)
	}
	if err := store.Close(); err != nil {
		t.Fatalf("close the store: %v", err)
	}
}

// entryText returns the fields of an entry, without the times and the version, as text.
func entryText(entry idempotency.Entry) string {
	return fmt.Sprintf("%s %s %s %x %s %s %s %d %q %d %q %q %v %q %q", entry.Class, entry.Key, entry.State, entry.Fingerprint, entry.Owner, entry.Token, entry.RequestID,
		entry.Attempts, entry.Servers, entry.Status, entry.Header, entry.Answer, entry.AnswerOmitted, entry.SettledBy, entry.Note)
}

// TestRecordOfEarlierBuild checks that this build reads each entry of a store that an earlier
// build wrote, and that the same ops write the same entries today.
func TestRecordOfEarlierBuild(t *testing.T) {
	written := filepath.Join(t.TempDir(), "written.db")
	writeStore(t, written)
	earlier := goldentest.CopyFile(t, "record.db", written)
	openReader := func(path string) *Store {
		config := testConfig(path)
		config.Owner = false
		return mustOpen(t, config)
	}
	earlierStore, writtenStore := openReader(earlier), openReader(written)
	for key, want := range map[string]struct {
		state    idempotency.State
		attempts int64
		servers  string
	}{
		"claimed":  {idempotency.InFlight, 0, ""},
		"sent":     {idempotency.InFlight, 2, "s0,s1"},
		"answered": {idempotency.Answered, 1, "s0"},
		"never":    {idempotency.NeverRan, 0, ""},
		"cut":      {idempotency.Answered, 1, "s0"},
		"may":      {idempotency.MayHaveRun, 1, "s0"},
		"settled":  {idempotency.NeverRan, 1, "s0"},
	} {
		t.Run(key, func(t *testing.T) {
			entry, err := earlierStore.Get(ctx, "activate", key)
			if err != nil {
				t.Fatalf("read the key from the earlier build's store: %v", err)
			}
			if entry.State != want.state || entry.Attempts != want.attempts || entry.Servers != want.servers || entry.StartedAt == 0 || entry.ChangedAt == 0 {
				t.Errorf("the earlier build's entry is %+v, want %+v and the times set", entry, want)
			}
			if rewritten, err := writtenStore.Get(ctx, "activate", key); err != nil || entryText(rewritten) != entryText(entry) {
				t.Errorf("this build wrote the entry %s (error %v), want that of the earlier build: %s", entryText(rewritten), err, entryText(entry))
			}
		})
	}
	if entry, err := earlierStore.Get(ctx, "activate", "answered"); err != nil || string(entry.Answer) != "yes\x00\xff" || entry.Status != 200 || entry.RequestID != "r1" {
		t.Errorf("Get of the answered key = %+v, %v; want status 200, answer %q and request ID %q", entry, err, "yes\x00\xff", "r1")
	}
	if entry, err := earlierStore.Get(ctx, "activate", "cut"); err != nil || !entry.AnswerOmitted {
		t.Errorf("Get of the key whose answer was omitted = %+v, %v; want AnswerOmitted = true", entry, err)
	}
	if entry, err := earlierStore.Get(ctx, "activate", "settled"); err != nil || entry.SettledBy != "sari" || entry.Note != "asked the network" {
		t.Errorf("Get of the settled key = %+v, %v; want SettledBy %q and Note %q", entry, err, "sari", "asked the network")
	}
	if gaps, err := earlierStore.Gaps(ctx, 10); err != nil || len(gaps) != 1 || gaps[0] != (idempotency.Gap{Owner: "o", Class: "activate", From: 1, Until: 2, Requests: 3, Cause: "the store is away"}) {
		t.Errorf("Gaps() = %+v, %v; want the one gap that was written", gaps, err)
	}
}
