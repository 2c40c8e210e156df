package idempotency

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestNoKeyRunsTwice applies random events to a model with sidecars that claim keys, send
// attempts, stall, crash and restart, servers that run what they receive, operators who
// settle keys correctly, and a clock that jumps. A key's request must not run twice, and
// the entry of a key whose request ran must not have the state NeverRan.
func TestNoKeyRunsTwice(t *testing.T) {
	for range 20 { // a violation needs several steps in a certain order, and one rapid.Check does few runs
		rapid.Check(t, noKeyRunsTwice)
	}
}

// modelClaim is a claim that was granted to a sidecar of the model.
type modelClaim struct {
	token   string
	key     int
	granted int  // attempts that the store allowed to be sent
	unsent  int  // granted attempts of which no byte was sent yet
	ran     bool // one of the attempts ran
	ended   bool // the claim's owner sends no further attempt
}

// op returns an op of the claim.
func (c *modelClaim) op(kind OpKind) *Op {
	return &Op{Kind: kind, Class: "c", Key: fmt.Sprint(c.key), Token: c.token, Owner: "o", Fingerprint: []byte{1}, Lease: time.Second}
}

// model has the entries of two keys and what happened to their requests.
type model struct {
	entries [2]Entry
	runs    [2]int // how often a request with the key ran
	claims  []*modelClaim
	now     int64 // the store's time, in microseconds
}

// noKeyRunsTwice applies random events to a new model and checks it after each.
func noKeyRunsTwice(t *rapid.T) {
	m := &model{now: 1_000_000}
	t.Repeat(map[string]func(*rapid.T){
		"claim":  m.claim,
		"send":   m.send,
		"run":    m.runAttempt,
		"end":    m.end,
		"die":    m.die,
		"settle": m.settle,
		"time":   m.advance,
		"jump":   m.jump,
		"":       m.check,
	})
}

func (m *model) apply(key int, op *Op) { Apply(&m.entries[key], m.now, op) }

// pickClaim returns a random claim.
func (m *model) pickClaim(t *rapid.T) *modelClaim {
	if len(m.claims) == 0 {
		t.Skip("no claim was granted yet")
	}
	return m.claims[rapid.IntRange(0, len(m.claims)-1).Draw(t, "claim")]
}

// claim asks for a key with a new token.
func (m *model) claim(t *rapid.T) {
	c := &modelClaim{token: fmt.Sprint(len(m.claims)), key: rapid.IntRange(0, 1).Draw(t, "key")}
	op := c.op(Claim)
	m.apply(c.key, op)
	if op.Result == Granted {
		m.claims = append(m.claims, c)
	}
}

// send asks for the permission to send the next attempt of a claim. If the sidecar does not
// receive the store's reply, it does not send the attempt.
func (m *model) send(t *rapid.T) {
	c := m.pickClaim(t)
	if c.ended {
		t.Skip("the claim has ended")
	}
	op := c.op(Send)
	op.Attempt, op.Server = c.granted, "s"
	m.apply(c.key, op)
	if op.Result == Granted && rapid.IntRange(0, 3).Draw(t, "reply is received") > 0 {
		c.granted++
		c.unsent++
	}
}

// runAttempt sends an attempt that was granted and runs it at the server. That may happen
// at any later time, as the sidecar may have stalled. The decision module retries a
// non-idempotent request only if the earlier attempts are known not to have run, so that at
// most one attempt of a claim runs.
func (m *model) runAttempt(t *rapid.T) {
	c := m.pickClaim(t)
	if c.unsent == 0 || c.ran {
		t.Skip("no attempt can run")
	}
	c.unsent--
	c.ran = true
	if m.runs[c.key]++; m.runs[c.key] > 1 {
		t.Fatalf("the request of key %d ran %d times, want at most once", c.key, m.runs[c.key])
	}
}

// end reports an outcome of a claim that its owner can know.
func (m *model) end(t *rapid.T) {
	c := m.pickClaim(t)
	op := c.op(End)
	switch {
	case c.ran:
		op.Outcome = rapid.SampledFrom([]State{Answered, MayHaveRun}).Draw(t, "outcome")
	case c.unsent > 0: // the attempt is cancelled before a byte is sent, or its outcome is unknown
		if rapid.Bool().Draw(t, "cancelled") {
			c.unsent, op.Outcome = 0, NeverRan
		} else {
			op.Outcome = MayHaveRun
		}
	default:
		op.Outcome = NeverRan
	}
	if c.ended = op.Outcome != MayHaveRun || c.ended; c.ended {
		c.unsent = 0
	}
	m.apply(c.key, op)
}

// die crashes the owner of a claim before it sends the granted attempts. The entry lapses
// when its lease is over.
func (m *model) die(t *rapid.T) {
	c := m.pickClaim(t)
	c.unsent, c.ended = 0, true
}

// settle sets the true outcome of a key by hand.
func (m *model) settle(t *rapid.T) {
	key := rapid.IntRange(0, 1).Draw(t, "key")
	op := &Op{Kind: Settle, Class: "c", Key: fmt.Sprint(key), Outcome: NeverRan, SettledBy: "sari"}
	if m.runs[key] > 0 {
		op.Outcome = Answered
	} else if slices.ContainsFunc(m.claims, func(c *modelClaim) bool { return c.key == key && c.unsent > 0 }) {
		t.Skip("an operator settles a key only when its sidecar has certainly ended")
	}
	m.apply(key, op)
}

// advance lets up to 1.4 s pass; a lease lasts one second.
func (m *model) advance(t *rapid.T) {
	m.now += rapid.Int64Range(0, 2).Draw(t, "s")*700_000 + rapid.Int64Range(0, 1000).Draw(t, "µs")
}

// jump sets the store's clock forward or back by up to 1e12 µs, which is 11.6 days.
func (m *model) jump(t *rapid.T) {
	if rapid.IntRange(0, 9).Draw(t, "jump if 0") > 0 {
		t.Skip("the clock jumps in one of ten such steps")
	}
	m.now += rapid.Int64Range(-1e12, 1e12).Draw(t, "µs")
}

// check fails if the request of a key ran and its entry has the state NeverRan.
func (m *model) check(t *rapid.T) {
	for key := range m.entries {
		if m.runs[key] > 0 && m.entries[key].State == NeverRan {
			t.Fatalf("the request of key %d ran, but its entry has the state NeverRan: %+v", key, m.entries[key])
		}
	}
}

// TestOpsAreIdempotent checks that an op that is applied twice has the same effect and
// result as one applied once. A store relies on that when it repeats a transaction that may
// have been committed.
func TestOpsAreIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var entry Entry
		claims := 0
		for range rapid.IntRange(1, 12).Draw(t, "ops") {
			if rapid.Bool().Draw(t, "a new claim") {
				claims++
			}
			op := Op{Kind: OpKind(rapid.IntRange(0, 3).Draw(t, "kind")), Class: "c", Key: "k", Token: fmt.Sprint(claims), Owner: "o", Fingerprint: []byte{1},
				Lease: time.Duration(rapid.IntRange(1, 5).Draw(t, "lease")) * time.Second, Attempt: rapid.IntRange(0, 3).Draw(t, "attempt"), Server: "s",
				Outcome: rapid.SampledFrom(States[1:]).Draw(t, "outcome"), Status: 200, Answer: []byte("a")}
			Apply(&entry, 5, &op)
			once, again := entry, op
			again.Result = NotApplied
			Apply(&entry, 6, &again)
			if op.Kind == Settle { // its result says whether it settled the key, so that the second one is Fenced
				continue
			}
			if op.Result != again.Result || entry.Version != once.Version || entry.State != once.State || entry.Attempts != once.Attempts {
				t.Fatalf("%+v: applied once: result %v, entry %+v; applied twice: result %v, entry %+v; want them equal", op, op.Result, once, again.Result, entry)
			}
		}
	})
}

// TestKeyRules checks which key each rule finds in a request, and which rules and requests
// are errors.
func TestKeyRules(t *testing.T) {
	head := []byte("POST /activate/1?x=2 HTTP/1.1\r\nHost: a\r\nIdempotency-KEY:  k 1 \r\nTwice: 1\r\nTwice: 1\r\nReq-Id: r7\r\n")
	body := []byte(`{"sim":{"iccid":"8962","n":17,"list":["a",{"x":"y"}],"no":null,"a/b":"slash","obj":{}}}`)
	for _, c := range []struct{ rule, want, err string }{
		{"header:Idempotency-Key", "k 1", ""},
		{"header:Twice", "", "twice"},
		{"header:None", "", "empty or missing"},
		{"request-id", "r7", ""},
		{"json:/sim/iccid", "8962", ""},
		{"json:/sim/n", "17", ""},
		{"json:/sim/list/1/x", "y", ""},
		{"json:/sim/a~1b", "slash", ""},
		{"json:/sim/list/9", "", "missing"},
		{"json:/sim/no", "", "missing"},
		{"json:/sim/iccid/deeper", "", "missing"},
		{"json:/sim/obj", "", "neither"},
		{"header:", "", "not a key rule"}, {"json:sim", "", "not a key rule"}, {"body", "", "not a key rule"}, {"header:a b", "", "not a key rule"},
	} {
		rule, err := ParseKeyRule(c.rule)
		got := ""
		if err == nil {
			got, err = rule.Key(head, body)
			if rule.String() != c.rule {
				t.Errorf("ParseKeyRule(%q).String() = %q, want the parsed text", c.rule, rule)
			}
		}
		if got != c.want || (err == nil) != (c.err == "") || err != nil && !strings.Contains(err.Error(), c.err) {
			t.Errorf("rule %q: got key %q, error %v; want key %q, error containing %q", c.rule, got, err, c.want, c.err)
		}
	}
	rule, _ := ParseKeyRule("json:/k")
	for body, want := range map[string]string{`{"k":`: "no JSON", `{"k":"a"} {}`: "more than one", `{"k":"` + strings.Repeat("x", 300) + `"}`: "at most", `{"k":"a\u0000"}`: "UTF-8"} {
		if _, err := rule.Key(nil, []byte(body)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("key of the body %.20q: got error %v, want one containing %q", body, err, want)
		}
	}
}

// FuzzKey checks that no rule returns a key that is empty, too long or contains NUL.
func FuzzKey(f *testing.F) {
	f.Add("json:/a/0", []byte("POST / HTTP/1.1\r\nA: b\r\n"), []byte(`{"a":["k"]}`))
	f.Add("header:A", []byte("POST / HTTP/1.1\r\nA: b\r\n"), []byte{})
	f.Fuzz(func(t *testing.T, text string, head, body []byte) {
		rule, err := ParseKeyRule(text)
		if err != nil {
			return
		}
		if key, err := rule.Key(head, body); err == nil && (key == "" || len(key) > maxKeyBytes || strings.ContainsRune(key, 0)) {
			t.Errorf("rule %q returned the key %q, want 1 to %d bytes without NUL", text, key, maxKeyBytes)
		}
	})
}

// TestFingerprint checks that the fingerprint depends on the request line, the tenant and
// the body, but not on the header fields.
func TestFingerprint(t *testing.T) {
	original := Fingerprint([]byte("POST /a HTTP/1.1\r\nReq-Id: 1\r\n"), "t", []byte("b"))
	for same, fingerprints := range map[bool][][]byte{
		true: {Fingerprint([]byte("POST /a HTTP/1.1\r\nReq-Id: 2\r\n"), "t", []byte("b"))},
		false: {Fingerprint([]byte("POST /b HTTP/1.1\r\n"), "t", []byte("b")), Fingerprint([]byte("POST /a HTTP/1.1\r\n"), "u", []byte("b")),
			Fingerprint([]byte("POST /a HTTP/1.1\r\n"), "t", []byte("c")), Fingerprint([]byte("POST /a HTTP/1.1\r\n"), "tb", nil)},
	} {
		for n, fingerprint := range fingerprints {
			if bytes.Equal(fingerprint, original) != same {
				t.Errorf("request %d: fingerprint equal to that of the original request = %v, want %v", n, !same, same)
			}
		}
	}
}

// TestClock checks the time of a clock after a restart, also if the wall clock was set.
func TestClock(t *testing.T) {
	retention := Retention{Answered: 4 * time.Hour, Unsettled: 40 * time.Hour}
	wall := time.Now()
	micros := func(d time.Duration) int64 { return d.Microseconds() }
	saved := wall.UnixMicro()
	for name, c := range map[string]struct {
		saved int64         // 0: no clock was stored
		at    time.Duration // when the clock is read, as an offset from wall
		want  int64         // microseconds after saved, or after wall where saved is 0
	}{
		"a new store":                {0, time.Minute, micros(time.Minute)},
		"a short stop":               {saved - micros(time.Minute), time.Second, micros(time.Minute + time.Second)},
		"a clock set forward":        {saved - micros(365*24*time.Hour), time.Second, micros(time.Hour + time.Second)},
		"a clock set back":           {saved + micros(24*time.Hour), time.Second, micros(time.Second)},
		"a reading before the start": {saved, -time.Hour, 0},
	} {
		from := c.saved
		if from == 0 {
			from = saved
		}
		if got := NewClock(c.saved, wall, retention).Time(wall.Add(c.at)) - from; got != c.want {
			t.Errorf("%s: the clock advanced by %d µs, want %d µs", name, got, c.want)
		}
	}
}

// TestBreaker checks that the breaker opens at the failure threshold, allows one probe after
// each backoff, doubles the backoff up to its maximum, and closes after a success.
func TestBreaker(t *testing.T) {
	b := NewBreaker(3, 100*time.Millisecond, 400*time.Millisecond)
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	for n := range 3 {
		if !b.Allow(ms(n)) || b.State() != "closed" {
			t.Fatalf("after %d of 3 failures: State() = %q or a call is not allowed, want \"closed\" and an allowed call", n, b.State())
		}
		b.Failed(ms(n), "slow", 0)
	}
	if open, until, cause := b.Open(); !open || until != ms(102) || cause != "slow" || b.State() != "open" {
		t.Errorf("after 3 failures: Open() = %v, %v, %q, State() = %q; want true, %v, \"slow\", \"open\"", open, until, cause, b.State(), ms(102))
	}
	probeAt, backoff := ms(102), 100
	for _, want := range []int{200, 400, 400} {
		if b.Allow(probeAt - 1) {
			t.Errorf("Allow(%v) = true before the backoff is over, want false", probeAt-1)
		}
		if !b.Allow(probeAt) || b.Allow(probeAt) || b.State() != "half-open" {
			t.Errorf("at %v: want one allowed probe and the state \"half-open\"; the state is %q", probeAt, b.State())
		}
		b.Failed(probeAt, "slow", 0.5)
		backoff = want
		probeAt += ms(backoff) + ms(backoff)/4
	}
	if !b.Allow(probeAt) {
		t.Errorf("Allow(%v) = false after the backoff, want true", probeAt)
	}
	b.Succeeded()
	if b.State() != "closed" || !b.Allow(0) {
		t.Errorf("after a success: State() = %q or a call is not allowed, want \"closed\" and an allowed call", b.State())
	}
}
