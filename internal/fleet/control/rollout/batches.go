package rollout

import "martendrum/internal/fleet/api"

// Batches divides the indices of n targets into batches, in order: the first batch has
// the policy's number of canaries, if any, and the others have the policy's batch size.
func Batches(p api.Policy, n int) [][]int {
	var out [][]int
	size := p.Batch
	if p.Canaries > 0 {
		size = p.Canaries
	}
	for next := 0; next < n; size = p.Batch {
		var batch []int
		for ; next < n && len(batch) < size; next++ {
			batch = append(batch, next)
		}
		out = append(out, batch)
	}
	return out
}
