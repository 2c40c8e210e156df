package discovery

import "time"

// What a list tells counts as told, whether or not it has arrived, maxNotificationDelay after discovery
// had it and could be reached. All waits of a Watcher add up to less by notificationMargin, which is
// for the answer's way and a busy process.
const (
	maxNotificationDelay = 6 * time.Second
	notificationMargin   = 500 * time.Millisecond
)

// Pace is how long each part of following the list may take.
type Pace struct {
	CallTimeout  time.Duration // connecting and the wait for an answer, together
	RetrySpread  time.Duration // over which those whose watches fell silent together ask again
	MaxBackoff   time.Duration // from a failed call to the next, at most
	InitialDelay time.Duration // from a process's start to its first call, at most
	// SecondCallDelay is when, after a watch fell silent, a second call is made beside the first one,
	// which has brought nothing yet: the clock of what the watch missed runs on, and a lost
	// call must not cost its whole wait. 0: there is time for one after the other.
	SecondCallDelay time.Duration
}

// Polled is the pace where discovery is one service that works through the calls of all
// sidecars in turn: a call may wait as long as the rest leaves it, since one that is given
// up has cost discovery all the same.
func Polled() Pace {
	p := Pace{RetrySpread: 400 * time.Millisecond, MaxBackoff: 500 * time.Millisecond}
	p.CallTimeout = maxNotificationDelay - notificationMargin - maxSilence - p.RetrySpread - p.MaxBackoff
	p.InitialDelay = maxNotificationDelay - notificationMargin - p.CallTimeout - p.MaxBackoff
	p.SecondCallDelay = p.CallTimeout / 2
	return p
}

// Pushed is the pace where lists are pushed: the agent is on this machine, answers at once
// or, while discovery is down, not at all, and what it has counts as told from then on. So
// a call that waits in vain and the wait for the next one stay well within grace, for which
// a server may still be sent to when it drains; but no call is given up within minPushedCallTimeout.
func Pushed(grace time.Duration) Pace {
	return Pace{
		CallTimeout: min(max(grace/2, minPushedCallTimeout), time.Second),
		MaxBackoff:  min(max(grace/4, minPushedCallTimeout/2), 500*time.Millisecond),
	}
}

const minPushedCallTimeout = 100 * time.Millisecond

// WorstDelay is the longest time from a change that discovery has and can tell to its arrival,
// less the way: over a watch that fell silent just before and the call after it that was
// lost, or over a call that was lost at another time.
func (p Pace) WorstDelay() time.Duration {
	silent := maxSilence + p.RetrySpread + p.CallTimeout + p.MaxBackoff + p.CallTimeout
	if p.SecondCallDelay > 0 {
		silent = maxSilence + p.RetrySpread + p.SecondCallDelay + p.secondCallTimeout()
	}
	return max(silent, p.CallTimeout+p.MaxBackoff+p.CallTimeout, p.InitialDelay+p.MaxBackoff+p.CallTimeout)
}

// secondCallTimeout is how long the call that is made beside another one may take.
func (p Pace) secondCallTimeout() time.Duration {
	return maxNotificationDelay - notificationMargin - maxSilence - p.RetrySpread - p.SecondCallDelay
}
