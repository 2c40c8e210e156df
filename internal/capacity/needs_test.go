package capacity

import (
	"slices"
	"testing"
)

// The assumed services are 790, hold 21,000 servers, and are ordered by size.
func TestServiceSizes(t *testing.T) {
	sizes := ServiceSizes()
	if len(sizes) != Services || sum(sizes) != Servers {
		t.Errorf("%d services with %d servers", len(sizes), sum(sizes))
	}
	if slices.Min(sizes) < 1 || !slices.IsSortedFunc(sizes, func(a, b int) int { return b - a }) {
		t.Errorf("from %d to %d servers", sizes[0], sizes[len(sizes)-1])
	}
}

func TestAssumedShares(t *testing.T) {
	sizes := ServiceSizes()
	if called := calledServers(sizes); called < float64(Servers/Services) || called > float64(sizes[0]) {
		t.Errorf("a called service has %v servers", called)
	}
	if callers := callersOfLargest(sizes); callers <= float64(sizes[0]) || callers >= Servers {
		t.Errorf("%v sidecars call the largest service", callers)
	}
	if long := listOfServices(sizes, Services); long != Servers {
		t.Errorf("all services have %v servers", long)
	}
}

func TestFormatNumber(t *testing.T) {
	for value, want := range map[float64]string{
		0: "0", 1: "1", 12.345: "12.3", 999.6: "1,000", 1486.3: "1,490", 21009: "21,000", 103860: "104,000", 0.0123456: "0.0123",
		3.355e-6: "3.36e-06", -1234.5: "-1,230", 1e13: "1.00e+13", 2100000: "2,100,000",
	} {
		if got := formatNumber(value); got != want {
			t.Errorf("%v is shown as %q, want %q", value, got, want)
		}
	}
}
