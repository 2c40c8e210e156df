package agent

import (
	"slices"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/canary"
)

// sampleHistory retains an instance's latest samples, in order of their boundaries. The agent's
// lock guards it.
type sampleHistory struct {
	samples []api.Sample
	limit   int // samples retained at least; twice as many at most
}

// add appends a sample; one that is not later than the latest is ignored.
func (h *sampleHistory) add(s api.Sample) {
	if n := len(h.samples); n > 0 && h.samples[n-1].Boundary >= s.Boundary {
		return
	}
	if len(h.samples) >= 2*h.limit {
		h.samples = append(h.samples[:0:0], h.samples[len(h.samples)-h.limit:]...)
	}
	h.samples = append(h.samples, s)
}

// rate returns the requests per second over the latest slots, 0 if unknown. A new process starts
// a new measurement.
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

// windows returns the differences between the latest samples, as the canary analysis reads them,
// back to the start of the release that runs.
func (h *sampleHistory) windows(slot time.Duration) (out []canary.Window) {
	differ := canary.Differ{Slot: slot, MaxOffset: slot / 4}
	for _, s := range h.samples[max(0, len(h.samples)-rateSlots-1):] {
		names := make([]string, 0, len(s.Classes))
		for name := range s.Classes {
			names = append(names, name)
		}
		slices.Sort(names)
		if w, ok := differ.Next(s.CanarySample(0, names), 0); ok {
			out = append(out, w)
		}
	}
	n := len(out)
	for n > 0 && out[n-1].Release == out[len(out)-1].Release {
		n--
	}
	return out[n:]
}
