package downstream

import "sync"

// budget is a number of bytes that concurrent requests share.
type budget struct {
	mu   sync.Mutex
	left int64
}

// take reserves n bytes; false if fewer are left.
func (b *budget) take(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left < n {
		return false
	}
	b.left -= n
	return true
}

// give returns n reserved bytes.
func (b *budget) give(n int64) {
	b.mu.Lock()
	b.left += n
	b.mu.Unlock()
}
