package downstream

import "sync"

// budget limits the bytes of request bodies that are buffered at once.
type budget struct {
	mu        sync.Mutex
	available int64 // bytes; below 0 after the limit was lowered below the bytes in use
}

// reserve reserves n bytes. It returns false and reserves nothing if fewer are available.
func (b *budget) reserve(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.available < n {
		return false
	}
	b.available -= n
	return true
}

// release returns n reserved bytes to the budget. A change of the limit also calls it, with the difference
// between the new and the old limit, which may be negative.
func (b *budget) release(n int64) {
	b.mu.Lock()
	b.available += n
	b.mu.Unlock()
}
