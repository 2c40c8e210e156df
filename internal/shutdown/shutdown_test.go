package shutdown

import (
	"testing"
	"time"
)

// For every deadline, each step of the plan ends before the earliest kill, even if the process stalls for
// MaxStall during that step.
func TestStepsEndBeforeKill(t *testing.T) {
	for longest := 50 * time.Millisecond; longest <= 20*time.Second; longest += 50 * time.Millisecond {
		plan := NewPlan(longest)
		earliestKill := min(longest, 3*time.Second) + 700*time.Millisecond
		if plan.Kill != earliestKill {
			t.Errorf("longest deadline %v: Kill = %v, want %v", longest, plan.Kill, earliestKill)
		}
		for name, at := range map[string]time.Duration{"step StopAccepting": plan.StopAccepting, "step AnswerAll": plan.AnswerAll, "step End": plan.End} {
			if at+MaxStall >= earliestKill {
				t.Errorf("longest deadline %v: %s at %v, want more than %v before the kill at %v", longest, name, at, MaxStall, earliestKill)
			}
		}
		if plan.AnswerAll >= plan.End {
			t.Errorf("longest deadline %v: AnswerAll = %v, want it before End = %v", longest, plan.AnswerAll, plan.End)
		}
		if plan.StopAccepting < MaxAcceptPeriod {
			t.Errorf("longest deadline %v: StopAccepting = %v, want at least %v, for which clients may connect", longest, plan.StopAccepting, MaxAcceptPeriod)
		}
		// A request that arrives with the signal has its full timeout, up to MaxDeadline.
		if timeout := min(longest, 3*time.Second); plan.AnswerAll < timeout {
			t.Errorf("longest deadline %v: AnswerAll = %v, want at least the timeout of a request, %v", longest, plan.AnswerAll, timeout)
		}
	}
}
