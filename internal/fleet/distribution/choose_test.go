package distribution

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// Sizes of the fleet that hosts and relays are drawn from.
const (
	fleetHosts  = 21_000
	fleetRelays = 16
	fleetZones  = 27
)

// testRegions is the number of regions; each has three zones.
const testRegions = 9

// hostRegion returns the region of the host or relay with the given number.
func hostRegion(n int) string { return fmt.Sprintf("region-%d", n%testRegions) }

// hostZone returns the zone of the host or relay with the given number.
func hostZone(n int) string { return fmt.Sprintf("zone-%d", n%fleetZones) }

// testRelays returns the fleet's relays, spread over regions and zones if withRegions is set.
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

// noSpread makes Chooser.Next return the nominal delay.
func noSpread() float64 { return 0.5 }

// hostsByRelay returns the number of hosts that use each relay while the lost relays do not answer.
func hostsByRelay(t testing.TB, relays []Relay, withRegions bool, lost map[string]bool) map[string]int {
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
			t.Fatalf("host %d found no relay that answers", n)
		}
	}
	return load
}

// maxToMean returns the number of hosts of the relay with the most hosts, as a multiple of the mean
// over the live relays.
func maxToMean(load map[string]int, live int) float64 {
	maxHosts := 0
	for _, hosts := range load {
		maxHosts = max(maxHosts, hosts)
	}
	return float64(maxHosts) * float64(live) / fleetHosts
}

func TestChooserSpreadsEvenly(t *testing.T) {
	t.Parallel()
	relays := testRelays(false)
	half := make(map[string]bool)
	for n := 0; n < fleetRelays; n += 2 {
		half[relays[n].Name] = true
	}
	one := map[string]bool{relays[3].Name: true}
	for name, lost := range map[string]map[string]bool{"all relays live": nil, "one relay lost": one, "half of the relays lost": half} {
		live := fleetRelays - len(lost)
		load := hostsByRelay(t, relays, false, lost)
		ratio := maxToMean(load, live)
		t.Logf("%s: the fullest of %d live relays has %.3f times the mean", name, live, ratio)
		if ratio > 1.1 || len(load) != live {
			t.Errorf("%s: hosts by relay are %v, want all %d live relays in use and the fullest with at most 1.1 times the mean", name, load, live)
		}
	}
}

func TestChooserPrefersNear(t *testing.T) {
	relays := testRelays(true)
	for n := range 500 {
		chooser := NewChooser(hostName(n), hostRegion(n), hostZone(n), relays)
		previousDistance := 0
		for _, relay := range chooser.order {
			distance := 2 // neither in the host's region nor in its zone
			switch {
			case relay.Zone == hostZone(n):
				distance = 0
			case relay.Region == hostRegion(n):
				distance = 1
			}
			if distance < previousDistance {
				t.Fatalf("host %d: order of relays is %v, want its zone first, then its region", n, chooser.order)
			}
			previousDistance = distance
		}
	}
}

// 16 relays can't be divided evenly among 9 regions: seven regions have two relays and two have one,
// which serves all hosts of its region. Half of the relays can still serve all hosts.
func TestChooserLoadWithRegions(t *testing.T) {
	t.Parallel()
	relays := testRelays(true)
	cases := map[string]struct {
		live  []int
		limit float64 // multiple of the mean: the ratio that the regions' sizes imply, and a tenth more for the spread of the hash
	}{
		"all relays":                         {[]int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15}, 1.78 * 1.1},
		"one in each of eight regions":       {[]int{0, 1, 2, 3, 4, 5, 6, 7}, 1.1},
		"two in each of four regions":        {[]int{0, 1, 2, 3, 9, 10, 11, 12}, 1.1},
		"one or two in each of five regions": {[]int{0, 1, 2, 9, 10, 11, 7, 8}, 1.34 * 1.1},
	}
	for name, c := range cases {
		lost := make(map[string]bool)
		for n := range relays {
			if !slices.Contains(c.live, n) {
				lost[relays[n].Name] = true
			}
		}
		load := hostsByRelay(t, relays, true, lost)
		ratio := maxToMean(load, len(c.live))
		t.Logf("live relays are %s: the fullest of %d has %.3f times the mean", name, len(c.live), ratio)
		if ratio > c.limit || len(load) != len(c.live) {
			t.Errorf("live relays are %s: hosts by relay are %v, want all live relays in use and the fullest with at most %.3f times the mean", name, load, c.limit)
		}
	}
}

func TestChooserReturnsToPreferred(t *testing.T) {
	chooser := NewChooser("h", "", "", testRelays(false))
	preferred := chooser.Preferred()
	now := testTime
	if relay, wait := chooser.Next(now, noSpread); relay != preferred || wait != 0 {
		t.Fatalf("first Next = %v after %v, want the preferred relay %v without a wait", relay, wait, preferred)
	}
	chooser.Failed(now, preferred.Name)
	next, wait := chooser.Next(now, noSpread)
	if next == preferred || wait != initialRetryDelay {
		t.Fatalf("Next after the preferred relay failed = %v after %v, want another relay after %v", next, wait, initialRetryDelay)
	}
	chooser.Succeeded(next.Name)
	if relay, wait := chooser.Next(now.Add(initialAvoidance-1), noSpread); relay != next || wait != 0 {
		t.Errorf("Next before the end of the avoidance = %v after %v, want %v without a wait", relay, wait, next)
	}
	if relay, _ := chooser.Next(now.Add(initialAvoidance), noSpread); relay != preferred {
		t.Errorf("Next at the end of the avoidance = %v, want the preferred relay %v", relay, preferred)
	}

	// Repeated failures lengthen the avoidance up to maxAvoidance; one success resets it.
	for n := range 20 {
		now = now.Add(time.Hour)
		chooser.Failed(now, preferred.Name)
		avoid := min(initialAvoidance<<(n+1), maxAvoidance)
		if relay, _ := chooser.Next(now.Add(avoid-1), noSpread); relay == preferred {
			t.Errorf("relay that failed %d times is used before %v, want it avoided", n+2, avoid)
		}
		if relay, _ := chooser.Next(now.Add(avoid), noSpread); relay != preferred {
			t.Errorf("relay that failed %d times is not used after %v", n+2, avoid)
		}
		if avoid == maxAvoidance {
			break
		}
	}
	chooser.Succeeded(preferred.Name)
	if relay, wait := chooser.Next(now, noSpread); relay != preferred || wait != 0 {
		t.Errorf("Next after a success = %v after %v, want the preferred relay %v without a wait", relay, wait, preferred)
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
			t.Fatalf("Next returned a wait of %v, want at most %v", wait, maxRetryDelay)
		}
		seen[relay.Name] = true
		now = now.Add(wait)
		chooser.Failed(now, relay.Name)
	}
	if len(seen) != len(relays) {
		t.Errorf("while all relays fail only %v were tried, want all %d", seen, len(relays))
	}
	for draw, want := range map[float64]time.Duration{0: maxRetryDelay / 2, 0.999: maxRetryDelay * 3 / 2} {
		_, wait := chooser.Next(now, func() float64 { return draw })
		if difference := wait - want; difference.Abs() > maxRetryDelay/100 {
			t.Errorf("Next with the random number %v: got a wait of %v, want %v", draw, wait, want)
		}
	}
}
