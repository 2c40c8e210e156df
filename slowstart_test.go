package martendrum

import (
	"fmt"
	"testing"
	"time"
)

// clockSkews are differences between a balancer's clock and the servers' clocks.
var clockSkews = []time.Duration{0, 3 * time.Second, -3 * time.Second, time.Hour, -time.Hour}

// A new start time on the list begins slow start, which ends after SlowStartDuration, whatever the
// difference of the clocks. By the clocks alone, a balancer whose clock is an hour ahead would skip the
// slow start of a new server, and one whose clock is an hour behind would extend it by an hour.
func TestNewStartIsInSlowStartWhateverTheClock(t *testing.T) {
	for _, skew := range clockSkews {
		t.Run(fmt.Sprint("clock off by ", skew), func(t *testing.T) {
			cfg := testConfig()
			list := servingEndpoints(4)
			host := &recorder{}
			b, err := New(cfg, 1, host)
			if err != nil {
				t.Fatal(err)
			}
			const serverTime = 100 * time.Hour
			balancerTime := serverTime + skew
			b.ServersListed(balancerTime, list)
			balancerTime += 10 * time.Second
			list[0].Started = serverTime + 9*time.Second // one second ago
			b.ServersChanged(balancerTime, list[:1])
			s := b.endpoints.byName[list[0].Name]
			trueFactor := cfg.SlowStartInitialFraction + (1-cfg.SlowStartInitialFraction)*1.0/cfg.SlowStartDuration.Seconds() // one second after its start
			if got := b.endpoints.slowStartFactor(s, balancerTime); got > trueFactor {
				t.Errorf("slow-start factor = %.2f one second after the start, want at most the true factor, %.2f", got, trueFactor)
			}
			if got := b.endpoints.slowStartFactor(s, balancerTime+cfg.SlowStartDuration); got < 1 {
				t.Errorf("slow-start factor = %.2f after SlowStartDuration, want 1", got)
			}
		})
	}
}

// Whatever the difference of the clocks, no slow-start factor of a server on the first list is
// overestimated if the newest start on the list has just happened. A server that started earlier than
// that by SlowStartDuration has the factor 1.
func TestFirstListNeverOverestimatesSlowStartFactor(t *testing.T) {
	for _, skew := range clockSkews {
		t.Run(fmt.Sprint("clock off by ", skew), func(t *testing.T) {
			cfg := testConfig()
			list := servingEndpoints(4)
			const serverTime = 100 * time.Hour
			ages := []time.Duration{0, cfg.SlowStartDuration / 2, 2 * cfg.SlowStartDuration}
			for n, age := range ages {
				list[n].Started = serverTime - age
			}
			host := &recorder{}
			b, err := New(cfg, 1, host)
			if err != nil {
				t.Fatal(err)
			}
			balancerTime := serverTime + skew
			b.ServersPreloaded(balancerTime, servingEndpoints(4)) // a list from before the starts
			b.ServersListed(balancerTime, list)
			for n, age := range ages {
				s := b.endpoints.byName[list[n].Name]
				trueFactor := min(1, cfg.SlowStartInitialFraction+(1-cfg.SlowStartInitialFraction)*age.Seconds()/cfg.SlowStartDuration.Seconds())
				got := b.endpoints.slowStartFactor(s, balancerTime)
				if got > trueFactor+1e-9 {
					t.Errorf("slow-start factor of a server of age %v = %.2f, want at most the true factor, %.2f", age, got, trueFactor)
				}
				if skew >= 0 && got < trueFactor-1e-9 {
					t.Errorf("slow-start factor of a server of age %v = %.2f with a clock that is not behind the servers', want at least the true factor, %.2f", age, got, trueFactor)
				}
				if got := b.endpoints.slowStartFactor(s, balancerTime+cfg.SlowStartDuration); got < 1 {
					t.Errorf("slow-start factor of a server of age %v = %.2f after another SlowStartDuration, want 1", age, got)
				}
			}
			if s := b.endpoints.byName[list[3].Name]; b.endpoints.slowStartFactor(s, balancerTime) < 1 {
				t.Errorf("slow-start factor of a server that started long ago = %v, want 1", b.endpoints.slowStartFactor(s, balancerTime))
			}
		})
	}
}

// A list that arrives again, as a complete list or as a change, does not restart slow start.
func TestRepeatedListIsNoStart(t *testing.T) {
	cfg := testConfig()
	list := servingEndpoints(2)
	b, _ := newTestBalancer(t, cfg, list...)
	list[0].Started = time.Hour
	b.ServersChanged(time.Hour, list[:1])
	b.ServersListed(time.Hour+cfg.SlowStartDuration/2, list)
	b.ServersChanged(time.Hour+cfg.SlowStartDuration/2, list)
	if s := b.endpoints.byName[list[0].Name]; b.endpoints.slowStartFactor(s, time.Hour+cfg.SlowStartDuration) < 1 {
		t.Errorf("slow-start factor of a server that was listed again with the same start time = %v after SlowStartDuration, want 1", b.endpoints.slowStartFactor(s, time.Hour+cfg.SlowStartDuration))
	}
}

// A restarted server gets at most slowStartSafetyFactor of its overload limit, which is estimated from
// the sends to servers at full capacity.
func TestSlowStartPacing(t *testing.T) {
	cfg := testConfig()
	cfg.Classes = cfg.Classes[2:] // no hedges
	list := servingEndpoints(4)
	b, host := newTestBalancer(t, cfg, list...)
	now, slowStartSends := 100*time.Second, 0
	list[0].Started = now
	b.ServersChanged(now, list[:1])
	for id := RequestID(1); id <= 400; id++ {
		now += 5 * ms
		b.Arrive(now, Request{ID: id, Deadline: now + 300*ms})
		if host.servers[id-1] == "s000" {
			slowStartSends++
		}
		b.AttemptFinished(now, id, 0, OK, true, LoadReport{})
	}
	// The sends take 2 s. A quarter of them is 100, and the server has 0.2 to 0.36 of its
	// capacity in that time.
	if slowStartSends == 0 || slowStartSends > 60 {
		t.Errorf("%d of 400 sends to a server that has just started, want 1 to 60", slowStartSends)
	}
}

// The sampling weight and the slow-start budget each limit the sends to a server in slow start.
func TestSlowStartSamplingAndBudget(t *testing.T) {
	list := servingEndpoints(2)
	b, _ := newTestBalancer(t, testConfig(), list...)
	set, now := &b.endpoints, 100*time.Second
	list[0].Started = now
	b.ServersChanged(now, list[:1])
	set.refresh(now)
	newWeight, fullWeight := set.weights[0], set.weights[1]-set.weights[0]
	if set.workingSet[0].name != "s000" {
		newWeight, fullWeight = fullWeight, newWeight
	}
	if newWeight != 0.2*fullWeight {
		t.Errorf("sampling weight of a new server = %v, of one at full capacity = %v, want a fraction of 0.2", newWeight, fullWeight)
	}
	s := set.byName["s000"]
	s.slowStartTokens.tokens = 1
	if !set.hasSlowStartBudget(s, now) {
		t.Error("no slow-start budget with one token, want budget for one send")
	}
	set.recordSend(s, now)
	if set.hasSlowStartBudget(s, now) {
		t.Error("slow-start budget for a second send at the same time, want none")
	}
	if !set.hasSlowStartBudget(s, now+10*time.Second) {
		t.Error("no budget after the end of slow start, want no limit")
	}
}

// A server in slow start outside the working set has no budget: otherwise all balancers could fall back
// on it at the same time, each with a full budget.
func TestNoSlowStartBudgetOutsideWorkingSet(t *testing.T) {
	list := servingEndpoints(12)
	b, _ := newTestBalancer(t, testConfig(), list...)
	set, now := &b.endpoints, 100*time.Second
	for i := range list {
		list[i].Started = now
	}
	b.ServersChanged(now, list)
	set.refresh(now)
	if len(set.workingSet) == len(set.members) {
		t.Fatal("all members are in the working set, want some outside it")
	}
	for _, s := range set.members {
		s.slowStartTokens.tokens = 1
		if set.hasSlowStartBudget(s, now) != s.inWorkingSet {
			t.Errorf("server %s: in the working set = %v, has slow-start budget = %v, want both alike", s.name, s.inWorkingSet, !s.inWorkingSet)
		}
	}
}

// The slow-start budget is computed from accepted sends. Where servers reject most sends, the rate of
// all sends is higher than what a server in slow start can take.
func TestSlowStartBudgetCountsAcceptedSends(t *testing.T) {
	budgetAfter := func(outcome Outcome) (sends int) {
		cfg := testConfig()
		cfg.Classes = cfg.Classes[2:] // no hedges
		list := servingEndpoints(4)
		b, _ := newTestBalancer(t, cfg, list...)
		now := 90 * time.Second
		for id := RequestID(1); id <= 400; id++ {
			now += 5 * ms
			b.Arrive(now, Request{ID: id, Deadline: now + 300*ms})
			for index := range 4 {
				b.AttemptFinished(now, id, index, outcome, outcome == OK, LoadReport{})
			}
		}
		list[0].Started = now
		b.ServersChanged(now, list[:1])
		set := &b.endpoints
		set.refresh(now)
		s := set.byName["s000"]
		set.hasSlowStartBudget(s, now)
		for end := now + time.Second; now < end; now += ms {
			set.sendCount, set.sendCountAt = 800, now // keeps the rate constant
			if set.hasSlowStartBudget(s, now) {
				set.recordSend(s, now)
				sends++
			}
		}
		return sends
	}
	if ifAccepted, ifRejected := budgetAfter(OK), budgetAfter(Rejected); ifRejected > ifAccepted/4 {
		t.Errorf("sends within the budget = %d if all sends were accepted and %d if all were rejected, want at most a quarter of the first", ifAccepted, ifRejected)
	}
}
