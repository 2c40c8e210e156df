package canary

import "time"

// Sample is the figures of an instance at one time: counters since its process began, and
// gauges. A counter that the instance does not report is 0 in all windows.
type Sample struct {
	At      time.Time // when it was read, by its agent's clock
	Process string    // identifies the process, whose counters begin at 0
	Started time.Time // start of the process, by the same clock
	Window            // the counters since the process began, and Instance
}

// Differ makes windows from the samples of one instance, in the order of their time. It
// excludes and counts the slots for which it cannot make a window.
type Differ struct {
	Slot time.Duration // windows begin and end at its multiples
	// MaxOffset is how far from a boundary a sample may be taken.
	MaxOffset time.Duration
	Excluded  map[Reason]int // slots without a window, by reason
	last      Sample
	lastSlot  int64 // number of the boundary of last
	hasLast   bool
}

// Boundary returns the number n of the multiple of slot that is nearest to at, and how far
// it is from at.
func Boundary(at time.Time, slot time.Duration) (n int64, off time.Duration) {
	t := at.UnixNano() + int64(slot)/2
	n = t / int64(slot)
	return n, (time.Duration(t%int64(slot)) - slot/2).Abs()
}

func (d *Differ) exclude(r Reason, slots int) {
	if d.Excluded == nil {
		d.Excluded = make(map[Reason]int)
	}
	d.Excluded[r] += slots
}

// Next takes the next sample and returns the window between it and the one before, if
// there is one. first is the number of the boundary at which slot 0 begins.
func (d *Differ) Next(s Sample, first int64) (w Window, ok bool) {
	n, off := Boundary(s.At, d.Slot)
	if off > d.MaxOffset {
		d.exclude(OffBoundary, 1)
		return Window{}, false // the next window spans two slots and is excluded for that
	}
	last, slot, hasLast := d.last, d.lastSlot, d.hasLast
	if hasLast && n <= slot {
		return Window{}, false // a repetition
	}
	d.last, d.lastSlot, d.hasLast = s, n, true
	switch {
	case !hasLast:
		return Window{}, false
	case s.Process != last.Process && s.Crashes > last.Crashes && s.Release == last.Release && len(s.Classes) > 0:
		d.exclude(Restarted, int(n-slot))
		return crashWindow(s, last, int(n-1-first)), n > first
	case n != slot+1:
		d.exclude(MissingSample, int(n-slot))
		return Window{}, false
	case s.Process != last.Process || s.Release != last.Release:
		d.exclude(Restarted, 1)
		return Window{}, false
	case len(s.Classes) != len(last.Classes):
		d.exclude(Unrecognized, 1)
		return Window{}, false
	case slot < first:
		return Window{}, false
	}
	w, ok = difference(s, last, int(slot-first))
	if !ok {
		d.exclude(CounterDecreased, 1)
		return Window{}, false
	}
	return w, true
}

// crashWindow is the window after a crash. The count of crashes outlives the process, and
// is all that the window holds: what the process had counted was lost with it.
func crashWindow(s, last Sample, slot int) Window {
	return Window{Instance: s.Instance, Slot: slot, Release: s.Release, Age: s.At.Sub(s.Started),
		Classes: make([]Counts, len(s.Classes)), Crashes: s.Crashes - last.Crashes}
}

// difference is the window between two samples of one process. It reports false if a
// counter has decreased.
func difference(s, last Sample, slot int) (w Window, ok bool) {
	ok = true
	subtract := func(now, before uint32) uint32 {
		ok = ok && now >= before
		return now - before
	}
	w = s.Window
	w.Slot, w.Release, w.Age = slot, s.Release, s.At.Sub(s.Started)
	w.Classes = make([]Counts, len(s.Classes))
	for c := range w.Classes {
		now, before := s.Classes[c], last.Classes[c]
		w.Classes[c] = Counts{subtract(now.Served, before.Served), subtract(now.Rejected, before.Rejected), subtract(now.Failed, before.Failed)}
	}
	w.Attempts = subtract(s.Attempts, last.Attempts)
	w.Finished = subtract(s.Finished, last.Finished)
	w.Rejected = subtract(s.Rejected, last.Rejected)
	w.Sampled = subtract(s.Sampled, last.Sampled)
	w.Slow = subtract(s.Slow, last.Slow)
	w.Crashes = subtract(s.Crashes, last.Crashes)
	return w, ok
}
