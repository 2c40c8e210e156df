package recovery

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"martendrum"
)

const ms = time.Millisecond

var (
	upReport    = Report{Serving, time.Hour}
	youngReport = Report{Returning, 200 * ms}
)

// runMachine calls Tick of a Machine every 100 ms until the end, and returns the decision of each call.
// beforeTick is called before each Tick and sets the Machine's inputs.
func runMachine(size int, end time.Duration, beforeTick func(now time.Duration, m *Machine)) (all []Decision) {
	m := New(Config{Size: size}, 0)
	for now := time.Duration(0); now <= end; now += 100 * ms {
		beforeTick(now, m)
		all = append(all, m.Tick(now))
	}
	return all
}

// TestVerdicts checks that the reports of other sidecars decide the verdict in time, and that no single
// report decides it in a fleet of more than two.
func TestVerdicts(t *testing.T) {
	for name, test := range map[string]struct {
		size       int
		reports    map[int]Report // by rank
		reportedAt time.Duration
		verdict    Verdict
		decidedBy  time.Duration
	}{
		"others stayed up":              {60, map[int]Report{1: upReport, 2: upReport, 3: upReport}, 0, OthersStayedUp, 0},
		"all restarted":                 {60, map[int]Report{1: youngReport, 2: youngReport, 3: youngReport}, 0, FleetRestarted, 0},
		"one false report of uptime":    {60, map[int]Report{1: youngReport, 2: youngReport, 3: upReport}, 0, FleetRestarted, 300 * ms},
		"one false report of a restart": {60, map[int]Report{1: upReport, 2: upReport, 3: youngReport}, 0, OthersStayedUp, 300 * ms},
		"one report is not enough":      {60, map[int]Report{1: upReport}, 0, Unsure, 300 * ms},
		"no report":                     {60, nil, 0, Unsure, 300 * ms},
		"late reports":                  {60, map[int]Report{1: upReport, 2: upReport, 3: upReport}, 500 * ms, OthersStayedUp, 500 * ms},
		"fleet of two":                  {2, map[int]Report{1: upReport}, 0, OthersStayedUp, 0},
		"fleet of one":                  {1, nil, 0, Unsure, 0},
		"serving, but young":            {4, map[int]Report{1: {Serving, time.Second}, 2: youngReport, 3: youngReport}, 0, FleetRestarted, 0},
		"tie":                           {5, map[int]Report{1: upReport, 2: upReport, 3: youngReport, 4: youngReport}, 0, FleetRestarted, 300 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			all := runMachine(test.size, 3*time.Second, func(now time.Duration, m *Machine) {
				if now >= test.reportedAt {
					for rank, report := range test.reports {
						m.ReceiveReport(rank, report)
					}
				}
			})
			if decision := all[test.decidedBy/(100*ms)]; decision.Verdict != test.verdict {
				t.Errorf("verdict after %v = %v, want %v", test.decidedBy, decision.Verdict, test.verdict)
			}
			if decision := all[3]; decision.Verdict == Undecided || decision.Phase == Querying {
				t.Errorf("decision after 300 ms = %+v, want a verdict and a later phase than Querying", decision)
			}
		})
	}
}

// TestBoundsFollowCapacity checks that nothing is shed while the servers have their full capacity, and
// that otherwise the fraction of the load that exceeds their capacity is shed.
func TestBoundsFollowCapacity(t *testing.T) {
	warm := runMachine(60, 5*time.Second, func(now time.Duration, m *Machine) { m.SetArrivals(uint64(now / (200 * ms))) })
	for i, decision := range warm {
		if decision.Bounds.MinShedFraction != 0 || decision.Bounds.NominalRate != 0 {
			t.Fatalf("tick %d with servers at full capacity: decision = %+v, want no shedding", i, decision)
		}
	}
	// capacityAt is the fraction of the load that the servers can serve: a slow start of 23 s.
	capacityAt := func(now time.Duration) float64 { return min(1, 0.14+0.86*now.Seconds()/23) }
	cold := runMachine(60, 40*time.Second, func(now time.Duration, m *Machine) {
		m.SetArrivals(10 + uint64(now/(200*ms))) // five per second, and ten that waited before the start
		m.SetCapacity(capacityAt(now), capacityAt(now))
	})
	for i, decision := range cold {
		now := time.Duration(i) * 100 * ms
		capacity := capacityAt(now)
		switch {
		case capacity < reducedCapacityFactor && decision.Bounds.MinShedFraction != 1-capacity:
			t.Fatalf("at %v with capacity for %.2f of the load: MinShedFraction = %v, want %v", now, capacity, decision.Bounds.MinShedFraction, 1-capacity)
		case capacity >= fullCapacityFactor && (decision.Bounds != martendrum.Bounds{} || decision.Phase != Serving):
			t.Fatalf("at %v with full capacity: decision = %+v, want no bounds and phase serving", now, decision)
		case capacity < reducedCapacityFactor && now > 4*time.Second && (decision.Bounds.NominalRate < 1.5 || decision.Bounds.NominalRate > 7):
			t.Fatalf("at %v with 5 requests per second: NominalRate = %.1f, want 1.5 to 7", now, decision.Bounds.NominalRate)
		case capacity < reducedCapacityFactor && decision.Bounds.NominalRate > 9:
			t.Fatalf("at %v with 5 requests per second and 10 that waited: NominalRate = %.1f, want at most 9", now, decision.Bounds.NominalRate)
		}
	}
}

// TestReturningClientsAreNotDemand checks that retries of rejected clients do not raise the estimated
// demand: whether none or nine in ten of them retry, the estimate stays within a factor of two.
func TestReturningClientsAreNotDemand(t *testing.T) {
	for _, retrying := range []float64{0, 0.5, 0.9} {
		total, retries := 0.0, make([]float64, 1000)
		var last Decision
		m := New(Config{Size: 1}, 0)
		for i := range 300 {
			arrived := 2 + retries[i] // 20 per second, and the retries
			total += arrived
			retries[i+15] += arrived * last.Bounds.MinShedFraction * retrying
			m.SetArrivals(uint64(total))
			m.SetCapacity(0.3, 0.3)
			last = m.Tick(time.Duration(i) * 100 * ms)
			if i > 60 && (last.Bounds.NominalRate < 10 || last.Bounds.NominalRate > 40) {
				t.Fatalf("with 20 new requests per second and %.1f of rejected clients retrying, tick %d: NominalRate = %.1f, want 10 to 40", retrying, i, last.Bounds.NominalRate)
			}
		}
	}
}

// TestMachineUnderRandomInput checks that with any input the phases only advance, each ends in time, and
// the bounds stay in their ranges.
func TestMachineUnderRandomInput(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 6).Draw(t, "size")
		m := New(Config{Size: size}, 0)
		phase, total := Querying, uint64(0)
		for now := time.Duration(0); now < 70*time.Second; now += time.Duration(rapid.IntRange(50, 2000).Draw(t, "step")) * ms {
			for range rapid.IntRange(0, 2).Draw(t, "reports") {
				m.ReceiveReport(rapid.IntRange(1, 100).Draw(t, "rank"), Report{Phase(rapid.IntRange(0, 9).Draw(t, "phase")), time.Duration(rapid.IntRange(0, 10).Draw(t, "age")) * time.Second})
			}
			total += rapid.Uint64Range(0, 50).Draw(t, "arrivals")
			m.SetArrivals(total)
			m.SetCapacity(rapid.Float64Range(-1, 2).Draw(t, "slow start factor"), rapid.Float64Range(-1, 2).Draw(t, "capacity"))
			decision := m.Tick(now)
			switch {
			case decision.Phase < phase:
				t.Fatalf("phase changed from %v to %v, want phases to advance only", phase, decision.Phase)
			case decision.Phase == Querying && now >= defaultQueryTime, decision.Phase < Serving && now >= defaultReturnTime:
				t.Fatalf("phase %v at %v; want Querying to end by %v and Returning by %v", decision.Phase, now, defaultQueryTime, defaultReturnTime)
			case decision.Bounds.MinShedFraction < 0 || decision.Bounds.MinShedFraction > 1 || decision.Bounds.NominalRate < 0:
				t.Fatalf("Bounds = %+v, want MinShedFraction from 0 to 1 and NominalRate of at least 0", decision.Bounds)
			case m.Due() <= now:
				t.Fatalf("Due() = %v, want a time after %v", m.Due(), now)
			}
			phase = decision.Phase
		}
		if len(m.reports) > maxReports {
			t.Fatalf("%d reports in memory, want at most %d", len(m.reports), maxReports)
		}
	})
}
