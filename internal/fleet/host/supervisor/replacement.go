package supervisor

import (
	"fmt"
	"time"
)

// SetSideBySide sets whether a generation that is wanted from now on starts next to the
// serving process, which requires that both can hand over.
func (s *Supervisor) SetSideBySide(can bool) { s.sideBySide = can }

// Previous is the generation of the process being replaced, 0 for none.
func (s *Supervisor) Previous() int64 { return s.previous }

// Failed is the latest generation that failed to replace a process that continues to
// serve, 0 for none, and how it failed.
func (s *Supervisor) Failed() (generation int64, how string) { return s.failed, s.failure }

// AdoptPrevious reports a process of an earlier generation that was found running next
// to the adopted one.
func (s *Supervisor) AdoptPrevious(generation int64) { s.setPrevious(generation) }

// AdoptFailed reports a generation that failed to replace the adopted process.
func (s *Supervisor) AdoptFailed(generation int64, how string) { s.failed, s.failure = generation, how }

// AcceptServing makes the process that continues to serve after a failed replacement the
// wanted one: it counts as of the wanted generation from now on.
func (s *Supervisor) AcceptServing() {
	if s.process != 0 && s.previous == 0 && s.failed == s.generation {
		s.process = s.generation
	}
}

// GiveUp kills a new process that has not become ready; the previous one continues to
// serve. It does nothing if there is no previous process.
func (s *Supervisor) GiveUp(now time.Time, why string) []Action {
	if s.previous == 0 || s.terminatingPrevious() || s.phase != Starting {
		return nil
	}
	s.abandon(now, why)
	return []Action{Kill}
}

// PreviousExited reports that the process being replaced has exited.
func (s *Supervisor) PreviousExited(now time.Time) []Action {
	s.setPrevious(0)
	return s.step(now)
}

// stepReplacement is step while the previous process runs next to the new one. A new
// process that is no longer wanted is killed if it was never ready, because it has not
// served; a ready one is drained after the previous one has exited.
func (s *Supervisor) stepReplacement(now time.Time) []Action {
	if s.terminatingPrevious() && !s.previousKilled && !now.Before(s.previousKillAt) {
		s.previousKilled = true
		return []Action{KillPrevious}
	}
	switch {
	case s.phase == Draining: // wait for its exit
	case s.phase == Starting && (!s.wanted || s.process != s.generation):
		s.abandon(now, "not wanted any more")
		return []Action{Kill}
	case s.phase != Starting && !s.terminatingPrevious():
		s.previousKillAt = now.Add(s.config.KillAfter)
		return []Action{TerminatePrevious}
	}
	return nil
}

// abandon marks the new process as killed.
func (s *Supervisor) abandon(now time.Time, why string) {
	s.enter(now, Draining, why)
	s.killed = true
}

// restorePrevious makes the previous process the instance's process again after the new
// one has exited.
func (s *Supervisor) restorePrevious(now time.Time, ended int64, how string) []Action {
	wanted := s.wanted && ended == s.generation
	if wanted {
		s.failed, s.failure = ended, how
		if s.phase == Draining {
			s.failure = s.reason
		}
	}
	s.process, s.healthFailures = s.previous, 0
	if s.terminatingPrevious() {
		s.killAt, s.killed = s.previousKillAt, s.previousKilled
		s.failed = 0 // no process continues to serve: the generation is launched again
		s.enter(now, Draining, how)
	} else {
		s.enter(now, Ready, s.serveReason())
	}
	s.setPrevious(0)
	return s.step(now)
}

// setPrevious makes the process of a generation the one being replaced, 0 for none.
func (s *Supervisor) setPrevious(generation int64) {
	s.previous, s.previousKillAt, s.previousKilled = generation, time.Time{}, false
}

// terminatingPrevious reports whether the process being replaced was sent SIGTERM.
func (s *Supervisor) terminatingPrevious() bool { return !s.previousKillAt.IsZero() }

// serveReason is the reason of a ready instance: how its replacement failed, if it did.
func (s *Supervisor) serveReason() string {
	if s.failed != s.generation || s.failed == 0 {
		return ""
	}
	return fmt.Sprintf("generation %d serves on: the new process failed: %s", s.process, s.failure)
}
