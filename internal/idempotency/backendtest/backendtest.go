// Package backendtest has tests that each implementation of idempotency.Backend must pass, and
// helpers for further tests of the implementations.
package backendtest

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"reflect"
	"sync"
	"testing"
	"time"

	"martendrum/internal/idempotency"
)

// Retention is the retention that the tests use.
var Retention = idempotency.Retention{Answered: time.Hour, NeverRan: time.Minute, Unsettled: 24 * time.Hour}

// ctx returns a context that limits a call to 30 s.
func ctx(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// Claim returns an op that claims a key of the class "activate". Its owner is "o-" followed
// by the token; its fingerprint is the same for all keys.
func Claim(key, token string, lease time.Duration) *idempotency.Op {
	return &idempotency.Op{Kind: idempotency.Claim, Class: "activate", Key: key, Token: token, Owner: "o-" + token, Fingerprint: bytes.Repeat([]byte{7}, 32), RequestID: "r1", Lease: lease}
}

// Send returns an op that records an attempt, which counts from 0, at the server whose name
// is "s" followed by the attempt's number.
func Send(key, token string, attempt int) *idempotency.Op {
	return &idempotency.Op{Kind: idempotency.Send, Class: "activate", Key: key, Token: token, Attempt: attempt, Server: fmt.Sprint("s", attempt), Lease: time.Hour}
}

// End returns an op that ends a request with an outcome. For Answered it has an answer.
func End(key, token string, outcome idempotency.State) *idempotency.Op {
	op := &idempotency.Op{Kind: idempotency.End, Class: "activate", Key: key, Token: token, Outcome: outcome}
	if outcome == idempotency.Answered {
		op.Status, op.Header, op.Answer = 200, []byte("Content-Type: text/plain\r\n"), []byte("yes\x00\xff")
	}
	return op
}

// Apply applies ops in one call and returns their results.
func Apply(t *testing.T, backend idempotency.Backend, ops ...*idempotency.Op) (results []idempotency.Result) {
	t.Helper()
	if err := backend.Apply(ctx(t), ops); err != nil {
		t.Fatalf("apply %d ops: %v", len(ops), err)
	}
	for _, op := range ops {
		results = append(results, op.Result)
	}
	return results
}

// Expect applies one op and fails the test unless its result is want.
func Expect(t *testing.T, backend idempotency.Backend, op *idempotency.Op, want idempotency.Result) {
	t.Helper()
	if got := Apply(t, backend, op)[0]; got != want {
		t.Fatalf("apply the op %+v: got result %v, want %v; the entry is %+v", op, got, want, op.Entry)
	}
}

// Run runs the tests. Each calls open for a new, empty store.
func Run(t *testing.T, open func(t *testing.T) idempotency.Backend) {
	for _, test := range []struct {
		name string
		run  func(*testing.T, idempotency.Backend)
	}{
		{"claim, send and answer", testLifecycle},
		{"apply the ops of a batch in order", testBatch},
		{"end claims whose lease has expired", testDeadOwners},
		{"settle keys", testSettle},
		{"list entries", testList},
		{"sweep by lease and retention", testSweep},
		{"store gaps", testGaps},
		{"grant one of concurrent claims", testConcurrentClaims},
		{"compact and ping", testCompactAndPing},
	} {
		t.Run(test.name, func(t *testing.T) { test.run(t, open(t)) })
	}
}

// testLifecycle checks a key from its claim to its answer, and the results of other claims
// meanwhile.
func testLifecycle(t *testing.T, backend idempotency.Backend) {
	Expect(t, backend, Claim("k", "a", time.Hour), idempotency.Granted)
	Expect(t, backend, Claim("k", "a", time.Hour), idempotency.Granted) // the op may be applied again
	Expect(t, backend, Claim("k", "b", time.Hour), idempotency.Busy)
	Expect(t, backend, Send("k", "b", 0), idempotency.Fenced)
	for range 2 {
		Expect(t, backend, Send("k", "a", 0), idempotency.Granted)
		Expect(t, backend, Send("k", "a", 1), idempotency.Granted)
	}
	entry, err := backend.Get(ctx(t), "activate", "k")
	if err != nil || entry.Attempts != 2 || entry.Servers != "s0,s1" || entry.State != idempotency.InFlight || entry.Owner != "o-a" || entry.RequestID != "r1" {
		t.Fatalf("Get() after two attempts = %+v, %v; want 2 attempts at s0 and s1, the state %q, the owner o-a and the request ID r1", entry, err, idempotency.InFlight)
	}
	for range 2 {
		Expect(t, backend, End("k", "a", idempotency.Answered), idempotency.Granted)
	}
	Expect(t, backend, End("k", "a", idempotency.NeverRan), idempotency.Fenced)
	op := Claim("k", "c", time.Hour)
	Expect(t, backend, op, idempotency.AlreadyAnswered)
	if string(op.Entry.Answer) != "yes\x00\xff" || string(op.Entry.Header) != "Content-Type: text/plain\r\n" || op.Entry.Status != 200 {
		t.Errorf("entry of the repeated request = %+v; want status 200, header %q and answer %q", op.Entry, "Content-Type: text/plain\r\n", "yes\x00\xff")
	}
	different := Claim("k", "d", time.Hour)
	different.Fingerprint = bytes.Repeat([]byte{8}, 32)
	Expect(t, backend, different, idempotency.KeyReused)
	if found, err := backend.Check(ctx(t)); err != nil || len(found) > 0 {
		t.Errorf("Check() = %q, %v; want no damage and no error", found, err)
	}
}

// testBatch checks that the ops of one batch are applied in order, also those on one key.
func testBatch(t *testing.T, backend idempotency.Backend) {
	got := Apply(t, backend, Claim("k", "a", time.Hour), Claim("k", "b", time.Hour), Send("k", "a", 0), Claim("j", "c", time.Hour),
		End("k", "a", idempotency.NeverRan), Claim("k", "d", time.Hour), Send("k", "a", 1), End("none", "x", idempotency.NeverRan))
	want := []idempotency.Result{idempotency.Granted, idempotency.Busy, idempotency.Granted, idempotency.Granted, idempotency.Granted, idempotency.Granted, idempotency.Fenced, idempotency.Granted}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("results of the batch = %v, want %v", got, want)
	}
}

// testDeadOwners checks the results of claims of keys whose owner's lease has expired, and
// that a late outcome of such an owner is stored.
func testDeadOwners(t *testing.T, backend idempotency.Backend) {
	Expect(t, backend, Claim("sent", "a", -time.Second), idempotency.Granted)
	op := Send("sent", "a", 0)
	op.Lease = -time.Second
	Expect(t, backend, op, idempotency.Granted)
	Expect(t, backend, Claim("unsent", "b", -time.Second), idempotency.Granted)
	Expect(t, backend, Claim("sent", "c", time.Hour), idempotency.Unsettled)
	Expect(t, backend, Claim("unsent", "d", time.Hour), idempotency.Granted)
	Expect(t, backend, Send("unsent", "b", 0), idempotency.Fenced) // the owner resumes after its lease has expired
	Expect(t, backend, Send("sent", "a", 1), idempotency.Fenced)
	Expect(t, backend, End("sent", "a", idempotency.Answered), idempotency.Granted) // the late outcome is stored
	Expect(t, backend, Claim("sent", "e", time.Hour), idempotency.AlreadyAnswered)
}

// testSettle checks that a key can be settled only if its request may have run.
func testSettle(t *testing.T, backend idempotency.Backend) {
	for _, key := range []string{"ran", "not", "flying"} {
		Apply(t, backend, Claim(key, key, time.Hour), Send(key, key, 0))
	}
	Apply(t, backend, End("ran", "ran", idempotency.MayHaveRun), End("not", "not", idempotency.MayHaveRun))
	settle := func(key string, outcome idempotency.State) *idempotency.Op {
		return &idempotency.Op{Kind: idempotency.Settle, Class: "activate", Key: key, Outcome: outcome, SettledBy: "sari", Note: "asked the network"}
	}
	Expect(t, backend, settle("ran", idempotency.Answered), idempotency.Granted)
	Expect(t, backend, settle("ran", idempotency.NeverRan), idempotency.Fenced)
	Expect(t, backend, settle("not", idempotency.NeverRan), idempotency.Granted)
	Expect(t, backend, settle("flying", idempotency.NeverRan), idempotency.Fenced)
	Expect(t, backend, settle("nobody's", idempotency.NeverRan), idempotency.Fenced)
	op := Claim("ran", "x", time.Hour)
	Expect(t, backend, op, idempotency.AlreadyAnswered)
	if op.Entry.SettledBy != "sari" || op.Entry.Note != "asked the network" {
		t.Errorf("entry of the settled key = %+v; want SettledBy %q and Note %q", op.Entry, "sari", "asked the network")
	}
	Expect(t, backend, Claim("not", "y", time.Hour), idempotency.Granted)
}

// testList checks the filters and the paging of List, and the counts of Stats.
func testList(t *testing.T, backend idempotency.Backend) {
	for n := range 25 {
		key := fmt.Sprintf("k%02d'\"", n)
		Apply(t, backend, Claim(key, key, time.Hour), Send(key, key, 0), End(key, key, []idempotency.State{idempotency.Answered, idempotency.MayHaveRun}[n%2]))
	}
	var keys []string
	filter := idempotency.Filter{State: idempotency.MayHaveRun, Limit: 5}
	for {
		page, err := backend.List(ctx(t), filter)
		if err != nil {
			t.Fatalf("list the entries after %q: %v", filter.AfterKey, err)
		}
		for _, entry := range page {
			keys = append(keys, entry.Key)
		}
		if len(page) < filter.Limit {
			break
		}
		filter.AfterClass, filter.AfterKey = page[len(page)-1].Class, page[len(page)-1].Key
	}
	if len(keys) != 12 || keys[0] != "k01'\"" || keys[11] != "k23'\"" {
		t.Errorf("List() returned %d keys of the state %q: %q; want 12, from k01'\" to k23'\"", len(keys), filter.State, keys)
	}
	if entries, err := backend.List(ctx(t), idempotency.Filter{Class: "other", Limit: 5}); err != nil || len(entries) > 0 {
		t.Errorf("List() of a class without entries = %+v, %v; want none", entries, err)
	}
	stats, err := backend.Stats(ctx(t))
	if err != nil || stats.Rows[idempotency.Answered] != 13 || stats.Rows[idempotency.MayHaveRun] != 12 || stats.Bytes <= 0 {
		t.Errorf("Stats() = %+v, %v; want 13 entries of the state %q, 12 of %q, and Bytes above 0", stats, err, idempotency.Answered, idempotency.MayHaveRun)
	}
}

// testSweep checks that Sweep ends the claims whose lease has expired, deletes entries whose
// retention is over, and changes no more entries than its limit.
func testSweep(t *testing.T, backend idempotency.Backend) {
	for n := range 10 {
		key := fmt.Sprint("a", n)
		Apply(t, backend, Claim(key, key, time.Hour), Send(key, key, 0), End(key, key, idempotency.Answered))
	}
	dead := Claim("dead", "d", -time.Second)
	sent := Send("dead", "d", 0)
	sent.Lease = -time.Second
	Apply(t, backend, dead, sent, Claim("unsent", "u", -time.Second), Claim("alive", "l", time.Hour))
	swept, err := backend.Sweep(ctx(t), Retention, 100)
	if err != nil || swept != 2 {
		t.Fatalf("Sweep() of two expired claims = %d, %v; want 2", swept, err)
	}
	for key, want := range map[string]idempotency.State{"dead": idempotency.MayHaveRun, "unsent": idempotency.NeverRan, "alive": idempotency.InFlight, "a3": idempotency.Answered} {
		if entry, err := backend.Get(ctx(t), "activate", key); err != nil || entry.State != want {
			t.Errorf("state of the key %s after Sweep: got %q, error %v; want %q", key, entry.State, err, want)
		}
	}
	time.Sleep(2 * time.Millisecond)
	short := idempotency.Retention{Answered: time.Millisecond, NeverRan: time.Hour, Unsettled: time.Hour}
	total := 0
	for swept := 4; swept == 4; total += swept {
		if swept, err = backend.Sweep(ctx(t), short, 4); err != nil || swept > 4 {
			t.Fatalf("Sweep() with a limit of 4 = %d, %v; want at most 4", swept, err)
		}
	}
	if stats, _ := backend.Stats(ctx(t)); total != 10 || stats.Rows[idempotency.Answered] != 0 || stats.Rows[idempotency.InFlight] != 1 {
		t.Errorf("Sweep() deleted %d entries and left %+v; want 10 deleted, no answered entry left and 1 in flight", total, stats)
	}
}

// testGaps checks that a gap is read as it was written.
func testGaps(t *testing.T, backend idempotency.Backend) {
	gap := idempotency.Gap{Owner: "o", Class: "id-register", From: 5, Until: 9, Requests: 3, Cause: "away"}
	if err := backend.WriteGap(ctx(t), gap); err != nil {
		t.Fatalf("write a gap: %v", err)
	}
	if got, err := backend.Gaps(ctx(t), 10); err != nil || !reflect.DeepEqual(got, []idempotency.Gap{gap}) {
		t.Errorf("Gaps() = %+v, %v; want the written gap %+v", got, err, gap)
	}
}

// testConcurrentClaims checks that exactly one of 24 concurrent claims of a key is granted.
// Each of them is in one batch with a claim of a key that no other batch claims.
func testConcurrentClaims(t *testing.T, backend idempotency.Backend) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	results := make(map[idempotency.Result]int) // of the claims of the one key
	for n := range 24 {
		wg.Go(func() {
			ops := []*idempotency.Op{Claim("k", fmt.Sprint(n), time.Hour), Claim(fmt.Sprint("own", n), fmt.Sprint(n), time.Hour)}
			err := backend.Apply(ctx(t), ops)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				t.Errorf("claim %d: %v", n, err)
			}
			results[ops[0].Result]++
		})
	}
	wg.Wait()
	if results[idempotency.Granted] != 1 || results[idempotency.Busy] != 23 {
		t.Errorf("results of 24 concurrent claims = %v; want 1 %v and 23 %v", results, idempotency.Granted, idempotency.Busy)
	}
}

// testCompactAndPing checks that Ping succeeds before and after Compact.
func testCompactAndPing(t *testing.T, backend idempotency.Backend) {
	if err := errors.Join(backend.Ping(ctx(t)), backend.Compact(ctx(t)), backend.Ping(ctx(t))); err != nil {
		t.Errorf("Ping, Compact and Ping: %v", err)
	}
}
