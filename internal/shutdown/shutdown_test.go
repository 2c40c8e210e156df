package shutdown

import (
	"testing"
	"time"
)

// The parts of a plan add up for every deadline: the last of them is done before the earliest kill,
// even if the process stalls for MaxStall just then.
func TestPlansAddUp(t *testing.T) {
	for longest := 50 * time.Millisecond; longest <= 20*time.Second; longest += 50 * time.Millisecond {
		plan := For(longest)
		earliest := min(longest, 3*time.Second) + 700*time.Millisecond
		if plan.Kill != earliest {
			t.Errorf("%v: the kill is expected at %v, it may come at %v", longest, plan.Kill, earliest)
		}
		for name, at := range map[string]time.Duration{"the last accept": plan.StopAccepting, "the last answer": plan.AnswerAll, "the end": plan.End} {
			if at+MaxStall >= earliest {
				t.Errorf("%v: %s at %v, and the kill at %v", longest, name, at, earliest)
			}
		}
		if plan.AnswerAll >= plan.End {
			t.Errorf("%v: all is answered at %v, and the end is at %v", longest, plan.AnswerAll, plan.End)
		}
		if plan.StopAccepting < MaxAcceptPeriod {
			t.Errorf("%v: clients connect up to %v, they are accepted up to %v", longest, MaxAcceptPeriod, plan.StopAccepting)
		}
		// A request accepted at the signal has its full timeout, as far as the kill allows.
		if timeout := min(longest, 3*time.Second); plan.AnswerAll < timeout {
			t.Errorf("%v: a request has %v of its %v", longest, plan.AnswerAll, timeout)
		}
	}
}
