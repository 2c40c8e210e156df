package martendrum

import (
	"testing"
	"time"
)

// If all servers fail, only maxEjectedFraction of them are ejected.
func TestEjectionIsCapped(t *testing.T) {
	b, _ := newTestBalancer(t, testConfig(), servingEndpoints(10)...)
	b.endpoints.refresh(0)
	for _, s := range b.endpoints.members {
		for range 3 {
			b.endpoints.recordFailure(s, 0)
		}
	}
	if len(b.endpoints.ejected) != 4 {
		t.Errorf("%d of 10 servers ejected, want 4", len(b.endpoints.ejected))
	}
	b.endpoints.refresh(time.Minute)
	if len(b.endpoints.ejected) != 0 {
		t.Errorf("%d servers still ejected after a minute, want 0", len(b.endpoints.ejected))
	}
}

// A server is ejected if it answers nothing while its requests reach their latency objective. It is
// not ejected if it answers other requests in that time.
func TestSilentServerIsEjected(t *testing.T) {
	for _, answersOthers := range []bool{false, true} {
		b, host := newTestBalancer(t, testConfig(), servingEndpoints(5)...)
		b.disableHedging()
		for id := RequestID(1); id <= 20; id++ {
			b.Arrive(ms, Request{ID: id, Class: 2, Deadline: 300 * ms})
		}
		if answersOthers {
			for n, s := range b.endpoints.members { // each server answers one more request
				id := RequestID(100 + n)
				b.Arrive(50*ms, Request{ID: id, Class: 2, Deadline: 300 * ms})
				b.requests[id].attempts[0].server.inFlight--
				b.requests[id].attempts[0].server = s
				s.inFlight++
				b.AttemptFinished(60*ms, id, 0, Rejected, true, LoadReport{})
			}
		}
		for _, cookie := range host.timers[:20] {
			b.admission.shedLevel = 0
			b.TimerFired(100*ms, cookie)
		}
		if ejected := len(b.endpoints.ejected); (ejected == 0) != answersOthers {
			t.Errorf("%d servers ejected, other requests answered = %v; want some only if none is answered", ejected, answersOthers)
		}
	}
}

// Connections that break at random, with answers between them, eject no server, and their requests are
// retried even with an empty retry budget. A server whose connections all break is ejected.
func TestRandomResetsEjectNoServer(t *testing.T) {
	for _, allBreak := range []bool{false, true} {
		b, host := newTestBalancer(t, testConfig(), servingEndpoints(5)...)
		b.disableHedging()
		b.retryTokens = 0
		now, step := time.Second, ms/4 // 300 such steps end within ejectionGrace of answeredAt, when no server can be ejected
		if allBreak {
			step = ms
		}
		for _, s := range b.endpoints.members {
			s.answeredAt = now
		}
		for id := RequestID(1); id <= 300; id++ {
			now += step
			sends := len(host.servers)
			b.Arrive(now, Request{ID: id, Deadline: now + 300*ms})
			for n, s := range host.servers[sends:] {
				if outcome := Reset; id%9 < 3 && !allBreak || allBreak && s == "s001" {
					b.AttemptFinished(now, id, n, outcome, false, LoadReport{})
					if sent := len(host.servers) - sends; sent != 2 {
						t.Fatalf("request %d with a broken connection was sent %d times in all, want 2", id, sent)
					}
					b.AttemptFinished(now, id, n+1, OK, true, LoadReport{})
				} else {
					b.AttemptFinished(now, id, n, OK, true, LoadReport{})
				}
			}
			b.retryTokens = 0
		}
		if ejected := len(b.endpoints.ejected); (ejected > 0) != allBreak {
			t.Errorf("%d servers ejected, all connections of s001 broken = %v; want some only if they all break", ejected, allBreak)
		}
	}
}

// A server that fails one class with fast errors gains no weight by its speed. It is avoided for that
// class and still gets requests of the others. If all servers fail the class, its requests are sent
// anyway.
func TestServerThatFailsOneClass(t *testing.T) {
	b, host := newTestBalancer(t, testConfig(), servingEndpoints(5)...)
	b.disableHedging()
	failing, sendsByClass := b.endpoints.byName["s001"], [2]int{}
	for id := RequestID(1); id <= 1000; id++ {
		now, class := time.Second+time.Duration(id)*ms, int(id%2)*2
		b.Arrive(now, Request{ID: id, Class: class, Deadline: now + 300*ms})
		outcome := OK
		if host.servers[len(host.servers)-1] == failing.name {
			if sendsByClass[class/2]++; class == 2 {
				outcome = ServerError
			}
		}
		b.AttemptFinished(now, id, 0, outcome, true, LoadReport{})
	}
	if sendsByClass[1] > 5 || sendsByClass[0] < 20 || failing.weightCorrection > 1.5 || failing.ejectedUntil > 0 {
		t.Errorf("sends to the failing server by class = %v, weight correction %v, ejected until %v; want at least 20 of class 0, at most 5 of class 2, a correction of at most 1.5 and no ejection", sendsByClass, failing.weightCorrection, failing.ejectedUntil)
	}
	for _, s := range b.endpoints.members {
		s.errorRates = map[int]tokenBucket{0: {1, 3 * time.Second}, 1: {1, 3 * time.Second}, 2: {1, 3 * time.Second}}
	}
	sends := len(host.servers)
	b.Arrive(3*time.Second, Request{ID: 2000, Class: 2, Deadline: 4 * time.Second})
	if len(host.servers) != sends+1 {
		t.Errorf("%d sends of a request whose class all servers fail, want 1", len(host.servers)-sends)
	}
}
