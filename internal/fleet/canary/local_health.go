package canary

// LocalHealth is what an agent knows about one of its own instances without comparing it
// with other instances.
type LocalHealth struct {
	Crashing bool // the instance is in a crash loop, or has exited and is not yet relaunched
	Unready  bool // the instance runs and its health call fails
	// Windows are the windows of the current process, the latest last.
	Windows []Window
	Limit   uint64 // memory limit in bytes; 0: none
}

// The limits that CheckLocalHealth applies.
const (
	localHealthSlots       = 3    // number of latest windows that are examined; with fewer, only Crashing and Unready count
	minLocalHealthRequests = 5    // with fewer requests, serving none of them is no proof of harm
	usedUpMemoryFraction   = 0.95 // fraction of the memory limit above which memory counts as used up
)

// CheckLocalHealth judges a changed instance from its local health alone. An agent uses it
// while no command holds the lease of the operation. CheckLocalHealth returns "" if the
// change may stay, and otherwise the reason for rolling it back. It finds only harm that
// needs no comparison: a crash loop, a failing health call, no request served, or nearly no
// memory left.
func CheckLocalHealth(health LocalHealth) string {
	switch {
	case health.Crashing:
		return "it crashes"
	case health.Unready:
		return "its health call fails"
	}
	windows := health.Windows[max(0, len(health.Windows)-localHealthSlots):]
	if len(windows) < localHealthSlots {
		return ""
	}
	requests, served := 0.0, uint32(0)
	for _, w := range windows {
		requests += w.requests()
		for _, c := range w.Classes {
			served += c.Served
		}
	}
	if requests >= minLocalHealthRequests && served == 0 {
		return "it serves no request"
	}
	if m := windows[len(windows)-1].Memory; health.Limit > 0 && float64(m) > usedUpMemoryFraction*float64(health.Limit) {
		return "its memory limit is nearly used up"
	}
	return ""
}
