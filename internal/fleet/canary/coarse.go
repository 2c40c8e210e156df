package canary

// LocalHealth is what an agent knows of one of its instances without looking at others.
type LocalHealth struct {
	Crashing bool // in a crash loop, or ended and not back
	Unready  bool // it runs and its health call fails
	// Windows of the process that runs now, the latest last.
	Windows []Window
	Limit   uint64 // of its memory, in bytes; 0: none
}

// The coarse rule's limits.
const (
	coarseSlots    = 3
	coarseRequests = 5
	coarseMemory   = 0.95
)

// Coarse is the rule by which an agent that nobody directs judges an instance that
// was changed: "" if it may stay, else why not. It finds only what needs no
// comparison: a crash loop, no service at all, no memory left.
func Coarse(o LocalHealth) string {
	switch {
	case o.Crashing:
		return "it crashes"
	case o.Unready:
		return "its health call fails"
	}
	ws := o.Windows[max(0, len(o.Windows)-coarseSlots):]
	if len(ws) < coarseSlots {
		return ""
	}
	asked, served := 0.0, uint32(0)
	for _, w := range ws {
		asked += w.requests()
		for _, c := range w.Classes {
			served += c.Served
		}
	}
	if asked >= coarseRequests && served == 0 {
		return "it serves nothing"
	}
	if m := ws[len(ws)-1].Memory; o.Limit > 0 && float64(m) > coarseMemory*float64(o.Limit) {
		return "its memory is used up"
	}
	return ""
}
