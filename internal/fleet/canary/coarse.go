package canary

// LocalHealth is what an agent knows of one of its instances without comparing it with
// others.
type LocalHealth struct {
	Crashing bool // in a crash loop, or exited and not relaunched
	Unready  bool // it runs and its health call fails
	// Windows are those of the current process, the latest last.
	Windows []Window
	Limit   uint64 // memory limit in bytes; 0: none
}

// The limits of the coarse rule.
const (
	coarseSlots          = 3    // windows that are needed
	minCoarseRequests    = 5    // requests below which serving none proves nothing
	coarseMemoryFraction = 0.95 // of the memory limit
)

// Coarse is the rule by which an agent that no command directs judges a changed instance.
// It returns "" if the change may stay, and otherwise the reason against it. It finds
// only harm that needs no comparison: a crash loop, no service at all, no memory left.
func Coarse(health LocalHealth) string {
	switch {
	case health.Crashing:
		return "it crashes"
	case health.Unready:
		return "its health call fails"
	}
	windows := health.Windows[max(0, len(health.Windows)-coarseSlots):]
	if len(windows) < coarseSlots {
		return ""
	}
	requests, served := 0.0, uint32(0)
	for _, w := range windows {
		requests += w.requests()
		for _, c := range w.Classes {
			served += c.Served
		}
	}
	if requests >= minCoarseRequests && served == 0 {
		return "it serves nothing"
	}
	if m := windows[len(windows)-1].Memory; health.Limit > 0 && float64(m) > coarseMemoryFraction*float64(health.Limit) {
		return "its memory is used up"
	}
	return ""
}
