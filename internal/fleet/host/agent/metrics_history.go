package agent

import (
	"slices"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/canary"
)

// sampleHistory retains an instance's latest samples, in order of their boundaries. The agent's
// mu guards it.
type sampleHistory struct {
	samples []api.Sample
	limit   int // number of samples retained at least; at most twice as many are
}

// add appends a sample. A sample whose boundary is not after the latest one is ignored.
func (h *sampleHistory) add(s api.Sample) {
	if n := len(h.samples); n > 0 && h.samples[n-1].Boundary >= s.Boundary {
		return
	}
	if len(h.samples) >= 2*h.limit {
		h.samples = append(h.samples[:0:0], h.samples[len(h.samples)-h.limit:]...)
	}
	h.samples = append(h.samples, s)
}

// rate returns the requests per second over the latest rateSlots slots. It is 0 if there are too
// few samples or the process was replaced in that time, as each process counts from 0.
func (h *sampleHistory) rate() float64 {
	recent := h.samples[max(0, len(h.samples)-rateSlots-1):]
	if len(recent) < 2 {
		return 0
	}
	first, last := &recent[0], &recent[len(recent)-1]
	seconds := last.At.Sub(first.At).Seconds()
	if first.Process != last.Process || seconds <= 0 {
		return 0
	}
	requests := 0.0
	for name, counts := range last.Classes {
		before := first.Classes[name]
		requests += counts.Total() - before.Total()
	}
	return max(0, requests/seconds)
}

// windows returns the differences between consecutive samples of the latest slots, for the canary
// analysis. Only the differences since the running release started are returned. slot is the
// interval of the samples.
func (h *sampleHistory) windows(slot time.Duration) (windows []canary.Window) {
	builder := canary.WindowBuilder{Slot: slot, MaxOffset: slot / 4}
	for _, s := range h.samples[max(0, len(h.samples)-rateSlots-1):] {
		names := make([]string, 0, len(s.Classes))
		for name := range s.Classes {
			names = append(names, name)
		}
		slices.Sort(names)
		if window, ok := builder.Next(s.CanarySample(0, names), 0); ok {
			windows = append(windows, window)
		}
	}
	n := len(windows)
	for n > 0 && windows[n-1].Release == windows[len(windows)-1].Release {
		n--
	}
	return windows[n:]
}
