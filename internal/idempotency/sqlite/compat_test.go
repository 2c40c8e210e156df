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

// writeStored creates a store at path with a key in each state.
func writeStored(t *testing.T, path string) {
	t.Helper()
	s, err := Open(ctx, cfg(path))
	if err != nil {
		t.Fatal(err)
	}
	cut := bt.End("cut", "e", idempotency.Answered)
	cut.Answer, cut.AnswerOmitted = nil, true
	settled := &idempotency.Op{Kind: idempotency.Settle, Class: "activate", Key: "settled", Outcome: idempotency.NeverRan, SettledBy: "sari", Note: "asked the network"}
	bt.Apply(t, s, bt.Claim("claimed", "a", time.Hour), bt.Claim("sent", "b", time.Hour), bt.Send("sent", "b", 0), bt.Send("sent", "b", 1),
		bt.Claim("answered", "c", time.Hour), bt.Send("answered", "c", 0), bt.End("answered", "c", idempotency.Answered),
		bt.Claim("never", "d", time.Hour), bt.End("never", "d", idempotency.NeverRan),
		bt.Claim("cut", "e", time.Hour), bt.Send("cut", "e", 0), cut,
		bt.Claim("may", "f", time.Hour), bt.Send("may", "f", 0), bt.End("may", "f", idempotency.MayHaveRun),
		bt.Claim("settled", "g", time.Hour), bt.Send("settled", "g", 0), bt.End("settled", "g", idempotency.MayHaveRun), settled)
	if err := s.Gap(ctx, idempotency.Gap{Owner: "o", Class: "activate", From: 1, Until: 2, Requests: 3, Cause: "the store is away"}); err != nil {
		t.Fatal(err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
}

// entryText is an entry without its times.
func entryText(row idempotency.Entry) string {
	return fmt.Sprintf("%s %s %s %x %s %s %s %d %q %d %q %q %v %q %q", row.Class, row.Key, row.State, row.Fingerprint, row.Owner, row.Token, row.RequestID,
		row.Attempts, row.Servers, row.Status, row.Header, row.Answer, row.AnswerOmitted, row.SettledBy, row.Note)
}

// TestRecordOfEarlierBuild checks that an earlier build's store is read with its values, key
// by key, and that the same operations write the same entries.
func TestRecordOfEarlierBuild(t *testing.T) {
	written := filepath.Join(t.TempDir(), "written.db")
	writeStored(t, written)
	earlier := goldentest.CopyFile(t, "record.db", written)
	reader := func(path string) *Store {
		c := cfg(path)
		c.Owner = false
		return mustOpen(t, c)
	}
	old, again := reader(earlier), reader(written)
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
			row, err := old.Get(ctx, "activate", key)
			if err != nil {
				t.Fatal(err)
			}
			if row.State != want.state || row.Attempts != want.attempts || row.Servers != want.servers || row.StartedAt == 0 || row.ChangedAt == 0 {
				t.Errorf("%+v; want %+v", row, want)
			}
			if same, err := again.Get(ctx, "activate", key); err != nil || entryText(same) != entryText(row) {
				t.Errorf("%s, %v; want %s", entryText(same), err, entryText(row))
			}
		})
	}
	if row, err := old.Get(ctx, "activate", "answered"); err != nil || string(row.Answer) != "yes\x00\xff" || row.Status != 200 || row.RequestID != "r1" {
		t.Errorf("the answer came back as %+v, %v", row, err)
	}
	if row, err := old.Get(ctx, "activate", "cut"); err != nil || !row.AnswerOmitted {
		t.Errorf("the cut answer came back as %+v, %v", row, err)
	}
	if row, err := old.Get(ctx, "activate", "settled"); err != nil || row.SettledBy != "sari" || row.Note != "asked the network" {
		t.Errorf("the settled key came back as %+v, %v", row, err)
	}
	if gaps, err := old.Gaps(ctx, 10); err != nil || len(gaps) != 1 || gaps[0] != (idempotency.Gap{Owner: "o", Class: "activate", From: 1, Until: 2, Requests: 3, Cause: "the store is away"}) {
		t.Errorf("gaps %+v, %v", gaps, err)
	}
}
