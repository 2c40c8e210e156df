package hollow

import "testing"

// Layout returns services of the sizes that serviceSkew documents, and Divide puts each host into
// exactly one part, with hosts of the same region only.
func TestLayout(t *testing.T) {
	const count = 21000
	hosts := Layout(count)
	for _, c := range []struct{ rank, minimum, limit int }{{0, 1400, 1500}, {394, 11, 14}, {Services - 1, 6, 8}} {
		if got := CountService(hosts, ServiceName(c.rank)); got < c.minimum || got > c.limit {
			t.Errorf("service of rank %d has %d hosts, want %d to %d", c.rank, got, c.minimum, c.limit)
		}
	}
	seen := make(map[string]bool)
	for _, part := range Divide(hosts, 1200) {
		if len(part) > 1200 {
			t.Errorf("Divide(hosts, 1200) returned a part of %d hosts, want 1200 at most", len(part))
		}
		for _, host := range part {
			if host.Region != part[0].Region || seen[host.Name] {
				t.Fatalf("host %s of %s is in a part of %s or in two parts, want in one part of its region", host.Name, host.Region, part[0].Region)
			}
			seen[host.Name] = true
		}
	}
	if len(seen) != count {
		t.Errorf("the parts hold %d hosts, want %d", len(seen), count)
	}
}
