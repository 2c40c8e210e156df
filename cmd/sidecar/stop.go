package main

import (
	"log/slog"
	"time"

	"martendrum/internal/handover/link"
	"martendrum/internal/shutdown"
)

const (
	// stopPollInterval is how often a stopping process checks what is still open.
	stopPollInterval = 10 * time.Millisecond
	// successorRounds is how many polls come between two questions to the successor.
	successorRounds = 10
	// While a successor serves, a client's connection is closed once it has been idle for
	// idleBeforeClose: its client is not about to use it.
	idleBeforeClose = 300 * time.Millisecond
	// A process that was stopped by SIGSTOP may see SIGTERM and a successor at the same
	// time. It waits for the successor for minSuccessorRounds polls before it closes idle
	// connections under its clients, and for maxSuccessorRounds once one has connected.
	minSuccessorRounds = 2
	maxSuccessorRounds = 30
)

// stop serves until every request is answered; SIGTERM came at signalledAt. Unless a successor
// serves, it then stores what this process has learned.
func (p *sidecarProcess) stop(signalledAt time.Time) {
	replaced := newShutdown(signalledAt, p.config, p.resources, p.successor).run()
	if p.place != nil && p.place.Locked() && !replaced {
		p.saveSnapshot()
	}
}

// gracefulShutdown is a stop in progress.
type gracefulShutdown struct {
	resources   *resources
	successor   *link.PredecessorEnd // nil: no process can take over
	signalledAt time.Time            // when the signal came; the plan's spans count from it
	plan        shutdown.Plan
	replaced    bool // a successor serves
	closed      bool // no connection is accepted any more
}

// newShutdown returns the graceful shutdown of a process that got its signal at signalledAt.
func newShutdown(signalledAt time.Time, c *config, r *resources, successor *link.PredecessorEnd) *gracefulShutdown {
	return &gracefulShutdown{resources: r, successor: successor, signalledAt: signalledAt, plan: seamPlan(shutdown.For(c.longestDeadline()))}
}

// run serves on as long as connections may come, and until every request is answered. If
// a successor serves, no connection comes any more, and those that are open are closed
// as their clients leave them idle. It returns whether a successor serves.
func (s *gracefulShutdown) run() (replaced bool) {
	host, server := s.resources.host, s.resources.server
	slog.Info("stopping", "held", host.InFlight(), "signal_ago", time.Since(s.signalledAt), "answer_all", s.plan.AnswerAll, "kill", s.plan.Kill)
	host.StopWithin(time.Until(s.signalledAt.Add(s.plan.AnswerAll)))
	s.resources.setStopping()
	s.replaced = s.successor != nil && s.successor.Terminate()
	server.Drain(s.successor != nil) // one may be about to take over: idle connections stay for a moment
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
		if s.successor != nil && round%successorRounds == 0 {
			s.replaced = s.successor.ReleaseUnused(s.resources.used()) // a late one may still take over
		}
		server.CloseIdle(s.idleTime(round))
		server.CloseSilent()
		if time.Since(s.signalledAt) >= s.plan.AnswerAll {
			server.CloseUnfinished()
		}
	}
}

// shutdownStep is what a shutdown does next.
type shutdownStep int

const (
	stepWait  shutdownStep = iota
	stepClose              // stop accepting: nobody may connect between the last check and the end
	stepEnd
)

// next decides the next step. Whoever connects before stepClose is among the connections
// after it, and is waited for.
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

// mayBeReplaced reports whether a process has come that may take over, which needs the
// listeners.
func (s *gracefulShutdown) mayBeReplaced() bool { return s.successor != nil && s.successor.HasPeers() }

// busy reports whether there are connections to wait for.
func (s *gracefulShutdown) busy() bool {
	server := s.resources.server
	return server.Busy() > 0 || s.replaced && server.Conns() > 0
}

// idleTime returns how long a connection must have been idle to be closed in a round.
func (s *gracefulShutdown) idleTime(round int) time.Duration {
	if s.successor == nil {
		return 0
	}
	if s.replaced || round < minSuccessorRounds || round < maxSuccessorRounds && s.mayBeReplaced() {
		return idleBeforeClose
	}
	return 0
}
