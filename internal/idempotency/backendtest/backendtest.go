// Package backendtest is what each idempotency.Backend must do, as tests that the
// backends' own packages run.
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

// Retention is the retention of the tests' stores.
var Retention = idempotency.Retention{Answered: time.Hour, NeverRan: time.Minute, Unsettled: 24 * time.Hour}

// ctx is a context that bounds a call to 30 s.
func ctx(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// Claim is an op that claims a key.
func Claim(key, token string, lease time.Duration) *idempotency.Op {
	return &idempotency.Op{Kind: idempotency.Claim, Class: "activate", Key: key, Token: token, Owner: "o-" + token, Fingerprint: bytes.Repeat([]byte{7}, 32), RequestID: "r1", Lease: lease}
}

// Send is an op that sends an attempt.
func Send(key, token string, n int) *idempotency.Op {
	return &idempotency.Op{Kind: idempotency.Send, Class: "activate", Key: key, Token: token, Attempt: n, Server: fmt.Sprint("s", n), Lease: time.Hour}
}

// End is an op that ends a request.
func End(key, token string, to idempotency.State) *idempotency.Op {
	op := &idempotency.Op{Kind: idempotency.End, Class: "activate", Key: key, Token: token, Outcome: to}
	if to == idempotency.Answered {
		op.Status, op.Header, op.Answer = 200, []byte("Content-Type: text/plain\r\n"), []byte("yes\x00\xff")
	}
	return op
}

// Apply applies ops and returns their results.
func Apply(t *testing.T, backend idempotency.Backend, ops ...*idempotency.Op) (results []idempotency.Result) {
	t.Helper()
	if err := backend.Apply(ctx(t), ops); err != nil {
		t.Fatal(err)
	}
	for _, op := range ops {
		results = append(results, op.Result)
	}
	return results
}

// Expect applies one op and compares its result.
func Expect(t *testing.T, backend idempotency.Backend, op *idempotency.Op, want idempotency.Result) {
	t.Helper()
	if got := Apply(t, backend, op)[0]; got != want {
		t.Fatalf("%+v: %v, want %v (entry %+v)", op, got, want, op.Entry)
	}
}

// Run runs the tests, each on a store of its own that open opens.
func Run(t *testing.T, open func(t *testing.T) idempotency.Backend) {
	for _, test := range []struct {
		name string
		run  func(*testing.T, idempotency.Backend)
	}{
		{"claimed, sent and answered", testLifecycle},
		{"ops of one batch in order", testBatch},
		{"leases of dead owners expire", testDeadOwners},
		{"settled by hand", testSettle},
		{"lists by state and key", testList},
		{"sweeps by lease and retention", testSweep},
		{"stores gaps", testGaps},
		{"one of many claims is granted", testConcurrentClaims},
		{"compacts and pings", testCompactAndPing},
	} {
		t.Run(test.name, func(t *testing.T) { test.run(t, open(t)) })
	}
}

// testLifecycle checks a key from its claim to its answer, and what others learn of it.
func testLifecycle(t *testing.T, backend idempotency.Backend) {
	Expect(t, backend, Claim("k", "a", time.Hour), idempotency.Granted)
	Expect(t, backend, Claim("k", "a", time.Hour), idempotency.Granted) // the same op again
	Expect(t, backend, Claim("k", "b", time.Hour), idempotency.Busy)
	Expect(t, backend, Send("k", "b", 0), idempotency.Fenced)
	for range 2 {
		Expect(t, backend, Send("k", "a", 0), idempotency.Granted)
		Expect(t, backend, Send("k", "a", 1), idempotency.Granted)
	}
	row, err := backend.Get(ctx(t), "activate", "k")
	if err != nil || row.Attempts != 2 || row.Servers != "s0,s1" || row.State != idempotency.InFlight || row.Owner != "o-a" || row.RequestID != "r1" {
		t.Fatalf("%+v %v", row, err)
	}
	for range 2 {
		Expect(t, backend, End("k", "a", idempotency.Answered), idempotency.Granted)
	}
	Expect(t, backend, End("k", "a", idempotency.NeverRan), idempotency.Fenced)
	op := Claim("k", "c", time.Hour)
	Expect(t, backend, op, idempotency.AlreadyAnswered)
	if string(op.Entry.Answer) != "yes\x00\xff" || string(op.Entry.Header) != "Content-Type: text/plain\r\n" || op.Entry.Status != 200 {
		t.Errorf("the answer came back as %+v", op.Entry)
	}
	other := Claim("k", "d", time.Hour)
	other.Fingerprint = bytes.Repeat([]byte{8}, 32)
	Expect(t, backend, other, idempotency.KeyReused)
	if found, err := backend.Check(ctx(t)); err != nil || len(found) > 0 {
		t.Error(found, err)
	}
}

// testBatch checks that ops of one batch are applied in order, also to one key.
func testBatch(t *testing.T, backend idempotency.Backend) {
	got := Apply(t, backend, Claim("k", "a", time.Hour), Claim("k", "b", time.Hour), Send("k", "a", 0), Claim("j", "c", time.Hour),
		End("k", "a", idempotency.NeverRan), Claim("k", "d", time.Hour), Send("k", "a", 1), End("none", "x", idempotency.NeverRan))
	want := []idempotency.Result{idempotency.Granted, idempotency.Busy, idempotency.Granted, idempotency.Granted, idempotency.Granted, idempotency.Granted, idempotency.Fenced, idempotency.Granted}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// testDeadOwners checks what claims find whose owner's lease is over, and that a late outcome counts.
func testDeadOwners(t *testing.T, backend idempotency.Backend) {
	Expect(t, backend, Claim("sent", "a", -time.Second), idempotency.Granted)
	op := Send("sent", "a", 0)
	op.Lease = -time.Second
	Expect(t, backend, op, idempotency.Granted)
	Expect(t, backend, Claim("unsent", "b", -time.Second), idempotency.Granted)
	Expect(t, backend, Claim("sent", "c", time.Hour), idempotency.Unsettled)
	Expect(t, backend, Claim("unsent", "d", time.Hour), idempotency.Granted)
	Expect(t, backend, Send("unsent", "b", 0), idempotency.Fenced) // its owner resumes after the lease
	Expect(t, backend, Send("sent", "a", 1), idempotency.Fenced)
	Expect(t, backend, End("sent", "a", idempotency.Answered), idempotency.Granted) // a late outcome still counts
	Expect(t, backend, Claim("sent", "e", time.Hour), idempotency.AlreadyAnswered)
}

// testSettle checks that only keys that may have run are settled.
func testSettle(t *testing.T, backend idempotency.Backend) {
	for _, key := range []string{"ran", "not", "flying"} {
		Apply(t, backend, Claim(key, key, time.Hour), Send(key, key, 0))
	}
	Apply(t, backend, End("ran", "ran", idempotency.MayHaveRun), End("not", "not", idempotency.MayHaveRun))
	settle := func(key string, to idempotency.State) *idempotency.Op {
		return &idempotency.Op{Kind: idempotency.Settle, Class: "activate", Key: key, Outcome: to, SettledBy: "sari", Note: "asked the network"}
	}
	Expect(t, backend, settle("ran", idempotency.Answered), idempotency.Granted)
	Expect(t, backend, settle("ran", idempotency.NeverRan), idempotency.Fenced)
	Expect(t, backend, settle("not", idempotency.NeverRan), idempotency.Granted)
	Expect(t, backend, settle("flying", idempotency.NeverRan), idempotency.Fenced)
	Expect(t, backend, settle("nobody's", idempotency.NeverRan), idempotency.Fenced)
	op := Claim("ran", "x", time.Hour)
	Expect(t, backend, op, idempotency.AlreadyAnswered)
	if op.Entry.SettledBy != "sari" || op.Entry.Note != "asked the network" {
		t.Errorf("%+v", op.Entry)
	}
	Expect(t, backend, Claim("not", "y", time.Hour), idempotency.Granted)
}

// testList checks filters, paging and counts.
func testList(t *testing.T, backend idempotency.Backend) {
	for n := range 25 {
		key := fmt.Sprintf("k%02d'\"", n)
		Apply(t, backend, Claim(key, key, time.Hour), Send(key, key, 0), End(key, key, []idempotency.State{idempotency.Answered, idempotency.MayHaveRun}[n%2]))
	}
	var got []string
	f := idempotency.Filter{State: idempotency.MayHaveRun, Limit: 5}
	for {
		rows, err := backend.List(ctx(t), f)
		if err != nil {
			t.Fatal(err)
		}
		for _, r := range rows {
			got = append(got, r.Key)
		}
		if len(rows) < f.Limit {
			break
		}
		f.AfterClass, f.AfterKey = rows[len(rows)-1].Class, rows[len(rows)-1].Key
	}
	if len(got) != 12 || got[0] != "k01'\"" || got[11] != "k23'\"" {
		t.Errorf("%d keys: %v", len(got), got)
	}
	if rows, err := backend.List(ctx(t), idempotency.Filter{Class: "other", Limit: 5}); err != nil || len(rows) > 0 {
		t.Error(rows, err)
	}
	st, err := backend.Stats(ctx(t))
	if err != nil || st.Rows[idempotency.Answered] != 13 || st.Rows[idempotency.MayHaveRun] != 12 || st.Bytes <= 0 {
		t.Errorf("%+v %v", st, err)
	}
}

// testSweep checks that a sweep lapses dead owners' entries and drops old ones, up to its limit.
func testSweep(t *testing.T, backend idempotency.Backend) {
	for n := range 10 {
		key := fmt.Sprint("a", n)
		Apply(t, backend, Claim(key, key, time.Hour), Send(key, key, 0), End(key, key, idempotency.Answered))
	}
	dead := Claim("dead", "d", -time.Second)
	sent := Send("dead", "d", 0)
	sent.Lease = -time.Second
	Apply(t, backend, dead, sent, Claim("unsent", "u", -time.Second), Claim("alive", "l", time.Hour))
	n, err := backend.Sweep(ctx(t), Retention, 100)
	if err != nil || n != 2 {
		t.Fatal(n, err)
	}
	for key, want := range map[string]idempotency.State{"dead": idempotency.MayHaveRun, "unsent": idempotency.NeverRan, "alive": idempotency.InFlight, "a3": idempotency.Answered} {
		if row, err := backend.Get(ctx(t), "activate", key); err != nil || row.State != want {
			t.Errorf("%s: %q %v, want %q", key, row.State, err, want)
		}
	}
	time.Sleep(2 * time.Millisecond)
	short := idempotency.Retention{Answered: time.Millisecond, NeverRan: time.Hour, Unsettled: time.Hour}
	total := 0
	for n := 4; n == 4; total += n {
		if n, err = backend.Sweep(ctx(t), short, 4); err != nil || n > 4 {
			t.Fatal(n, err)
		}
	}
	if st, _ := backend.Stats(ctx(t)); total != 10 || st.Rows[idempotency.Answered] != 0 || st.Rows[idempotency.InFlight] != 1 {
		t.Errorf("%d swept; left %+v", total, st)
	}
}

// testGaps checks that a gap is read as it was written.
func testGaps(t *testing.T, backend idempotency.Backend) {
	g := idempotency.Gap{Owner: "o", Class: "id-register", From: 5, Until: 9, Requests: 3, Cause: "away"}
	if err := backend.Gap(ctx(t), g); err != nil {
		t.Fatal(err)
	}
	if got, err := backend.Gaps(ctx(t), 10); err != nil || !reflect.DeepEqual(got, []idempotency.Gap{g}) {
		t.Error(got, err)
	}
}

// testConcurrentClaims checks that of concurrent claims of one key, one is granted.
func testConcurrentClaims(t *testing.T, backend idempotency.Backend) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	got := make(map[idempotency.Result]int)
	for n := range 24 {
		wg.Go(func() {
			ops := []*idempotency.Op{Claim("k", fmt.Sprint(n), time.Hour), Claim(fmt.Sprint("own", n), fmt.Sprint(n), time.Hour)}
			err := backend.Apply(ctx(t), ops)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				t.Error(err)
			}
			got[ops[0].Result]++
		})
	}
	wg.Wait()
	if got[idempotency.Granted] != 1 || got[idempotency.Busy] != 23 {
		t.Error(got)
	}
}

// testCompactAndPing checks that a store replies before and after it is compacted.
func testCompactAndPing(t *testing.T, backend idempotency.Backend) {
	if err := errors.Join(backend.Ping(ctx(t)), backend.Compact(ctx(t)), backend.Ping(ctx(t))); err != nil {
		t.Error(err)
	}
}
