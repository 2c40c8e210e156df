package discovery

import "time"

// The platform counts a change as notified maxNotificationDelay after discovery had the change and could
// be reached, whether or not the change has arrived here. The waits of a Watcher therefore add up to at
// most maxNotificationDelay minus notificationMargin, which covers transmission and a busy process.
const (
	maxNotificationDelay = 6 * time.Second
	notificationMargin   = 500 * time.Millisecond
)

// Pace holds the upper bounds of a Watcher's waits.
type Pace struct {
	CallTimeout  time.Duration // longest time from the dial to the first byte of the response's body
	RetrySpread  time.Duration // longest random delay before a watch is reopened after a timeout; if below minBackoff, minBackoff applies
	MaxBackoff   time.Duration // longest wait between a failed call and the next
	InitialDelay time.Duration // longest time between the start of a process and its first call
	// SecondCallDelay is how long the first call after a silent watch may stay unanswered until
	// a second call starts in parallel, so that one lost call does not use up the time left.
	// 0: no second call, because there is time for one call after another.
	SecondCallDelay time.Duration
}

// PolledPace returns the Pace for a single discovery service that serves the calls of all sidecars one
// after another. CallTimeout is as long as the other waits permit, because an abandoned call costs
// discovery as much work as an answered one.
func PolledPace() Pace {
	p := Pace{RetrySpread: 400 * time.Millisecond, MaxBackoff: 500 * time.Millisecond}
	p.CallTimeout = maxNotificationDelay - notificationMargin - maxSilence - p.RetrySpread - p.MaxBackoff
	p.InitialDelay = maxNotificationDelay - notificationMargin - p.CallTimeout - p.MaxBackoff
	p.SecondCallDelay = p.CallTimeout / 2
	return p
}

// PushedPace returns the Pace for an agent on this machine that pushes lists. The agent responds at once or,
// while discovery is down, not at all. A change counts as notified once the agent has it. A call that
// times out and the backoff after it therefore fit well within grace, the time in which a draining server
// may still get attempts. No call times out before minPushedCallTimeout.
func PushedPace(grace time.Duration) Pace {
	return Pace{
		CallTimeout: min(max(grace/2, minPushedCallTimeout), time.Second),
		MaxBackoff:  min(max(grace/4, minPushedCallTimeout/2), 500*time.Millisecond),
	}
}

// minPushedCallTimeout is the shortest CallTimeout of PushedPace.
const minPushedCallTimeout = 100 * time.Millisecond

// WorstDelay returns the longest time, without transmission, from the moment at which discovery can
// notify a change until the change arrives. It is the longest of three cases: the watch fell silent just
// before the change and the first call after it is lost, one call is lost at another time, or the first
// call of the process fails at once.
func (p Pace) WorstDelay() time.Duration {
	afterSilence := maxSilence + p.RetrySpread + p.CallTimeout + p.MaxBackoff + p.CallTimeout
	if p.SecondCallDelay > 0 {
		afterSilence = maxSilence + p.RetrySpread + p.SecondCallDelay + p.secondCallTimeout()
	}
	return max(afterSilence, p.CallTimeout+p.MaxBackoff+p.CallTimeout, p.InitialDelay+p.MaxBackoff+p.CallTimeout)
}

// secondCallTimeout returns the timeout of the second call: the time that is left until missed changes
// count as notified.
func (p Pace) secondCallTimeout() time.Duration {
	return maxNotificationDelay - notificationMargin - maxSilence - p.RetrySpread - p.SecondCallDelay
}
