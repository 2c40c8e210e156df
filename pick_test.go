package martendrum

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

func fleetOf(n int) []Endpoint {
	var list []Endpoint
	for i := range n {
		list = append(list, Endpoint{Name: fmt.Sprintf("s%03d", i)})
	}
	return list
}

// Each request stays out, so that two-choice must keep the in-flight even.
func TestTwoChoiceEvensInFlight(t *testing.T) {
	b, r := newTest(t, testConfig(), fleetOf(minWorkingSet)...)
	b.noCopies()
	for id := RequestID(1); id <= 100; id++ {
		b.Arrive(0, Request{ID: id, Deadline: 300 * ms})
	}
	count := map[string]int{}
	for _, s := range r.servers {
		count[s]++
	}
	for name, n := range count {
		if n < 18 || n > 32 {
			t.Errorf("%s holds %d of 100 over %d servers", name, n, minWorkingSet)
		}
	}
}

func TestDefinedAnswersWithoutServers(t *testing.T) {
	for name, list := range map[string][]Endpoint{
		"none":         nil,
		"all draining": {{Name: "a", State: Draining}, {Name: "b", State: Draining}},
		"all gone":     {{Name: "a", State: Removed}},
	} {
		b, r := newTest(t, testConfig(), list...)
		for class := range 3 {
			b.Arrive(0, Request{ID: RequestID(class + 1), Class: class, Deadline: 300 * ms})
		}
		if len(r.got) != 3 || r.got[0] != "refuse 1" || r.got[1] != "refuse 2" || r.got[2] != "refuse 3" {
			t.Errorf("%s: %v, want three refusals", name, r.got)
		}
	}
	b, r := newTest(t, testConfig(), fleetOf(2)...)
	b.Arrive(time.Second, Request{ID: 1, Deadline: time.Second})
	b.Arrive(time.Second, Request{ID: 2, Class: 9, Deadline: 2 * time.Second})
	if len(r.got) != 2 || r.got[0] != "refuse 1" || r.got[1] != "refuse 2" {
		t.Errorf("deadline past, no such class: %v, want two refusals", r.got)
	}
}

// All suspect: the capped share keeps some in, and a lone suspect still serves.
func TestEjectionIsCapped(t *testing.T) {
	b, _ := newTest(t, testConfig(), fleetOf(10)...)
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

// A restarted server must get only its cold share: no more than slowStartSafetyFactor of
// what would fell it, judged by what its warm peers get.
func TestColdPacing(t *testing.T) {
	cfg := testConfig()
	cfg.Classes = cfg.Classes[2:] // no copies
	list := fleetOf(4)
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

// Sampling and pacing each hold a cold server back by themselves.
func TestColdSamplingAndRoom(t *testing.T) {
	list := fleetOf(2)
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
		t.Errorf("a fresh server weighs %v of a warm one's %v, want its cold share", cold, warm)
	}
	s := f.byName["s000"]
	s.slowStartTokens.tokens = 1
	if !f.hasSlowStartBudget(s, now) {
		t.Error("no room for a first send")
	}
	f.recordSend(s, now)
	if f.hasSlowStartBudget(s, now) {
		t.Error("room for a second send at once")
	}
	if !f.hasSlowStartBudget(s, now+10*time.Second) {
		t.Error("no room once warm")
	}
}

// A cold server outside the working set gets nothing: all balancers could fall
// back on it together, each with a full share.
func TestColdGuestGetsNothing(t *testing.T) {
	list := fleetOf(12)
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
			t.Errorf("%s: in the set %v, room %v", s.name, s.inWorkingSet, !s.inWorkingSet)
		}
	}
}

// Where servers turn most sends away, what is sent to a warm one says too much
// of what a cold one can take.
func TestColdRoomCountsTakenSends(t *testing.T) {
	room := func(o Outcome) (n int) {
		cfg := testConfig()
		cfg.Classes = cfg.Classes[2:] // no copies
		list := fleetOf(4)
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
			f.sendCount, f.sendCountAt = 800, now // the same rate all the time
			if f.hasSlowStartBudget(s, now) {
				f.recordSend(s, now)
				n++
			}
		}
		return n
	}
	if taken, full := room(OK), room(Rejected); full > taken/4 {
		t.Errorf("%d sends to a cold server where all are taken, %d where none is", taken, full)
	}
}

// Where connections have a price, a large tier keeps small working sets.
func TestWorkingSetByConnectionPrice(t *testing.T) {
	cfg := testConfig()
	cfg.Instances, cfg.ConnectionCost = 1200, 0.05
	b, r := newTest(t, cfg, fleetOf(60)...)
	b.noCopies()
	used := map[string]bool{}
	for id := RequestID(1); id <= 200; id++ {
		b.Arrive(0, Request{ID: id, Deadline: 300 * ms})
		b.AttemptFinished(0, id, 0, OK, true, LoadReport{})
		used[r.servers[id-1]] = true
	}
	if len(used) > 4 {
		t.Errorf("%d servers used, want a handful", len(used))
	}
}

// A server that answers nobody while requests reach their aim is left out; one
// that answers others meanwhile is not.
func TestSilentServerIsLeftOut(t *testing.T) {
	for _, answers := range []bool{false, true} {
		b, r := newTest(t, testConfig(), fleetOf(5)...)
		b.noCopies()
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
			t.Errorf("answers others: %v, %d left out", answers, out)
		}
	}
}

// Connections that break by chance, with answers between, leave no server out and
// are tried again past the retry budget; a server that only breaks is left out.
func TestBreaksByChance(t *testing.T) {
	for _, dead := range []bool{false, true} {
		b, r := newTest(t, testConfig(), fleetOf(5)...)
		b.noCopies()
		b.retryTokens = 0
		now, step := time.Second, ms/4 // all is over before any server can seem silent
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
						t.Fatalf("%d sends of a request that broke, want 2", got)
					}
					b.AttemptFinished(now, id, n+1, OK, true, LoadReport{})
				} else {
					b.AttemptFinished(now, id, n, OK, true, LoadReport{})
				}
			}
			b.retryTokens = 0
		}
		if out := len(b.endpoints.ejected); (out > 0) != dead {
			t.Errorf("dead %v: %d servers left out", dead, out)
		}
	}
}

// A server that fails one class, and fast, gains no weight by its speed, is no
// place for that class and serves the others on. Where all fail, it still is sent.
func TestServerThatFailsOneClass(t *testing.T) {
	b, r := newTest(t, testConfig(), fleetOf(5)...)
	b.noCopies()
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
		t.Errorf("asked %v, weight %v, left out until %v", asked, bad.weightCorrection, bad.ejectedUntil)
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

// A quiet balancer whose sends mostly come late must shed nearly all: a level that
// fades between any two outcomes rests far lower.
func TestShedLevelHoldsBetweenOutcomes(t *testing.T) {
	cfg := testConfig()
	a := admissionController{config: &cfg}
	a.configure()
	for i := range 200 { // half are late, twice a second
		a.updateShedLevel(false, i%2 == 0, 2, time.Duration(i)*500*ms)
	}
	if a.shedLevel < 0.9 {
		t.Errorf("level %v with half of the answers late", a.shedLevel)
	}
}

// What is shed brings no answers to lower the level: a quiet balancer takes
// larger steps, and the level fades by itself, or it outlives its cause.
func TestShedLevelFallsWhenQuiet(t *testing.T) {
	a := admissionController{config: &Config{Classes: make([]Class, 1)}}
	a.configure()
	a.shedLevel = 0.6
	for range 15 {
		a.updateShedLevel(false, false, 1, 0)
	}
	if a.shedLevel > 0.05 {
		t.Errorf("level %v after 15 calm answers of a quiet balancer", a.shedLevel)
	}
	a.shedLevel, a.arrivalFractions[0] = 0.9, 1
	if before, after := a.shedProbability(0, 0), a.shedProbability(0, 2*shedMemory); before < 0.5 || after > before/4 {
		t.Errorf("odds went from %v to %v with no outcome for long", before, after)
	}
}

// Own in-flight comes before every other sign: a server that holds one of this
// balancer's requests may be a jam that its old answers do not show yet.
func TestInFlightComesFirst(t *testing.T) {
	b, _ := newTest(t, testConfig(), fleetOf(2)...)
	busy, slow := b.endpoints.byName["s000"], b.endpoints.byName["s001"]
	busy.inFlight = 1
	slow.load, slow.latencySum, slow.latencyWeight = overloadedLoad, 40, 10
	if b.endpoints.cost(busy, 0) <= b.endpoints.cost(slow, 0) {
		t.Error("a server with a request in flight costs less than an idle one")
	}
}

// The least worth is shed first, and all of it before the next class.
func TestShedsLeastWorthFirst(t *testing.T) {
	cfg := testConfig()
	cfg.Classes[2].Weight = 10
	b, _ := newTest(t, cfg)
	for range 300 {
		b.admission.recordArrival(0, -1, 0)
		b.admission.recordArrival(2, -1, 0)
	}
	b.admission.shedLevel = 0.3
	if lo, hi := b.admission.shedProbability(0, 0), b.admission.shedProbability(2, 0); lo < 0.4 || hi != 0 {
		t.Errorf("odds %v for the cheap class and %v for the dear one", lo, hi)
	}
	for range 1000 {
		b.admission.updateShedLevel(false, false, 10, 0)
	}
	if b.admission.shedLevel != 0 {
		t.Errorf("level %v after calm", b.admission.shedLevel)
	}
}

// What a tenant asks above its share is shed before what others ask within
// theirs, whatever the class.
func TestShedsAboveShareFirst(t *testing.T) {
	cfg := testConfig()
	cfg.TenantQuotas, cfg.OverQuotaWeight = []float64{9, 9}, 0.1
	cfg.Classes[2].Weight = 5
	a := admissionController{config: &cfg}
	a.configure()
	within, above := 0, 0
	for i := range 200 { // 20 dear requests a second of the first tenant, whose share here is 3
		now := time.Duration(i) * 50 * ms
		if a.recordArrival(2, 0, now) == 2*2 {
			within++
		} else {
			above++
		}
	}
	if within < 38 || within > 45 {
		t.Errorf("%d of 200 within the share, want 3 a second and what was saved up", within)
	}
	a.shedLevel, a.shedLevelAt = 0.5, 10*time.Second
	modest := a.recordArrival(0, 1, 10*time.Second)
	if lo, hi := a.shedProbability(5, a.shedLevelAt), a.shedProbability(modest, a.shedLevelAt); modest != 0 || lo < 0.4 || hi != 0 {
		t.Errorf("odds %v above the share, %v within it", lo, hi)
	}
}

// Sorting a large fleet anew for each of many small changes cost a quiet balancer
// more than its requests did: members stay sorted as changes come.
func TestMembersStaySorted(t *testing.T) {
	b, _ := newTest(t, testConfig(), fleetOf(20)...)
	f, rng := &b.endpoints, rand.New(rand.NewPCG(7, 7))
	for step := range 500 {
		list := fleetOf(30)
		e := list[rng.IntN(len(list))]
		e.State = EndpointState(rng.IntN(3))
		b.ServersChanged(0, []Endpoint{e})
		if step%50 == 49 {
			b.ServersListed(0, list[rng.IntN(10):])
		}
		serving := 0
		for _, s := range f.byName {
			if s.serving {
				serving++
			}
		}
		if serving != len(f.members) {
			t.Fatalf("step %d: %d members, %d servers serve", step, len(f.members), serving)
		}
		for i, s := range f.members {
			if !s.serving || f.byName[s.name] != s || i > 0 && f.members[i-1].priority > s.priority {
				t.Fatalf("step %d: member %d is out of place", step, i)
			}
		}
	}
}
