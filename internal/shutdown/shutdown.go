// Package shutdown plans the steps of a sidecar's graceful shutdown as spans from the signal.
//
// Each step is counted back from the one moment that the sidecar does not choose: the
// earliest kill by its supervisor. The longest deadline of the settings only determines that
// moment; a plan made from the deadline alone could end after the kill. The package is pure
// and carries nothing out.
package shutdown

import "time"

const (
	// MaxDeadline is how much of the longest deadline a supervisor waits for at most.
	MaxDeadline = 3 * time.Second
	// KillGrace is what a supervisor adds to it.
	KillGrace = 700 * time.Millisecond
	// MaxStall is how long the process may be stalled at any moment. The last step of the
	// plan is at least that much before the kill.
	MaxStall = 150 * time.Millisecond
	// MaxAcceptPeriod is how long clients may continue to connect after the signal.
	MaxAcceptPeriod = 400 * time.Millisecond
	// MaxIdleConnection is how long a connection that sends nothing stays open after its
	// accept.
	MaxIdleConnection = 500 * time.Millisecond

	answerMargin = 400 * time.Millisecond // from the last response to the kill
	endMargin    = 200 * time.Millisecond // from the process's end to the kill
	acceptMargin = 250 * time.Millisecond // from the last accept to the kill
	maxAccept    = 700 * time.Millisecond // how long connections are accepted if the kill is late enough
)

// Plan holds the steps of a shutdown, each as a span from the signal.
type Plan struct {
	// Kill is the earliest time at which the supervisor kills the process.
	Kill time.Duration
	// StopAccepting is when the last connection is accepted, so that new clients can't keep
	// the process busy until the kill.
	StopAccepting time.Duration
	// AnswerAll is when every request has its final response.
	AnswerAll time.Duration
	// End is when the process exits, whatever is still open.
	End time.Duration
}

// For returns the plan of a deployment whose classes have this longest deadline.
func For(longest time.Duration) Plan {
	kill := min(max(longest, 0), MaxDeadline) + KillGrace
	return Plan{
		Kill:          kill,
		StopAccepting: min(maxAccept, kill-acceptMargin),
		AnswerAll:     kill - answerMargin,
		End:           kill - endMargin,
	}
}
