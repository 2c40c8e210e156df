package discovery

import "time"

// What a list tells counts as told, whether or not it has arrived, maxTold after discovery
// had it and could be reached. All waits of a Watcher add up to less by toldMargin, which is
// for the answer's way and a busy process.
const (
	maxTold    = 6 * time.Second
	toldMargin = 500 * time.Millisecond
)

// Pace is how long each part of following the list may take.
type Pace struct {
	Call   time.Duration // connecting and the wait for an answer, together
	Spread time.Duration // over which those whose watches fell silent together ask again
	Back   time.Duration // from a failed call to the next, at most
	First  time.Duration // from a process's start to its first call, at most
	// Again is when, after a watch fell silent, a second call is made beside the first one,
	// which has brought nothing yet: the clock of what the watch missed runs on, and a lost
	// call must not cost its whole wait. 0: there is time for one after the other.
	Again time.Duration
}

// Polled is the pace where discovery is one service that works through the calls of all
// sidecars in turn: a call may wait as long as the rest leaves it, since one that is given
// up has cost discovery all the same.
func Polled() Pace {
	p := Pace{Spread: 400 * time.Millisecond, Back: 500 * time.Millisecond}
	p.Call = maxTold - toldMargin - maxSilence - p.Spread - p.Back
	p.First = maxTold - toldMargin - p.Call - p.Back
	p.Again = p.Call / 2
	return p
}

// Pushed is the pace where lists are pushed: the agent is on this machine, answers at once
// or, while discovery is down, not at all, and what it has counts as told from then on. So
// a call that waits in vain and the wait for the next one stay well within grace, for which
// a server may still be sent to when it drains; but no call is given up within minPushed.
func Pushed(grace time.Duration) Pace {
	return Pace{
		Call: min(max(grace/2, minPushed), time.Second),
		Back: min(max(grace/4, minPushed/2), 500*time.Millisecond),
	}
}

const minPushed = 100 * time.Millisecond

// Worst is the longest time from a change that discovery has and can tell to its arrival,
// less the way: over a watch that fell silent just before and the call after it that was
// lost, or over a call that was lost at another time.
func (p Pace) Worst() time.Duration {
	silent := maxSilence + p.Spread + p.Call + p.Back + p.Call
	if p.Again > 0 {
		silent = maxSilence + p.Spread + p.Again + p.secondCall()
	}
	return max(silent, p.Call+p.Back+p.Call, p.First+p.Back+p.Call)
}

// secondCall is how long the call that is made beside another one may take.
func (p Pace) secondCall() time.Duration {
	return maxTold - toldMargin - maxSilence - p.Spread - p.Again
}
