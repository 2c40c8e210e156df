package martendrum

import (
	"testing"
	"time"
)

// Where all servers fail, only maxEjectedFraction of them are ejected.
func TestEjectionIsCapped(t *testing.T) {
	b, _ := newTest(t, testConfig(), servingEndpoints(10)...)
	b.endpoints.refresh(0)
	for _, s := range b.endpoints.members {
		for range 3 {
			b.endpoints.recordFailure(s, 0)
		}
	}
	if len(b.endpoints.ejected) != 4 {
		t.Errorf("%d of 10 ejected, want 4", len(b.endpoints.ejected))
	}
	b.endpoints.refresh(time.Minute)
	if len(b.endpoints.ejected) != 0 {
		t.Errorf("%d still ejected after a minute", len(b.endpoints.ejected))
	}
}

// A server that answers nothing while requests reach their latency objective is ejected; one
// that answers others meanwhile is not.
func TestSilentServerIsEjected(t *testing.T) {
	for _, answers := range []bool{false, true} {
		b, r := newTest(t, testConfig(), servingEndpoints(5)...)
		b.disableHedging()
		for id := RequestID(1); id <= 20; id++ {
			b.Arrive(ms, Request{ID: id, Class: 2, Deadline: 300 * ms})
		}
		if answers {
			for n, s := range b.endpoints.members { // each answers one more
				id := RequestID(100 + n)
				b.Arrive(50*ms, Request{ID: id, Class: 2, Deadline: 300 * ms})
				b.requests[id].attempts[0].server.inFlight--
				b.requests[id].attempts[0].server = s
				s.inFlight++
				b.AttemptFinished(60*ms, id, 0, Rejected, true, LoadReport{})
			}
		}
		for _, cookie := range r.timers[:20] {
			b.admission.shedLevel = 0
			b.TimerFired(100*ms, cookie)
		}
		if out := len(b.endpoints.ejected); (out == 0) != answers {
			t.Errorf("answers others: %v, %d ejected", answers, out)
		}
	}
}

// Connections that break at random, with answers between, eject no server, and their requests
// are retried past the retry budget; a server whose connections all break is ejected.
func TestRandomResetsEjectNoServer(t *testing.T) {
	for _, dead := range []bool{false, true} {
		b, r := newTest(t, testConfig(), servingEndpoints(5)...)
		b.disableHedging()
		b.retryTokens = 0
		now, step := time.Second, ms/4 // the test ends before any server can seem silent
		if dead {
			step = ms
		}
		for _, s := range b.endpoints.members {
			s.answeredAt = now
		}
		for id := RequestID(1); id <= 300; id++ {
			now += step
			sends := len(r.servers)
			b.Arrive(now, Request{ID: id, Deadline: now + 300*ms})
			for n, s := range r.servers[sends:] {
				if o := Reset; id%9 < 3 && !dead || dead && s == "s001" {
					b.AttemptFinished(now, id, n, o, false, LoadReport{})
					if got := len(r.servers) - sends; got != 2 {
						t.Fatalf("%d sends of a request whose connection broke, want 2", got)
					}
					b.AttemptFinished(now, id, n+1, OK, true, LoadReport{})
				} else {
					b.AttemptFinished(now, id, n, OK, true, LoadReport{})
				}
			}
			b.retryTokens = 0
		}
		if out := len(b.endpoints.ejected); (out > 0) != dead {
			t.Errorf("dead %v: %d servers ejected", dead, out)
		}
	}
}

// A server that fails one class, and fast, gains no weight by its speed, is avoided for that
// class and serves the others. Where all servers fail the class, its requests are still sent.
func TestServerThatFailsOneClass(t *testing.T) {
	b, r := newTest(t, testConfig(), servingEndpoints(5)...)
	b.disableHedging()
	bad, asked := b.endpoints.byName["s001"], [2]int{}
	for id := RequestID(1); id <= 1000; id++ {
		now, class := time.Second+time.Duration(id)*ms, int(id%2)*2
		b.Arrive(now, Request{ID: id, Class: class, Deadline: now + 300*ms})
		o := OK
		if r.servers[len(r.servers)-1] == bad.name {
			if asked[class/2]++; class == 2 {
				o = ServerError
			}
		}
		b.AttemptFinished(now, id, 0, o, true, LoadReport{})
	}
	if asked[1] > 5 || asked[0] < 20 || bad.weightCorrection > 1.5 || bad.ejectedUntil > 0 {
		t.Errorf("sends %v, weight %v, ejected until %v", asked, bad.weightCorrection, bad.ejectedUntil)
	}
	for _, s := range b.endpoints.members {
		s.errorRates = map[int]tokenBucket{0: {1, 3 * time.Second}, 1: {1, 3 * time.Second}, 2: {1, 3 * time.Second}}
	}
	sends := len(r.servers)
	b.Arrive(3*time.Second, Request{ID: 2000, Class: 2, Deadline: 4 * time.Second})
	if len(r.servers) != sends+1 {
		t.Error("a request was not sent where all servers fail its class")
	}
}
