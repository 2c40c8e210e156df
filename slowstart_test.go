package martendrum

import (
	"fmt"
	"testing"
	"time"
)

// clockSkews are the differences of a balancer's clock to the servers' clocks.
var clockSkews = []time.Duration{0, 3 * time.Second, -3 * time.Second, time.Hour, -time.Hour}

// A balancer whose clock was an hour ahead used to skip a new server's slow start, and one whose
// clock was an hour behind prolonged it by an hour. Whatever the clock says, a start that arrives
// begins the slow start, which ends after SlowStartDuration.
func TestNewStartIsInSlowStartWhateverTheClock(t *testing.T) {
	for _, skew := range clockSkews {
		t.Run(fmt.Sprint("clock off by ", skew), func(t *testing.T) {
			cfg := testConfig()
			list := servingEndpoints(4)
			r := &recorder{}
			b, err := New(cfg, 1, r)
			if err != nil {
				t.Fatal(err)
			}
			const truth = 100 * time.Hour
			own := truth + skew
			b.ServersListed(own, list)
			own += 10 * time.Second
			list[0].Started = truth + 9*time.Second // a second ago
			b.ServersChanged(own, list[:1])
			s := b.endpoints.byName[list[0].Name]
			fresh := cfg.SlowStartInitialFraction + (1-cfg.SlowStartInitialFraction)*1.0/cfg.SlowStartDuration.Seconds() // its true slow-start factor
			if got := b.endpoints.slowStartFactor(s, own); got > fresh {
				t.Errorf("slow-start factor %.2f, it truly is %.2f", got, fresh)
			}
			if got := b.endpoints.slowStartFactor(s, own+cfg.SlowStartDuration); got < 1 {
				t.Errorf("slow-start factor %.2f after its slow start", got)
			}
		})
	}
}

// Whatever the clock, the slow-start factor of no server on a first list is overestimated if the
// newest start on it is of just now. A server older than that by SlowStartDuration has the factor 1.
func TestFirstListNeverOverestimatesSlowStartFactor(t *testing.T) {
	for _, skew := range clockSkews {
		t.Run(fmt.Sprint("clock off by ", skew), func(t *testing.T) {
			cfg := testConfig()
			list := servingEndpoints(4)
			const truth = 100 * time.Hour
			ages := []time.Duration{0, cfg.SlowStartDuration / 2, 2 * cfg.SlowStartDuration}
			for n, age := range ages {
				list[n].Started = truth - age
			}
			r := &recorder{}
			b, err := New(cfg, 1, r)
			if err != nil {
				t.Fatal(err)
			}
			own := truth + skew
			b.ServersRestored(own, servingEndpoints(4)) // from before the starts
			b.ServersListed(own, list)
			for n, age := range ages {
				s := b.endpoints.byName[list[n].Name]
				true := min(1, cfg.SlowStartInitialFraction+(1-cfg.SlowStartInitialFraction)*age.Seconds()/cfg.SlowStartDuration.Seconds())
				got := b.endpoints.slowStartFactor(s, own)
				if got > true+1e-9 {
					t.Errorf("a server of age %v has the slow-start factor %.2f, it truly is %.2f", age, got, true)
				}
				if skew >= 0 && got < true-1e-9 {
					t.Errorf("a server of age %v has the slow-start factor %.2f, it truly is %.2f", age, got, true)
				}
				if got := b.endpoints.slowStartFactor(s, own+cfg.SlowStartDuration); got < 1 {
					t.Errorf("a server of age %v has the slow-start factor %.2f after its slow start", age, got)
				}
			}
			if s := b.endpoints.byName[list[3].Name]; b.endpoints.slowStartFactor(s, own) < 1 {
				t.Error("a server that started long ago is in slow start")
			}
		})
	}
}

// The same list again, complete or as a change, is no new start.
func TestRepeatedListIsNoStart(t *testing.T) {
	cfg := testConfig()
	list := servingEndpoints(2)
	b, _ := newTest(t, cfg, list...)
	list[0].Started = time.Hour
	b.ServersChanged(time.Hour, list[:1])
	b.ServersListed(time.Hour+cfg.SlowStartDuration/2, list)
	b.ServersChanged(time.Hour+cfg.SlowStartDuration/2, list)
	if s := b.endpoints.byName[list[0].Name]; b.endpoints.slowStartFactor(s, time.Hour+cfg.SlowStartDuration) < 1 {
		t.Error("a server that was listed again counts as restarted")
	}
}

// A restarted server gets at most slowStartSafetyFactor of its overload limit, judged by what
// servers at full capacity get.
func TestSlowStartPacing(t *testing.T) {
	cfg := testConfig()
	cfg.Classes = cfg.Classes[2:] // no hedges
	list := servingEndpoints(4)
	b, r := newTest(t, cfg, list...)
	now, cold := 100*time.Second, 0
	list[0].Started = now
	b.ServersChanged(now, list[:1])
	for id := RequestID(1); id <= 400; id++ {
		now += 5 * ms
		b.Arrive(now, Request{ID: id, Deadline: now + 300*ms})
		if r.servers[id-1] == "s000" {
			cold++
		}
		b.AttemptFinished(now, id, 0, OK, true, LoadReport{})
	}
	// 2 s, a quarter of the sends would be 100; it has 0.2 to 0.36 of its capacity.
	if cold == 0 || cold > 60 {
		t.Errorf("%d of 400 sends to a server that just started", cold)
	}
}

// Sampling weight and send budget each restrain a server in slow start.
func TestSlowStartSamplingAndBudget(t *testing.T) {
	list := servingEndpoints(2)
	b, _ := newTest(t, testConfig(), list...)
	f, now := &b.endpoints, 100*time.Second
	list[0].Started = now
	b.ServersChanged(now, list[:1])
	f.refresh(now)
	cold, warm := f.weights[0], f.weights[1]-f.weights[0]
	if f.workingSet[0].name != "s000" {
		cold, warm = warm, cold
	}
	if cold != 0.2*warm {
		t.Errorf("a new server weighs %v, one at full capacity %v: want the initial fraction of it", cold, warm)
	}
	s := f.byName["s000"]
	s.slowStartTokens.tokens = 1
	if !f.hasSlowStartBudget(s, now) {
		t.Error("no budget for a first send")
	}
	f.recordSend(s, now)
	if f.hasSlowStartBudget(s, now) {
		t.Error("budget for a second send at once")
	}
	if !f.hasSlowStartBudget(s, now+10*time.Second) {
		t.Error("no budget after the slow start")
	}
}

// A server in slow start outside the working set gets nothing: all balancers could fall back
// on it together, each with a full budget.
func TestNoSlowStartBudgetOutsideWorkingSet(t *testing.T) {
	list := servingEndpoints(12)
	b, _ := newTest(t, testConfig(), list...)
	f, now := &b.endpoints, 100*time.Second
	for i := range list {
		list[i].Started = now
	}
	b.ServersChanged(now, list)
	f.refresh(now)
	if len(f.workingSet) == len(f.members) {
		t.Fatal("no guests to test with")
	}
	for _, s := range f.members {
		s.slowStartTokens.tokens = 1
		if f.hasSlowStartBudget(s, now) != s.inWorkingSet {
			t.Errorf("%s: in the working set %v, budget %v", s.name, s.inWorkingSet, !s.inWorkingSet)
		}
	}
}

// Where servers reject most sends, the rate of sends to one at full capacity overstates what a
// server in slow start can take.
func TestSlowStartBudgetCountsAcceptedSends(t *testing.T) {
	room := func(o Outcome) (n int) {
		cfg := testConfig()
		cfg.Classes = cfg.Classes[2:] // no hedges
		list := servingEndpoints(4)
		b, _ := newTest(t, cfg, list...)
		now := 90 * time.Second
		for id := RequestID(1); id <= 400; id++ {
			now += 5 * ms
			b.Arrive(now, Request{ID: id, Deadline: now + 300*ms})
			for k := range 4 {
				b.AttemptFinished(now, id, k, o, o == OK, LoadReport{})
			}
		}
		list[0].Started = now
		b.ServersChanged(now, list[:1])
		f := &b.endpoints
		f.refresh(now)
		s := f.byName["s000"]
		f.hasSlowStartBudget(s, now)
		for end := now + time.Second; now < end; now += ms {
			f.sendCount, f.sendCountAt = 800, now // a constant rate
			if f.hasSlowStartBudget(s, now) {
				f.recordSend(s, now)
				n++
			}
		}
		return n
	}
	if taken, full := room(OK), room(Rejected); full > taken/4 {
		t.Errorf("%d sends to a server in slow start where all are accepted, %d where none is", taken, full)
	}
}
