package rollout

import "martendrum/internal/fleet/api"

// Batches are the targets' numbers by batch: canaries first.
func Batches(p api.Policy, n int) [][]int {
	var out [][]int
	size := p.Batch
	if p.Canaries > 0 {
		size = p.Canaries
	}
	for at := 0; at < n; size = p.Batch {
		var b []int
		for ; at < n && len(b) < size; at++ {
			b = append(b, at)
		}
		out = append(out, b)
	}
	return out
}
