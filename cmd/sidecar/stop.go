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
	// successorRounds is the number of polls between two queries of the successor.
	successorRounds = 10
	// idleBeforeClose is how long a connection must have been idle to be closed while a
	// successor serves, so that its client is unlikely to be using it.
	idleBeforeClose = 300 * time.Millisecond
	// A process that resumes after SIGSTOP may see SIGTERM and a successor at the same time. It
	// waits for a successor for minSuccessorRounds polls before it closes all idle connections,
	// and for maxSuccessorRounds polls once a successor has connected.
	minSuccessorRounds = 2
	maxSuccessorRounds = 30
)

// stop serves until every request is answered; SIGTERM arrived at signalledAt. Unless a successor
// serves, it then stores what this process has learned.
func (p *sidecarProcess) stop(signalledAt time.Time) {
	replaced := newShutdown(signalledAt, p.config, p.resources, p.successor).run()
	if p.place != nil && p.place.Locked() && !replaced {
		p.saveSnapshot()
	}
}

// gracefulShutdown is a shutdown in progress.
type gracefulShutdown struct {
	resources   *resources
	successor   *link.PredecessorEnd // nil: no process can take over
	signalledAt time.Time            // when the signal arrived; the durations of plan count from it
	plan        shutdown.Plan
	replaced    bool // a successor serves
	closed      bool // no connection is accepted any more
}

// newShutdown returns the graceful shutdown of a process that got its signal at signalledAt.
func newShutdown(signalledAt time.Time, c *config, r *resources, successor *link.PredecessorEnd) *gracefulShutdown {
	return &gracefulShutdown{resources: r, successor: successor, signalledAt: signalledAt, plan: seamPlan(shutdown.For(c.longestDeadline()))}
}

// run continues to serve until the plan stops accepting and every request is answered. If a successor
// serves, this process accepts no more connections and closes its own when they are idle. run
// returns whether a successor serves.
func (s *gracefulShutdown) run() (replaced bool) {
	host, server := s.resources.host, s.resources.server
	slog.Info("stopping", "held", host.InFlight(), "signal_ago", time.Since(s.signalledAt), "answer_all", s.plan.AnswerAll, "kill", s.plan.Kill)
	host.StopWithin(time.Until(s.signalledAt.Add(s.plan.AnswerAll)))
	s.resources.setStopping()
	s.replaced = s.successor != nil && s.successor.Terminate()
	server.Drain(s.successor != nil) // if a successor may come, idle connections stay open at first
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
			s.replaced = s.successor.ReleaseUnused(s.resources.used()) // a successor may still take over
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
	stepClose              // stop accepting, so that no client connects between the last check and the exit
	stepEnd
)

// next decides the next step. Connections accepted before stepClose are waited for.
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

// mayBeReplaced reports whether a process has connected that may take over and needs the listeners.
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
