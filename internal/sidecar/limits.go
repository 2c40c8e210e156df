package sidecar

// inFlightLimits are the limits on the number of requests in flight. They are guarded by the Host's
// lock.
type inFlightLimits struct {
	local  int   // for this process, while there is no tally
	shared int   // for the sum of both processes of a hand-over, while there is a tally
	tally  Tally // nil: no other process shares the limit
}

// Tally holds the numbers of requests in flight of the two processes of a hand-over.
type Tally interface {
	// SetInFlight sets the number of this process to n, and returns that of the other process.
	SetInFlight(n int) (others int)
}

// SetInFlightLimits replaces the limits on requests in flight: local holds for this process while it has no Tally,
// shared for the sum of two processes while they share one. Requests that are in flight already are not
// affected.
func (h *Host) SetInFlightLimits(local, shared int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.limits.local, h.limits.shared = local, shared
}

// SetTally makes the Host count its requests in flight in tally from now on, and limits the sum of both
// processes. It replaces a tally that was set before.
func (h *Host) SetTally(tally Tally) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.limits.tally = tally
	h.updateTally()
}

// RemoveTally makes the Host stop using tally; it does nothing if another one has been set since. When it
// returns, the Host does not use tally any more.
func (h *Host) RemoveTally(tally Tally) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.limits.tally == tally {
		h.limits.tally = nil
	}
}

// InFlight returns the number of requests in flight: those that have not been answered or still have
// an open attempt.
func (h *Host) InFlight() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.requests)
}

// reserveInFlight reports whether one more request may be in flight. It counts the request in the
// tally before it compares the sum, so that two processes can't both take the last free slot. The lock
// is held.
func (h *Host) reserveInFlight() bool {
	if h.limits.tally == nil {
		return len(h.requests) < h.limits.local
	}
	n := len(h.requests) + 1
	if n+h.limits.tally.SetInFlight(n) > h.limits.shared {
		h.updateTally()
		return false
	}
	return true
}

// updateTally sets this process's count in the tally. The lock is held.
func (h *Host) updateTally() {
	if h.limits.tally != nil {
		h.limits.tally.SetInFlight(len(h.requests))
	}
}
