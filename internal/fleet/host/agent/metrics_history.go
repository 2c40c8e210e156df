package agent

import (
	"slices"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/canary"
)

// sampleHistory keeps an instance's latest samples, in order. The agent's lock guards it.
type sampleHistory struct {
	samples []api.Sample
	limit   int
}

func (r *sampleHistory) add(s api.Sample) {
	if n := len(r.samples); n > 0 && r.samples[n-1].Boundary >= s.Boundary {
		return
	}
	if len(r.samples) >= 2*r.limit {
		r.samples = append(r.samples[:0:0], r.samples[len(r.samples)-r.limit:]...)
	}
	r.samples = append(r.samples, s)
}

// rate is the requests a second of late; 0 where that is not known.
func (r *sampleHistory) rate() float64 {
	ss := r.samples[max(0, len(r.samples)-rateSlots-1):]
	if len(ss) < 2 {
		return 0
	}
	a, b := &ss[0], &ss[len(ss)-1]
	took := b.At.Sub(a.At).Seconds()
	if a.Process != b.Process || took <= 0 {
		return 0
	}
	n := 0.0
	for name, c := range b.Classes {
		was := a.Classes[name]
		n += c.All() - was.All()
	}
	return max(0, n/took)
}

// windows are those of the process that runs now.
func (r *sampleHistory) windows(slot time.Duration) (out []canary.Window) {
	d := canary.Differ{Slot: slot, Off: slot / 4}
	for _, s := range r.samples[max(0, len(r.samples)-rateSlots-1):] {
		names := make([]string, 0, len(s.Classes))
		for name := range s.Classes {
			names = append(names, name)
		}
		slices.Sort(names)
		if w, ok := d.Next(s.CanarySample(0, names), 0); ok {
			out = append(out, w)
		}
	}
	n := len(out)
	for n > 0 && out[n-1].Release == out[len(out)-1].Release {
		n--
	}
	return out[n:]
}
