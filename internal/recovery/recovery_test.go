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

// runMachine lets a Machine of a fleet look every 100 ms until the end, and returns its orders.
// each brings it what it learns before each look.
func runMachine(size int, end time.Duration, each func(now time.Duration, m *Machine)) (all []Orders) {
	m := New(Config{Size: size}, 0)
	for now := time.Duration(0); now <= end; now += 100 * ms {
		each(now, m)
		all = append(all, m.Tick(now))
	}
	return all
}

// The others' reports decide the verdict in time, and no single one does.
func TestVerdicts(t *testing.T) {
	for name, c := range map[string]struct {
		size    int
		reports map[int]Report // by rank
		at      time.Duration
		verdict Verdict
		by      time.Duration // when it is decided
	}{
		"alone":                         {60, map[int]Report{1: upReport, 2: upReport, 3: upReport}, 0, Alone, 0},
		"everybody":                     {60, map[int]Report{1: youngReport, 2: youngReport, 3: youngReport}, 0, Everybody, 0},
		"one false report of uptime":    {60, map[int]Report{1: youngReport, 2: youngReport, 3: upReport}, 0, Everybody, 300 * ms},
		"one false report of a restart": {60, map[int]Report{1: upReport, 2: upReport, 3: youngReport}, 0, Alone, 300 * ms},
		"one report is not enough":      {60, map[int]Report{1: upReport}, 0, Unsure, 300 * ms},
		"no report":                     {60, nil, 0, Unsure, 300 * ms},
		"late reports":                  {60, map[int]Report{1: upReport, 2: upReport, 3: upReport}, 500 * ms, Alone, 500 * ms},
		"fleet of two":                  {2, map[int]Report{1: upReport}, 0, Alone, 0},
		"fleet of one":                  {1, nil, 0, Unsure, 0},
		"serving, but young":            {4, map[int]Report{1: {Serving, time.Second}, 2: youngReport, 3: youngReport}, 0, Everybody, 0},
		"tie":                           {5, map[int]Report{1: upReport, 2: upReport, 3: youngReport, 4: youngReport}, 0, Everybody, 300 * ms},
	} {
		t.Run(name, func(t *testing.T) {
			all := runMachine(c.size, 3*time.Second, func(now time.Duration, m *Machine) {
				if now >= c.at {
					for r, w := range c.reports {
						m.ReceiveReport(r, w)
					}
				}
			})
			if o := all[c.by/(100*ms)]; o.Verdict != c.verdict {
				t.Errorf("after %v the verdict is %v, want %v", c.by, o.Verdict, c.verdict)
			}
			if o := all[3]; o.Verdict == Undecided || o.Phase == Querying {
				t.Errorf("after 300 ms it is still querying: %+v", o)
			}
		})
	}
}

// While servers have their full capacity nothing is shed, whatever the verdict. While they have
// not, the fraction of the load that they do not bear is.
func TestBoundsFollowCapacity(t *testing.T) {
	warm := runMachine(60, 5*time.Second, func(now time.Duration, m *Machine) { m.SetArrivals(uint64(now / (200 * ms))) })
	for i, o := range warm {
		if o.Bounds.MinShedFraction != 0 || o.Bounds.NominalRate != 0 {
			t.Fatalf("tick %d, servers at full capacity: %+v", i, o)
		}
	}
	ramp := func(now time.Duration) float64 { return min(1, 0.14+0.86*now.Seconds()/23) }
	cold := runMachine(60, 40*time.Second, func(now time.Duration, m *Machine) {
		m.SetArrivals(10 + uint64(now/(200*ms))) // five a second, and ten that waited before
		m.SetCapacity(ramp(now), ramp(now))
	})
	for i, o := range cold {
		now := time.Duration(i) * 100 * ms
		room := ramp(now)
		switch {
		case room < reducedCapacityFactor && o.Bounds.MinShedFraction != 1-room:
			t.Fatalf("at %v servers bear %.2f, and %.2f is shed", now, room, o.Bounds.MinShedFraction)
		case room >= fullCapacityFactor && (o.Bounds != martendrum.Bounds{} || o.Phase != Serving):
			t.Fatalf("at %v servers have their full capacity: %+v", now, o)
		case room < reducedCapacityFactor && now > 4*time.Second && (o.Bounds.NominalRate < 1.5 || o.Bounds.NominalRate > 7):
			t.Fatalf("at %v five a second arrive, the estimate is %.1f", now, o.Bounds.NominalRate)
		case room < reducedCapacityFactor && o.Bounds.NominalRate > 9:
			t.Fatalf("at %v those that waited count as %.1f a second", now, o.Bounds.NominalRate)
		}
	}
}

// Retries of rejected clients do not raise the estimated demand: whether none or nine in ten
// retry, it stays within a factor of two.
func TestReturningClientsAreNotDemand(t *testing.T) {
	for _, back := range []float64{0, 0.5, 0.9} {
		total, due := 0.0, make([]float64, 1000)
		var last Orders
		m := New(Config{Size: 1}, 0)
		for i := range 300 {
			come := 2 + due[i] // twenty a second, and the retries
			total += come
			due[i+15] += come * last.Bounds.MinShedFraction * back
			m.SetArrivals(uint64(total))
			m.SetCapacity(0.3, 0.3)
			last = m.Tick(time.Duration(i) * 100 * ms)
			if i > 60 && (last.Bounds.NominalRate < 10 || last.Bounds.NominalRate > 40) {
				t.Fatalf("%.1f of rejected clients retry: tick %d estimates 20 a second as %.1f", back, i, last.Bounds.NominalRate)
			}
		}
	}
}

// Whatever the input, phases only advance, each ends in time, and the bounds stay in their ranges.
func TestMachineUnderRandomInput(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 6).Draw(t, "size")
		m := New(Config{Size: size}, 0)
		phase, total := Querying, uint64(0)
		for now := time.Duration(0); now < 70*time.Second; now += time.Duration(rapid.IntRange(50, 2000).Draw(t, "step")) * ms {
			for range rapid.IntRange(0, 2).Draw(t, "words") {
				m.ReceiveReport(rapid.IntRange(1, 100).Draw(t, "rank"), Report{Phase(rapid.IntRange(0, 9).Draw(t, "phase")), time.Duration(rapid.IntRange(0, 10).Draw(t, "age")) * time.Second})
			}
			total += rapid.Uint64Range(0, 50).Draw(t, "came")
			m.SetArrivals(total)
			m.SetCapacity(rapid.Float64Range(-1, 2).Draw(t, "warmth"), rapid.Float64Range(-1, 2).Draw(t, "room"))
			o := m.Tick(now)
			switch {
			case o.Phase < phase:
				t.Fatalf("from %v back to %v", phase, o.Phase)
			case o.Phase == Querying && now >= defaultQueryTime, o.Phase < Serving && now >= defaultReturnTime:
				t.Fatalf("%v at %v", o.Phase, now)
			case o.Bounds.MinShedFraction < 0 || o.Bounds.MinShedFraction > 1 || o.Bounds.NominalRate < 0:
				t.Fatalf("bounds %+v", o.Bounds)
			case m.Due() <= now:
				t.Fatalf("due at %v, and it is %v", m.Due(), now)
			}
			phase = o.Phase
		}
		if len(m.reports) > maxReports {
			t.Fatalf("%d reports in memory", len(m.reports))
		}
	})
}
