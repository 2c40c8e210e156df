// Package shutdown says when a sidecar that was told to end does what. It is pure: spans in,
// spans out.
//
// Everything is counted back from the one moment that the sidecar does not choose, the
// supervisor's kill at its earliest. The longest deadline of the settings is an input to
// that moment and to nothing else: a plan that is made from it alone may end later than the
// kill.
package shutdown

import "time"

const (
	// MaxDeadline is the most that a supervisor counts of the longest deadline.
	MaxDeadline = 3 * time.Second
	// KillGrace is what a supervisor adds to it.
	KillGrace = 700 * time.Millisecond
	// MaxStall is how long the process may be kept from running at any moment. Whatever
	// the plan does last is that much earlier than the kill.
	MaxStall = 150 * time.Millisecond
	// MaxAcceptPeriod is how long clients may go on connecting after the signal.
	MaxAcceptPeriod = 400 * time.Millisecond
	// MaxIdleConnection is for how long, after its accept, a connection that says nothing is waited
	// for. It is closed then.
	MaxIdleConnection = 500 * time.Millisecond

	answerMargin = 400 * time.Millisecond // from the last answer to the kill
	endMargin    = 200 * time.Millisecond // from the end to the kill
	acceptMargin = 250 * time.Millisecond // from the last accept to the kill
	maxAccept    = 700 * time.Millisecond // how long connections are accepted where the kill leaves time
)

// Plan is when a stop does what, each as a span from the signal to end.
type Plan struct {
	// Kill is when the supervisor kills the process at the earliest.
	Kill time.Duration
	// StopAccepting is when the last connection is accepted, however busy the process is:
	// clients that connect anew would keep it busy to its end.
	StopAccepting time.Duration
	// AnswerAll is when every request has its final answer.
	AnswerAll time.Duration
	// End is when the process ends, whatever is open.
	End time.Duration
}

// For returns the plan of a deployment by the longest deadline of its classes.
func For(longest time.Duration) Plan {
	kill := min(max(longest, 0), MaxDeadline) + KillGrace
	return Plan{
		Kill:          kill,
		StopAccepting: min(maxAccept, kill-acceptMargin),
		AnswerAll:     kill - answerMargin,
		End:           kill - endMargin,
	}
}
