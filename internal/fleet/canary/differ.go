package canary

import "time"

// Sample is what an instance's door told at a moment: counts since its process
// began, and what stands. The zero value of a count that the door does not give
// stays 0 in all windows.
type Sample struct {
	At      time.Time // when it was asked, by its agent's clock
	Process string    // names the process: another one counts anew
	Started time.Time // of the process, by the same clock
	Window            // the counts, since the process began; Instance is its place
}

// Differ makes windows of the samples of one instance, in the order of their time.
// What it can't make a true window of it leaves out, and counts.
type Differ struct {
	Slot time.Duration // windows begin and end at its multiples
	// MaxOffset is how far from a boundary a sample may be taken.
	MaxOffset time.Duration
	Excluded  map[Reason]int
	last      Sample
	slot      int64 // of last
	have      bool
}

// Boundary is the multiple of slot that is nearest to at, and how far that is.
func Boundary(at time.Time, slot time.Duration) (n int64, off time.Duration) {
	t := at.UnixNano() + int64(slot)/2
	n = t / int64(slot)
	return n, (time.Duration(t%int64(slot)) - slot/2).Abs()
}

func (d *Differ) exclude(r Reason, n int) {
	if d.Excluded == nil {
		d.Excluded = make(map[Reason]int)
	}
	d.Excluded[r] += n
}

// Next takes the next sample, and returns the window between it and the one before,
// if there is one. first is the number of the boundary at which slot 0 begins.
func (d *Differ) Next(s Sample, first int64) (w Window, ok bool) {
	n, off := Boundary(s.At, d.Slot)
	if off > d.MaxOffset {
		d.exclude(OffBoundary, 1)
		return Window{}, false // the next one is too long, and is left out for that
	}
	last, slot, have := d.last, d.slot, d.have
	if have && n <= slot {
		return Window{}, false // told before
	}
	d.last, d.slot, d.have = s, n, true
	switch {
	case !have:
		return Window{}, false
	case s.Process != last.Process && s.Crashes > last.Crashes && s.Release == last.Release && len(s.Classes) > 0:
		// A crash is told by the instance's own count, which outlives processes; what
		// the process had counted until then is lost with it.
		d.exclude(Restarted, int(n-slot))
		return Window{Instance: s.Instance, Slot: int(n - 1 - first), Release: s.Release, Age: s.At.Sub(s.Started),
			Classes: make([]Counts, len(s.Classes)), Crashes: s.Crashes - last.Crashes}, n > first
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
	w = s.Window
	w.Slot, w.Release, w.Age = int(slot-first), s.Release, s.At.Sub(s.Started)
	w.Classes = make([]Counts, len(s.Classes))
	fell := false
	less := func(now, before uint32) uint32 {
		fell = fell || now < before
		return now - before
	}
	for c := range w.Classes {
		a, b := s.Classes[c], last.Classes[c]
		w.Classes[c] = Counts{less(a.Served, b.Served), less(a.Rejected, b.Rejected), less(a.Failed, b.Failed)}
	}
	w.Attempts, w.Finished, w.Rejected = less(s.Attempts, last.Attempts), less(s.Finished, last.Finished), less(s.Rejected, last.Rejected)
	w.Sampled, w.Slow, w.Crashes = less(s.Sampled, last.Sampled), less(s.Slow, last.Slow), less(s.Crashes, last.Crashes)
	if fell {
		d.exclude(CounterDecreased, 1)
		return Window{}, false
	}
	return w, true
}
