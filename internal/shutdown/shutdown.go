// Package shutdown plans the steps of a sidecar's graceful shutdown. Each step has a time, stated as the
// duration since the signal.
//
// All steps are planned backwards from the earliest time at which the supervisor may kill the process, which
// the sidecar can't choose. That time depends on the longest deadline of the settings. A plan made from the
// deadline alone could end after the kill. The package only computes the plan and does not carry it out.
package shutdown

import "time"

const (
	// MaxDeadline limits the longest deadline that a supervisor takes into account.
	MaxDeadline = 3 * time.Second
	// KillGrace is the time that a supervisor adds to that deadline before it kills the process.
	KillGrace = 700 * time.Millisecond
	// MaxStall is the longest stall of the process that the plan allows for. The last step is at
	// least that much earlier than the kill.
	MaxStall = 150 * time.Millisecond
	// MaxAcceptPeriod is the time after the signal in which clients may still connect. The plan
	// accepts connections for at least that long.
	MaxAcceptPeriod = 400 * time.Millisecond
	// MaxIdleConnection is how long an accepted connection stays open without a byte from its
	// client.
	MaxIdleConnection = 500 * time.Millisecond

	answerMargin = 400 * time.Millisecond // from the last response to the kill
	endMargin    = 200 * time.Millisecond // from the process's end to the kill
	acceptMargin = 250 * time.Millisecond // from the last accept to the kill
	maxAccept    = 700 * time.Millisecond // how long connections are accepted, if the kill is late enough
)

// Plan holds the times of the steps of a shutdown, as durations since the signal.
type Plan struct {
	// Kill is the earliest time at which the supervisor kills the process.
	Kill time.Duration
	// StopAccepting is when the sidecar stops accepting connections, so that new clients can't
	// keep the process busy until the kill.
	StopAccepting time.Duration
	// AnswerAll is the time by which every request gets its final response.
	AnswerAll time.Duration
	// End is when the process exits, even if connections are still open.
	End time.Duration
}

// NewPlan returns the plan for settings whose longest deadline of a class is longest.
func NewPlan(longest time.Duration) Plan {
	kill := min(max(longest, 0), MaxDeadline) + KillGrace
	return Plan{
		Kill:          kill,
		StopAccepting: min(maxAccept, kill-acceptMargin),
		AnswerAll:     kill - answerMargin,
		End:           kill - endMargin,
	}
}
