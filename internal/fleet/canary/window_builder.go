package canary

import "time"

// Sample holds the metrics of an instance at one time: counters since its process started,
// and gauges. A counter that the instance does not report is 0, and thus 0 in all windows.
type Sample struct {
	At      time.Time // when the metrics were read, by the clock of the instance's agent
	Process string    // identifies the process; the counters of each process start at 0
	Started time.Time // start of the process, by the same clock
	// Window holds the counters since the process started, the gauges, Instance and Release.
	// Its Slot and Age are not used.
	Window
}

// WindowBuilder computes windows from the differences between successive samples of one instance.
// It counts the slots for which it cannot compute a complete window, including the
// slot of a crash, whose window holds only the number of crashes. It is not safe for
// concurrent use.
type WindowBuilder struct {
	Slot time.Duration // length of a slot; slot boundaries are the multiples of it since the Unix epoch
	// MaxOffset is the longest time between a sample and the nearest slot boundary.
	MaxOffset time.Duration
	Excluded  map[Reason]int // number of slots without a complete window, by reason
	last      Sample         // the sample before, if hasLast
	lastSlot  int64          // number of the boundary nearest to last
	hasLast   bool
}

// Boundary returns the number n of the slot boundary that is nearest to at, and the time
// between the two, which is never negative. Boundary n is n times slot after the Unix epoch.
func Boundary(at time.Time, slot time.Duration) (n int64, off time.Duration) {
	t := at.UnixNano() + int64(slot)/2
	n = t / int64(slot)
	return n, (time.Duration(t%int64(slot)) - slot/2).Abs()
}

func (d *WindowBuilder) exclude(r Reason, slots int) {
	if d.Excluded == nil {
		d.Excluded = make(map[Reason]int)
	}
	d.Excluded[r] += slots
}

// Next takes the next sample, in the order of time, and returns the window between the sample
// before and this one. ok is false if there is no such window. first is the number of the
// boundary at which slot 0 begins.
func (d *WindowBuilder) Next(s Sample, first int64) (w Window, ok bool) {
	n, off := Boundary(s.At, d.Slot)
	if off > d.MaxOffset {
		d.exclude(OffBoundary, 1)
		return Window{}, false // the next window would span two slots and is excluded as MissingSample
	}
	last, slot, hasLast := d.last, d.lastSlot, d.hasLast
	if hasLast && n <= slot {
		return Window{}, false // a repeated or older sample
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

// crashWindow is the window after a crash. It holds only the number of crashes, which is
// counted outside of the process; the other counters since the last sample were lost with
// the process.
func crashWindow(s, last Sample, slot int) Window {
	return Window{Instance: s.Instance, Slot: slot, Release: s.Release, Age: s.At.Sub(s.Started),
		Classes: make([]Counts, len(s.Classes)), Crashes: s.Crashes - last.Crashes}
}

// difference returns the window between two samples of one process. ok is false if a counter
// has decreased.
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
