package sidecar

// inFlightLimits limits how many requests are in flight at once. It is guarded by the
// Host's lock.
type inFlightLimits struct {
	local  int   // for this process alone
	shared int   // for both processes of a hand-over together, while there is a tally
	tally  Tally // nil: this process is alone
}

// Tally is a count of the requests in flight that two processes share.
type Tally interface {
	// SetInFlight sets the count of this process to n, and returns that of the other one.
	SetInFlight(n int) (others int)
}

// Limit replaces the limits on requests in flight for later requests: own for this process alone,
// shared for two processes together while they share a Tally.
func (h *Host) Limit(own, shared int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.limits.local, h.limits.shared = own, shared
}

// SetTally counts requests in flight in tally from now on, and limits the sum of both processes. It
// replaces a tally that was set before.
func (h *Host) SetTally(tally Tally) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.limits.tally = tally
	h.updateTally()
}

// RemoveTally ends the sharing. When it returns, tally is not used any more.
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
// tally before it compares, so that two processes at once do not both use the last slot. The lock
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
