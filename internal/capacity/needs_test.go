package capacity

import (
	"slices"
	"testing"
)

// There are 790 assumed services with 21,000 servers in all, each with at least one, in descending
// order of size.
func TestServiceSizes(t *testing.T) {
	sizes := ServiceSizes()
	if len(sizes) != Services || sum(sizes) != Servers {
		t.Errorf("ServiceSizes() returned %d services with %d servers, want %d services with %d servers", len(sizes), sum(sizes), Services, Servers)
	}
	if slices.Min(sizes) < 1 || !slices.IsSortedFunc(sizes, func(a, b int) int { return b - a }) {
		t.Errorf("ServiceSizes() starts with %d and ends with %d, want sizes of at least 1 in descending order", sizes[0], sizes[len(sizes)-1])
	}
}

// The mean size of a called service, the number of callers of the largest service and the length of
// the longest list lie within the bounds that the assumed service sizes set.
func TestAssumedShares(t *testing.T) {
	sizes := ServiceSizes()
	if called := meanCalledServers(sizes); called < float64(Servers/Services) || called > float64(sizes[0]) {
		t.Errorf("meanCalledServers() = %v, want at least the mean of all services, %d, and at most the largest, %d", called, Servers/Services, sizes[0])
	}
	if callers := callersOfLargest(sizes); callers <= float64(sizes[0]) || callers >= Servers {
		t.Errorf("callersOfLargest() = %v, want more than the largest service's %d servers and fewer than %d", callers, sizes[0], Servers)
	}
	if length := meanListLength(sizes, Services); length != Servers {
		t.Errorf("meanListLength() for all services = %v, want %d", length, Servers)
	}
}

func TestFormatNumber(t *testing.T) {
	for value, want := range map[float64]string{
		0: "0", 1: "1", 12.345: "12.3", 999.6: "1,000", 1486.3: "1,490", 21009: "21,000", 103860: "104,000", 0.0123456: "0.0123",
		3.355e-6: "3.36e-06", -1234.5: "-1,230", 1e13: "1.00e+13", 2100000: "2,100,000",
	} {
		if got := formatNumber(value); got != want {
			t.Errorf("formatNumber(%v) = %q, want %q", value, got, want)
		}
	}
}
