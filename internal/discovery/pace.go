package discovery

import "time"

// The platform counts a change as notified maxNotificationDelay after discovery had it and
// could be reached, whether or not it has arrived here. The waits of a Watcher add up to
// less than that by notificationMargin, which covers transmission and a busy process.
const (
	maxNotificationDelay = 6 * time.Second
	notificationMargin   = 500 * time.Millisecond
)

// Pace bounds each wait while the list is followed.
type Pace struct {
	CallTimeout  time.Duration // connecting and waiting for the response, together
	RetrySpread  time.Duration // random delay before a silent watch is reopened, at most
	MaxBackoff   time.Duration // from a failed call to the next, at most
	InitialDelay time.Duration // from a process's start to its first call, at most
	// SecondCallDelay is how long the first call after a silent watch may go unanswered before
	// a second one starts in parallel, so that one lost call does not use up the time left.
	// 0: there is time for sequential calls.
	SecondCallDelay time.Duration
}

// Polled returns the pace where discovery is one service that works through the calls of all
// sidecars one by one. A call may wait as long as the other waits allow, since a call that
// is abandoned has cost discovery its work all the same.
func Polled() Pace {
	p := Pace{RetrySpread: 400 * time.Millisecond, MaxBackoff: 500 * time.Millisecond}
	p.CallTimeout = maxNotificationDelay - notificationMargin - maxSilence - p.RetrySpread - p.MaxBackoff
	p.InitialDelay = maxNotificationDelay - notificationMargin - p.CallTimeout - p.MaxBackoff
	p.SecondCallDelay = p.CallTimeout / 2
	return p
}

// Pushed returns the pace where lists are pushed by an agent on this machine, which responds
// at once or, while discovery is down, not at all. A change counts as notified once the agent
// has it, so a call that times out and the backoff behind it stay well within grace, the time
// in which a draining server may still get attempts. No call is abandoned within
// minPushedCallTimeout.
func Pushed(grace time.Duration) Pace {
	return Pace{
		CallTimeout: min(max(grace/2, minPushedCallTimeout), time.Second),
		MaxBackoff:  min(max(grace/4, minPushedCallTimeout/2), 500*time.Millisecond),
	}
}

// minPushedCallTimeout is the shortest time that a call is given.
const minPushedCallTimeout = 100 * time.Millisecond

// WorstDelay returns the longest time from a change that discovery can notify to its arrival,
// without transmission: across a watch that fell silent just before it and one lost call, or
// across a call that was lost at another time.
func (p Pace) WorstDelay() time.Duration {
	silent := maxSilence + p.RetrySpread + p.CallTimeout + p.MaxBackoff + p.CallTimeout
	if p.SecondCallDelay > 0 {
		silent = maxSilence + p.RetrySpread + p.SecondCallDelay + p.secondCallTimeout()
	}
	return max(silent, p.CallTimeout+p.MaxBackoff+p.CallTimeout, p.InitialDelay+p.MaxBackoff+p.CallTimeout)
}

// secondCallTimeout bounds the parallel second call.
func (p Pace) secondCallTimeout() time.Duration {
	return maxNotificationDelay - notificationMargin - maxSilence - p.RetrySpread - p.SecondCallDelay
}
