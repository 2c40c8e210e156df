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

// TestNoKeyRunsTwice runs random sidecars that claim, send, stall, die and restart, servers
// that run what they receive, staff that settles truthfully, and a clock that jumps. No
// key's request may run twice, and none that ran may be said to never have.
func TestNoKeyRunsTwice(t *testing.T) {
	for range 20 { // a fault takes several steps in order, and one check has few runs
		rapid.Check(t, noKeyRunsTwice)
	}
}

// modelClaim is a claim that a sidecar of the model was granted.
type modelClaim struct {
	token  string
	key    int
	sends  int  // granted
	unsent int  // of them, those of which no byte was sent yet
	ran    bool // one of them ran
	over   bool
}

func (c *modelClaim) op(kind OpKind) *Op {
	return &Op{Kind: kind, Class: "c", Key: fmt.Sprint(c.key), Token: c.token, Owner: "o", Fingerprint: []byte{1}, Lease: time.Second}
}

// model is two keys' entries and what really happened.
type model struct {
	entries [2]Entry
	runs    [2]int
	claims  []*modelClaim
	now     int64
}

func noKeyRunsTwice(t *rapid.T) {
	m := &model{now: 1_000_000}
	t.Repeat(map[string]func(*rapid.T){
		"claim":  m.claim,
		"send":   m.send,
		"run":    m.run,
		"end":    m.end,
		"die":    m.die,
		"settle": m.settle,
		"time":   m.advance,
		"jump":   m.jump,
		"":       m.check,
	})
}

func (m *model) apply(key int, op *Op) { Apply(&m.entries[key], m.now, op) }

func (m *model) pick(t *rapid.T) *modelClaim {
	if len(m.claims) == 0 {
		t.Skip("no claim")
	}
	return m.claims[rapid.IntRange(0, len(m.claims)-1).Draw(t, "claim")]
}

func (m *model) claim(t *rapid.T) {
	c := &modelClaim{token: fmt.Sprint(len(m.claims)), key: rapid.IntRange(0, 1).Draw(t, "key")}
	op := c.op(Claim)
	m.apply(c.key, op)
	if op.Result == Granted {
		m.claims = append(m.claims, c)
	}
}

func (m *model) send(t *rapid.T) {
	c := m.pick(t)
	if c.over {
		t.Skip("over")
	}
	op := c.op(Send)
	op.Attempt, op.Server = c.sends, "s"
	m.apply(c.key, op)
	if op.Result == Granted && rapid.IntRange(0, 3).Draw(t, "heard of") > 0 {
		c.sends++
		c.unsent++
	}
}

// run sends an attempt's bytes, however late: the sidecar may have stalled since. The
// decision module retries a non-idempotent request only when those attempts before are known
// not to have run, so that at most one of a claim's attempts runs.
func (m *model) run(t *rapid.T) {
	c := m.pick(t)
	if c.unsent == 0 || c.ran {
		t.Skip("nothing to run")
	}
	c.unsent--
	c.ran = true
	if m.runs[c.key]++; m.runs[c.key] > 1 {
		t.Fatalf("key %d ran %d times", c.key, m.runs[c.key])
	}
}

func (m *model) end(t *rapid.T) {
	c := m.pick(t)
	op := c.op(End)
	switch {
	case c.ran:
		op.Outcome = rapid.SampledFrom([]State{Answered, MayHaveRun}).Draw(t, "to")
	case c.unsent > 0: // cancelled before a byte was sent, or unknown
		if rapid.Bool().Draw(t, "called off") {
			c.unsent, op.Outcome = 0, NeverRan
		} else {
			op.Outcome = MayHaveRun
		}
	default:
		op.Outcome = NeverRan
	}
	if c.over = op.Outcome != MayHaveRun || c.over; c.over {
		c.unsent = 0
	}
	m.apply(c.key, op)
}

// die ends a claim's owner with its bytes unsent; the entry lapses later.
func (m *model) die(t *rapid.T) {
	c := m.pick(t)
	c.unsent, c.over = 0, true
}

func (m *model) settle(t *rapid.T) {
	key := rapid.IntRange(0, 1).Draw(t, "key")
	op := &Op{Kind: Settle, Class: "c", Key: fmt.Sprint(key), Outcome: NeverRan, SettledBy: "sari"}
	if m.runs[key] > 0 {
		op.Outcome = Answered
	} else if slices.ContainsFunc(m.claims, func(c *modelClaim) bool { return c.key == key && c.unsent > 0 }) {
		t.Skip("staff waits until the sidecar is known to have ended")
	}
	m.apply(key, op)
}

func (m *model) advance(t *rapid.T) {
	m.now += rapid.Int64Range(0, 2).Draw(t, "s")*700_000 + rapid.Int64Range(0, 1000).Draw(t, "µs")
}

func (m *model) jump(t *rapid.T) {
	if rapid.IntRange(0, 9).Draw(t, "rarely") > 0 {
		t.Skip("not now")
	}
	m.now += rapid.Int64Range(-1e12, 1e12).Draw(t, "µs")
}

// check checks that no key ran whose entry says that it never did.
func (m *model) check(t *rapid.T) {
	for key := range m.entries {
		if m.runs[key] > 0 && m.entries[key].State == NeverRan {
			t.Fatalf("key %d ran and is said not to have: %+v", key, m.entries[key])
		}
	}
}

// TestOpsAreIdempotent checks that an op that is applied again has no further effect, which
// resolves a commit of unknown outcome.
func TestOpsAreIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var row Entry
		n := 0
		for range rapid.IntRange(1, 12).Draw(t, "ops") {
			if rapid.Bool().Draw(t, "a new claim") {
				n++
			}
			o := Op{Kind: OpKind(rapid.IntRange(0, 3).Draw(t, "kind")), Class: "c", Key: "k", Token: fmt.Sprint(n), Owner: "o", Fingerprint: []byte{1},
				Lease: time.Duration(rapid.IntRange(1, 5).Draw(t, "lease")) * time.Second, Attempt: rapid.IntRange(0, 3).Draw(t, "attempt"), Server: "s",
				Outcome: rapid.SampledFrom(States[1:]).Draw(t, "to"), Status: 200, Answer: []byte("a")}
			Apply(&row, 5, &o)
			once, again := row, o
			again.Result = NotApplied
			Apply(&row, 6, &again)
			if o.Kind == Settle { // a settlement says by its result whether it was the one
				continue
			}
			if o.Result != again.Result || row.Version != once.Version || row.State != once.State || row.Attempts != once.Attempts {
				t.Fatalf("%+v: %v, again %v; %+v, again %+v", o, o.Result, again.Result, once, row)
			}
		}
	})
}

func TestRules(t *testing.T) {
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
		{"header:", "", "no rule"}, {"json:sim", "", "no rule"}, {"body", "", "no rule"}, {"header:a b", "", "no rule"},
	} {
		r, err := ParseKeyRule(c.rule)
		got := ""
		if err == nil {
			got, err = r.Key(head, body)
			if r.String() != c.rule {
				t.Errorf("%s is written %s", c.rule, r)
			}
		}
		if got != c.want || (err == nil) != (c.err == "") || err != nil && !strings.Contains(err.Error(), c.err) {
			t.Errorf("%s: %q %v; want %q %q", c.rule, got, err, c.want, c.err)
		}
	}
	r, _ := ParseKeyRule("json:/k")
	for body, want := range map[string]string{`{"k":`: "no JSON", `{"k":"a"} {}`: "more than one", `{"k":"` + strings.Repeat("x", 300) + `"}`: "at most", `{"k":"a\u0000"}`: "UTF-8"} {
		if _, err := r.Key(nil, []byte(body)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%.20s: %v, want %q", body, err, want)
		}
	}
}

func FuzzKey(f *testing.F) {
	f.Add("json:/a/0", []byte("POST / HTTP/1.1\r\nA: b\r\n"), []byte(`{"a":["k"]}`))
	f.Add("header:A", []byte("POST / HTTP/1.1\r\nA: b\r\n"), []byte{})
	f.Fuzz(func(t *testing.T, rule string, head, body []byte) {
		r, err := ParseKeyRule(rule)
		if err != nil {
			return
		}
		if key, err := r.Key(head, body); err == nil && (key == "" || len(key) > maxKeyBytes || strings.ContainsRune(key, 0)) {
			t.Errorf("key %q", key)
		}
	})
}

func TestFingerprint(t *testing.T) {
	same := Fingerprint([]byte("POST /a HTTP/1.1\r\nReq-Id: 1\r\n"), "t", []byte("b"))
	for want, got := range map[bool][][]byte{
		true: {Fingerprint([]byte("POST /a HTTP/1.1\r\nReq-Id: 2\r\n"), "t", []byte("b"))},
		false: {Fingerprint([]byte("POST /b HTTP/1.1\r\n"), "t", []byte("b")), Fingerprint([]byte("POST /a HTTP/1.1\r\n"), "u", []byte("b")),
			Fingerprint([]byte("POST /a HTTP/1.1\r\n"), "t", []byte("c")), Fingerprint([]byte("POST /a HTTP/1.1\r\n"), "tb", nil)},
	} {
		for n, g := range got {
			if bytes.Equal(g, same) != want {
				t.Errorf("%v %d", want, n)
			}
		}
	}
}

func TestClock(t *testing.T) {
	keep := Retention{Answered: 4 * time.Hour, Unsettled: 40 * time.Hour}
	wall := time.Now()
	us := func(d time.Duration) int64 { return d.Microseconds() }
	saved := wall.UnixMicro()
	for name, c := range map[string]struct {
		saved int64
		at    time.Duration // after wall
		want  int64         // over saved
	}{
		"a new record":         {0, time.Minute, us(time.Minute)},
		"a short stop":         {saved - us(time.Minute), time.Second, us(time.Minute + time.Second)},
		"a clock set forward":  {saved - us(365*24*time.Hour), time.Second, us(time.Hour + time.Second)},
		"a clock set back":     {saved + us(24*time.Hour), time.Second, us(time.Second)},
		"a reading before now": {saved, -time.Hour, 0},
	} {
		from := c.saved
		if from == 0 {
			from = saved
		}
		if got := NewClock(c.saved, wall, keep).Time(wall.Add(c.at)) - from; got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

func TestBreaker(t *testing.T) {
	b := NewBreaker(3, 100*time.Millisecond, 400*time.Millisecond)
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	for n := range 3 {
		if !b.Allow(ms(n)) || b.State() != "closed" {
			t.Fatal(n, b.State())
		}
		b.Failed(ms(n), "slow", 0)
	}
	if open, until, cause := b.Open(); !open || until != ms(102) || cause != "slow" || b.State() != "open" {
		t.Error(open, until, cause)
	}
	at, pause := ms(102), 100
	for _, want := range []int{200, 400, 400} {
		if b.Allow(at - 1) {
			t.Error("asked too soon")
		}
		if !b.Allow(at) || b.Allow(at) || b.State() != "half-open" {
			t.Error("one try, no more, is due")
		}
		b.Failed(at, "slow", 0.5)
		pause = want
		at += ms(pause) + ms(pause)/4
	}
	if !b.Allow(at) {
		t.Error("no try")
	}
	b.Succeeded()
	if b.State() != "closed" || !b.Allow(0) {
		t.Error(b.State())
	}
}
