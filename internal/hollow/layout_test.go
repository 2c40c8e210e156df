package hollow

import "testing"

// The layout agrees with its comments: the sizes of services are skewed, and every host is in one
// part.
func TestLayout(t *testing.T) {
	const count = 21000
	hosts := Layout(count)
	for _, c := range []struct{ rank, minimum, limit int }{{0, 1400, 1500}, {394, 11, 14}, {Services - 1, 6, 8}} {
		if have := CountService(hosts, ServiceName(c.rank)); have < c.minimum || have > c.limit {
			t.Errorf("service of rank %d: %d hosts; want %d to %d", c.rank, have, c.minimum, c.limit)
		}
	}
	seen := make(map[string]bool)
	for _, part := range Divide(hosts, 1200) {
		if len(part) > 1200 {
			t.Errorf("a part of %d", len(part))
		}
		for _, host := range part {
			if host.Region != part[0].Region || seen[host.Name] {
				t.Fatalf("host %s of %s in a part of %s, or twice", host.Name, host.Region, part[0].Region)
			}
			seen[host.Name] = true
		}
	}
	if len(seen) != count {
		t.Errorf("%d hosts in the parts; want %d", len(seen), count)
	}
}
