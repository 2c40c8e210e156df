package main

import (
	"log/slog"
	"time"

	"martendrum/internal/handover/link"
	"martendrum/internal/shutdown"
)

const (
	// stopPollInterval is how often a stopping process checks what is still open. Each check is a
	// round of gracefulShutdown.run.
	stopPollInterval = 10 * time.Millisecond
	// roundsPerSuccessorQuery is the number of rounds between two calls that release unused quota to
	// the successor and ask whether it serves.
	roundsPerSuccessorQuery = 10
	// idleBeforeClose is how long a client connection must have been idle before it is closed while
	// a successor serves or may come, so that its client is unlikely to be sending a request on it.
	idleBeforeClose = 300 * time.Millisecond
	// A process that resumes after SIGSTOP may receive SIGTERM and the connection of a successor at
	// the same time. It waits for a successor for minSuccessorRounds before it closes all idle
	// connections, and for maxSuccessorRounds if a successor has connected.
	minSuccessorRounds = 2
	maxSuccessorRounds = 30
)

// stop serves until every request is answered or the time for it is up; SIGTERM arrived at
// signalledAt. Unless a successor serves, it then stores the learned state of this process, if the
// process holds the lock of the rendezvous.
func (p *sidecarProcess) stop(signalledAt time.Time) {
	replaced := newShutdown(signalledAt, p.config, p.resources, p.successor).run()
	if p.rendezvous != nil && p.rendezvous.Locked() && !replaced {
		p.saveSnapshot()
	}
}

// gracefulShutdown is the state of a graceful shutdown.
type gracefulShutdown struct {
	resources   *resources
	successor   *link.PredecessorEnd // link to a successor; nil: no process can take over
	signalledAt time.Time            // when the signal arrived; the durations in plan count from then
	plan        shutdown.Plan
	replaced    bool // a successor serves
	closed      bool // the listeners are closed
}

// newShutdown returns the graceful shutdown of a process that received its signal at signalledAt. The
// shutdown starts with run.
func newShutdown(signalledAt time.Time, c *config, r *resources, successor *link.PredecessorEnd) *gracefulShutdown {
	return &gracefulShutdown{resources: r, successor: successor, signalledAt: signalledAt, plan: seamPlan(shutdown.NewPlan(c.longestDeadline()))}
}

// run continues to serve until the plan stops accepting and every request is answered, or until the
// plan's end. If a successor serves, this process accepts no more connections and closes its own when
// they are idle. run returns whether a successor serves.
func (s *gracefulShutdown) run() (replaced bool) {
	host, server := s.resources.host, s.resources.server
	slog.Info("stopping", "held", host.InFlight(), "signal_ago", time.Since(s.signalledAt), "answer_all", s.plan.AnswerAll, "kill", s.plan.Kill)
	host.StopWithin(time.Until(s.signalledAt.Add(s.plan.AnswerAll)))
	s.resources.setStopping()
	s.replaced = s.successor != nil && s.successor.Terminate()
	server.Drain(s.successor != nil) // while a successor may come, idle connections stay open
	for round := 0; ; round++ {
		switch s.next() {
		case stepClose:
			s.resources.StopAccepting()
			s.closed = true
			continue
		case stepEnd:
			slog.Info("stopped", "busy", server.Busy(), "held", host.InFlight(), "after", time.Since(s.signalledAt))
			return s.replaced
		}
		time.Sleep(stopPollInterval)
		if s.successor != nil && round%roundsPerSuccessorQuery == 0 {
			s.replaced = s.successor.ReleaseUnused(s.resources.used()) // while this process stops, a successor may still take over
		}
		server.CloseIdle(s.idleTime(round))
		server.CloseSilent()
		if time.Since(s.signalledAt) >= s.plan.AnswerAll {
			server.CloseUnfinished()
		}
	}
}

// shutdownStep is the next action of a shutdown.
type shutdownStep int

const (
	stepWait  shutdownStep = iota // wait for stopPollInterval
	stepClose                     // stop accepting, so that no client connects between the last check and the exit
	stepEnd                       // exit
)

// next returns the next step. After stepClose, it still waits for the connections accepted before.
func (s *gracefulShutdown) next() shutdownStep {
	elapsed := time.Since(s.signalledAt)
	accepts := !s.replaced && !s.closed
	switch {
	case elapsed >= s.plan.End:
		return stepEnd
	case accepts && elapsed >= s.plan.StopAccepting && !s.mayBeReplaced():
		return stepClose
	case accepts, s.busy():
		return stepWait
	}
	return stepEnd
}

// mayBeReplaced reports whether a process has connected that may still take over, for which the
// listeners must stay open.
func (s *gracefulShutdown) mayBeReplaced() bool {
	return s.successor != nil && s.successor.HasSuccessors()
}

// busy reports whether there are connections to wait for: those with a request, and all of them if a
// successor serves.
func (s *gracefulShutdown) busy() bool {
	server := s.resources.server
	return server.Busy() > 0 || s.replaced && server.Conns() > 0
}

// idleTime returns how long a client connection must have been idle to be closed in the given round
// of run.
func (s *gracefulShutdown) idleTime(round int) time.Duration {
	if s.successor == nil {
		return 0
	}
	if s.replaced || round < minSuccessorRounds || round < maxSuccessorRounds && s.mayBeReplaced() {
		return idleBeforeClose
	}
	return 0
}
