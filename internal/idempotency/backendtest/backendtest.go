// Package backendtest is what each record.Backend must do, as tests that the
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

// Retention is what the tests keep rows for.
var Retention = idempotency.Retention{Answered: time.Hour, NeverRan: time.Minute, Unsettled: 24 * time.Hour}

func ctx(t *testing.T) context.Context {
	c, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	t.Cleanup(cancel)
	return c
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

// Apply carries ops out and returns their results.
func Apply(t *testing.T, b idempotency.Backend, ops ...*idempotency.Op) (out []idempotency.Result) {
	t.Helper()
	if err := b.Apply(ctx(t), ops); err != nil {
		t.Fatal(err)
	}
	for _, op := range ops {
		out = append(out, op.Result)
	}
	return out
}

// Expect carries one op out and compares its result.
func Expect(t *testing.T, b idempotency.Backend, op *idempotency.Op, want idempotency.Result) {
	t.Helper()
	if got := Apply(t, b, op)[0]; got != want {
		t.Fatalf("%+v: %v, want %v (row %+v)", op, got, want, op.Entry)
	}
}

// Run runs the tests on stores that open makes.
func Run(t *testing.T, open func(t *testing.T) idempotency.Backend) {
	t.Run("a life", func(t *testing.T) {
		b := open(t)
		Expect(t, b, Claim("k", "a", time.Hour), idempotency.Granted)
		Expect(t, b, Claim("k", "a", time.Hour), idempotency.Granted) // asked once more
		Expect(t, b, Claim("k", "b", time.Hour), idempotency.Busy)
		Expect(t, b, Send("k", "b", 0), idempotency.Fenced)
		for range 2 {
			Expect(t, b, Send("k", "a", 0), idempotency.Granted)
			Expect(t, b, Send("k", "a", 1), idempotency.Granted)
		}
		row, err := b.Get(ctx(t), "activate", "k")
		if err != nil || row.Attempts != 2 || row.Servers != "s0,s1" || row.State != idempotency.InFlight || row.Owner != "o-a" || row.RequestID != "r1" {
			t.Fatalf("%+v %v", row, err)
		}
		for range 2 {
			Expect(t, b, End("k", "a", idempotency.Answered), idempotency.Granted)
		}
		Expect(t, b, End("k", "a", idempotency.NeverRan), idempotency.Fenced)
		op := Claim("k", "c", time.Hour)
		Expect(t, b, op, idempotency.AlreadyAnswered)
		if string(op.Entry.Answer) != "yes\x00\xff" || string(op.Entry.Header) != "Content-Type: text/plain\r\n" || op.Entry.Status != 200 {
			t.Errorf("the answer came back as %+v", op.Entry)
		}
		other := Claim("k", "d", time.Hour)
		other.Fingerprint = bytes.Repeat([]byte{8}, 32)
		Expect(t, b, other, idempotency.KeyReused)
		if found, err := b.Check(ctx(t)); err != nil || len(found) > 0 {
			t.Error(found, err)
		}
	})
	t.Run("one batch", func(t *testing.T) {
		b := open(t)
		got := Apply(t, b, Claim("k", "a", time.Hour), Claim("k", "b", time.Hour), Send("k", "a", 0), Claim("j", "c", time.Hour),
			End("k", "a", idempotency.NeverRan), Claim("k", "d", time.Hour), Send("k", "a", 1), End("none", "x", idempotency.NeverRan))
		want := []idempotency.Result{idempotency.Granted, idempotency.Busy, idempotency.Granted, idempotency.Granted, idempotency.Granted, idempotency.Granted, idempotency.Fenced, idempotency.Granted}
		if !reflect.DeepEqual(got, want) {
			t.Errorf("got %v, want %v", got, want)
		}
	})
	t.Run("dead owners", func(t *testing.T) {
		b := open(t)
		Expect(t, b, Claim("sent", "a", -time.Second), idempotency.Granted)
		op := Send("sent", "a", 0)
		op.Lease = -time.Second
		Expect(t, b, op, idempotency.Granted)
		Expect(t, b, Claim("unsent", "b", -time.Second), idempotency.Granted)
		Expect(t, b, Claim("sent", "c", time.Hour), idempotency.Unsettled)
		Expect(t, b, Claim("unsent", "d", time.Hour), idempotency.Granted)
		Expect(t, b, Send("unsent", "b", 0), idempotency.Fenced) // it wakes up too late
		Expect(t, b, Send("sent", "a", 1), idempotency.Fenced)
		Expect(t, b, End("sent", "a", idempotency.Answered), idempotency.Granted) // but its word still counts
		Expect(t, b, Claim("sent", "e", time.Hour), idempotency.AlreadyAnswered)
	})
	t.Run("settled by hand", func(t *testing.T) {
		b := open(t)
		for _, key := range []string{"ran", "not", "flying"} {
			Apply(t, b, Claim(key, key, time.Hour), Send(key, key, 0))
		}
		Apply(t, b, End("ran", "ran", idempotency.MayHaveRun), End("not", "not", idempotency.MayHaveRun))
		settle := func(key string, to idempotency.State) *idempotency.Op {
			return &idempotency.Op{Kind: idempotency.Settle, Class: "activate", Key: key, Outcome: to, SettledBy: "sari", Note: "asked the network"}
		}
		Expect(t, b, settle("ran", idempotency.Answered), idempotency.Granted)
		Expect(t, b, settle("ran", idempotency.NeverRan), idempotency.Fenced)
		Expect(t, b, settle("not", idempotency.NeverRan), idempotency.Granted)
		Expect(t, b, settle("flying", idempotency.NeverRan), idempotency.Fenced)
		Expect(t, b, settle("nobody's", idempotency.NeverRan), idempotency.Fenced)
		op := Claim("ran", "x", time.Hour)
		Expect(t, b, op, idempotency.AlreadyAnswered)
		if op.Entry.SettledBy != "sari" || op.Entry.Note != "asked the network" {
			t.Errorf("%+v", op.Entry)
		}
		Expect(t, b, Claim("not", "y", time.Hour), idempotency.Granted)
	})
	t.Run("lists", func(t *testing.T) {
		b := open(t)
		for n := range 25 {
			key := fmt.Sprintf("k%02d'\"", n)
			Apply(t, b, Claim(key, key, time.Hour), Send(key, key, 0), End(key, key, []idempotency.State{idempotency.Answered, idempotency.MayHaveRun}[n%2]))
		}
		var got []string
		f := idempotency.Filter{State: idempotency.MayHaveRun, Limit: 5}
		for {
			rows, err := b.List(ctx(t), f)
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
		if rows, err := b.List(ctx(t), idempotency.Filter{Class: "other", Limit: 5}); err != nil || len(rows) > 0 {
			t.Error(rows, err)
		}
		st, err := b.Stats(ctx(t))
		if err != nil || st.Rows[idempotency.Answered] != 13 || st.Rows[idempotency.MayHaveRun] != 12 || st.Bytes <= 0 {
			t.Errorf("%+v %v", st, err)
		}
	})
	t.Run("sweep", func(t *testing.T) {
		b := open(t)
		for n := range 10 {
			key := fmt.Sprint("a", n)
			Apply(t, b, Claim(key, key, time.Hour), Send(key, key, 0), End(key, key, idempotency.Answered))
		}
		dead := Claim("dead", "d", -time.Second)
		sent := Send("dead", "d", 0)
		sent.Lease = -time.Second
		Apply(t, b, dead, sent, Claim("unsent", "u", -time.Second), Claim("alive", "l", time.Hour))
		n, err := b.Sweep(ctx(t), Retention, 100)
		if err != nil || n != 2 {
			t.Fatal(n, err)
		}
		for key, want := range map[string]idempotency.State{"dead": idempotency.MayHaveRun, "unsent": idempotency.NeverRan, "alive": idempotency.InFlight, "a3": idempotency.Answered} {
			if row, err := b.Get(ctx(t), "activate", key); err != nil || row.State != want {
				t.Errorf("%s: %q %v, want %q", key, row.State, err, want)
			}
		}
		time.Sleep(2 * time.Millisecond)
		short := idempotency.Retention{Answered: time.Millisecond, NeverRan: time.Hour, Unsettled: time.Hour}
		total := 0
		for n := 4; n == 4; total += n {
			if n, err = b.Sweep(ctx(t), short, 4); err != nil || n > 4 {
				t.Fatal(n, err)
			}
		}
		if st, _ := b.Stats(ctx(t)); total != 10 || st.Rows[idempotency.Answered] != 0 || st.Rows[idempotency.InFlight] != 1 {
			t.Errorf("%d swept; left %+v", total, st)
		}
	})
	t.Run("gaps", func(t *testing.T) {
		b := open(t)
		g := idempotency.Gap{Owner: "o", Class: "id-register", From: 5, Until: 9, Requests: 3, Cause: "away"}
		if err := b.Gap(ctx(t), g); err != nil {
			t.Fatal(err)
		}
		if got, err := b.Gaps(ctx(t), 10); err != nil || !reflect.DeepEqual(got, []idempotency.Gap{g}) {
			t.Error(got, err)
		}
	})
	t.Run("one of many gets a key", func(t *testing.T) {
		b := open(t)
		var wg sync.WaitGroup
		var mu sync.Mutex
		got := make(map[idempotency.Result]int)
		for n := range 24 {
			wg.Go(func() {
				ops := []*idempotency.Op{Claim("k", fmt.Sprint(n), time.Hour), Claim(fmt.Sprint("own", n), fmt.Sprint(n), time.Hour)}
				err := b.Apply(ctx(t), ops)
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
	})
	t.Run("compact and ping", func(t *testing.T) {
		b := open(t)
		if err := errors.Join(b.Ping(ctx(t)), b.Compact(ctx(t)), b.Ping(ctx(t))); err != nil {
			t.Error(err)
		}
	})
}
