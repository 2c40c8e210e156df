package rollout

import "martendrum/internal/fleet/api"

// Batches divides n targets into batches of indices: the canaries first, if any, then
// batches of the policy's size.
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
