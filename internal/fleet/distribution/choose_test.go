package distribution

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

const (
	fleetHosts  = 21_000
	fleetRelays = 16
	fleetZones  = 27
)

// testRegions is how many regions there are; each has three zones.
const testRegions = 9

func hostRegion(n int) string { return fmt.Sprintf("region-%d", n%testRegions) }

func hostZone(n int) string { return fmt.Sprintf("zone-%d", n%fleetZones) }

// testRelays are spread over regions and zones where these are given.
func testRelays(withRegions bool) []Relay {
	relays := make([]Relay, fleetRelays)
	for n := range relays {
		relays[n] = Relay{Name: fmt.Sprintf("relay-%02d", n), Address: fmt.Sprintf("tls:10.0.0.%d:7400", n)}
		if withRegions {
			relays[n].Region, relays[n].Zone = hostRegion(n), hostZone(n)
		}
	}
	return relays
}

func noSpread() float64 { return 0.5 }

// loads counts the hosts of each relay while the lost relays do not answer.
func loads(t testing.TB, relays []Relay, withRegions bool, lost map[string]bool) map[string]int {
	t.Helper()
	load := make(map[string]int)
	for n := range fleetHosts {
		region, zone := "", ""
		if withRegions {
			region, zone = hostRegion(n), hostZone(n)
		}
		chooser := NewChooser(hostName(n), region, zone, relays)
		now, served := testTime, false
		for range len(relays) + 1 {
			relay, wait := chooser.Next(now, noSpread)
			now = now.Add(min(wait, 100*time.Millisecond))
			if !lost[relay.Name] {
				chooser.Succeeded(relay.Name)
				load[relay.Name]++
				served = true
				break
			}
			chooser.Failed(now, relay.Name)
		}
		if !served {
			t.Fatalf("host %d found no relay", n)
		}
	}
	return load
}

// fullest is how many times the mean the relay with the most hosts has.
func fullest(load map[string]int, living int) float64 {
	limit := 0
	for _, hosts := range load {
		limit = max(limit, hosts)
	}
	return float64(limit) * float64(living) / fleetHosts
}

func TestChooserSpreadsEvenly(t *testing.T) {
	t.Parallel()
	relays := testRelays(false)
	half := make(map[string]bool)
	for n := 0; n < fleetRelays; n += 2 {
		half[relays[n].Name] = true
	}
	one := map[string]bool{relays[3].Name: true}
	for name, lost := range map[string]map[string]bool{"all live": nil, "one is lost": one, "half are lost": half} {
		living := fleetRelays - len(lost)
		load := loads(t, relays, false, lost)
		ratio := fullest(load, living)
		t.Logf("%s: the fullest of %d has %.3f times the mean", name, living, ratio)
		if ratio > 1.1 || len(load) != living {
			t.Errorf("%s: %v", name, load)
		}
	}
}

func TestChooserPrefersNear(t *testing.T) {
	relays := testRelays(true)
	for n := range 500 {
		chooser := NewChooser(hostName(n), hostRegion(n), hostZone(n), relays)
		distance := 0
		for _, relay := range chooser.order {
			at := 2
			switch {
			case relay.Zone == hostZone(n):
				at = 0
			case relay.Region == hostRegion(n):
				at = 1
			}
			if at < distance {
				t.Fatalf("host %d: %v", n, chooser.order)
			}
			distance = at
		}
	}
}

// 16 relays do not divide by 9 regions: seven regions have two relays and two have one, which
// serves all hosts of its region. Half of the relays can still serve all hosts.
func TestChooserLoadWithRegions(t *testing.T) {
	t.Parallel()
	relays := testRelays(true)
	cases := map[string]struct {
		living []int
		limit  float64 // times the mean, by the sizes of the regions and a tenth for the draw
	}{
		"all live":                      {[]int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15}, 1.78 * 1.1},
		"one in each of eight regions":  {[]int{0, 1, 2, 3, 4, 5, 6, 7}, 1.1},
		"two in each of four regions":   {[]int{0, 1, 2, 3, 9, 10, 11, 12}, 1.1},
		"both kinds in five of regions": {[]int{0, 1, 2, 9, 10, 11, 7, 8}, 1.34 * 1.1},
	}
	for name, c := range cases {
		lost := make(map[string]bool)
		for n := range relays {
			if !slices.Contains(c.living, n) {
				lost[relays[n].Name] = true
			}
		}
		load := loads(t, relays, true, lost)
		ratio := fullest(load, len(c.living))
		t.Logf("%s: the fullest of %d has %.3f times the mean", name, len(c.living), ratio)
		if ratio > c.limit || len(load) != len(c.living) {
			t.Errorf("%s: %v", name, load)
		}
	}
}

func TestChooserReturnsToPreferred(t *testing.T) {
	chooser := NewChooser("h", "", "", testRelays(false))
	preferred := chooser.Preferred()
	now := testTime
	if relay, wait := chooser.Next(now, noSpread); relay != preferred || wait != 0 {
		t.Fatalf("%v after %v", relay, wait)
	}
	chooser.Failed(now, preferred.Name)
	next, wait := chooser.Next(now, noSpread)
	if next == preferred || wait != initialRetryDelay {
		t.Fatalf("%v after %v", next, wait)
	}
	chooser.Succeeded(next.Name)
	if relay, wait := chooser.Next(now.Add(initialAvoidance-1), noSpread); relay != next || wait != 0 {
		t.Errorf("before its time: %v after %v", relay, wait)
	}
	if relay, _ := chooser.Next(now.Add(initialAvoidance), noSpread); relay != preferred {
		t.Errorf("after its time: %v", relay)
	}

	// Repeated failures lengthen the avoidance up to a bound; one answer resets it.
	for n := range 20 {
		now = now.Add(time.Hour)
		chooser.Failed(now, preferred.Name)
		avoid := min(initialAvoidance<<(n+1), maxAvoidance)
		if relay, _ := chooser.Next(now.Add(avoid-1), noSpread); relay == preferred {
			t.Errorf("failed %d times: used before %v", n+2, avoid)
		}
		if relay, _ := chooser.Next(now.Add(avoid), noSpread); relay != preferred {
			t.Errorf("failed %d times: not used after %v", n+2, avoid)
		}
		if avoid == maxAvoidance {
			break
		}
	}
	chooser.Succeeded(preferred.Name)
	if relay, wait := chooser.Next(now, noSpread); relay != preferred || wait != 0 {
		t.Errorf("%v after %v", relay, wait)
	}
}

func TestChooserBacksOffIfAllFailed(t *testing.T) {
	relays := testRelays(false)[:3]
	chooser := NewChooser("h", "", "", relays)
	now := testTime
	seen := make(map[string]bool)
	for range 30 {
		relay, wait := chooser.Next(now, noSpread)
		if wait > maxRetryDelay {
			t.Fatalf("a wait of %v", wait)
		}
		seen[relay.Name] = true
		now = now.Add(wait)
		chooser.Failed(now, relay.Name)
	}
	if len(seen) != len(relays) {
		t.Errorf("only %v are used", seen)
	}
	for draw, want := range map[float64]time.Duration{0: maxRetryDelay / 2, 0.999: maxRetryDelay * 3 / 2} {
		_, wait := chooser.Next(now, func() float64 { return draw })
		if difference := wait - want; difference.Abs() > maxRetryDelay/100 {
			t.Errorf("drawn %v: a wait of %v, not %v", draw, wait, want)
		}
	}
}
