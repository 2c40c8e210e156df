package supervisor

import (
	"fmt"
	"time"
)

// SetSideBySide sets whether a new generation starts next to the serving process. That requires
// that both processes support the hand-over.
func (s *Supervisor) SetSideBySide(allowed bool) { s.sideBySide = allowed }

// Previous returns the generation of the process being replaced, 0 for none.
func (s *Supervisor) Previous() int64 { return s.previous }

// Failed returns the latest generation that failed to replace a process that continues to
// serve, 0 for none, and how it failed.
func (s *Supervisor) Failed() (generation int64, how string) { return s.failed, s.failure }

// AdoptPrevious reports that a process of an earlier generation was found running next to the
// adopted one.
func (s *Supervisor) AdoptPrevious(generation int64) { s.setPrevious(generation) }

// AdoptFailed reports that a generation failed to replace the adopted process while the caller was
// not running, and how it failed.
func (s *Supervisor) AdoptFailed(generation int64, how string) { s.failed, s.failure = generation, how }

// AcceptServing makes the process that continues to serve after a failed replacement the
// desired one: from now on it counts as a process of the desired generation.
func (s *Supervisor) AcceptServing() {
	if s.process != 0 && s.previous == 0 && s.failed == s.generation {
		s.process = s.generation
	}
}

// Abandon ends the replacement by a new process that has not become ready: the new process is
// killed, and the previous one continues to serve. Abandon does nothing if there is no previous
// process that serves.
func (s *Supervisor) Abandon(now time.Time, reason string) []Action {
	if s.previous == 0 || s.terminatingPrevious() || s.phase != Starting {
		return nil
	}
	s.markKilled(now, reason)
	return []Action{Kill}
}

// PreviousExited reports that the process being replaced has exited.
func (s *Supervisor) PreviousExited(now time.Time) []Action {
	s.setPrevious(0)
	return s.step(now)
}

// stepReplacement is step while the previous process runs next to the new one. A new
// process that is no longer desired is killed if it was never ready, because it has not
// served; a ready one is drained after the previous one has exited.
func (s *Supervisor) stepReplacement(now time.Time) []Action {
	if s.terminatingPrevious() && !s.previousKilled && !now.Before(s.previousKillAt) {
		s.previousKilled = true
		return []Action{KillPrevious}
	}
	switch {
	case s.phase == Draining: // wait for the exit of the new process
	case s.phase == Starting && (!s.desired || s.process != s.generation):
		s.markKilled(now, "no longer desired")
		return []Action{Kill}
	case s.phase != Starting && !s.terminatingPrevious():
		s.previousKillAt = now.Add(s.config.KillAfter)
		return []Action{TerminatePrevious}
	}
	return nil
}

// markKilled records that the new process is sent SIGKILL, and why.
func (s *Supervisor) markKilled(now time.Time, reason string) {
	s.enter(now, Draining, reason)
	s.killed = true
}

// restorePrevious makes the previous process the instance's process again after the new one, of
// exitedGeneration, has exited.
func (s *Supervisor) restorePrevious(now time.Time, exitedGeneration int64, how string) []Action {
	desired := s.desired && exitedGeneration == s.generation
	if desired {
		s.failed, s.failure = exitedGeneration, how
		if s.phase == Draining {
			s.failure = s.reason
		}
	}
	s.process, s.healthFailures = s.previous, 0
	if s.terminatingPrevious() {
		s.killAt, s.killed = s.previousKillAt, s.previousKilled
		s.failed = 0 // the previous process is terminating too, so the generation is launched again
		s.enter(now, Draining, how)
	} else {
		s.enter(now, Ready, s.serveReason())
	}
	s.setPrevious(0)
	return s.step(now)
}

// setPrevious sets the generation of the process being replaced, 0 for none. That process has not
// been sent a signal.
func (s *Supervisor) setPrevious(generation int64) {
	s.previous, s.previousKillAt, s.previousKilled = generation, time.Time{}, false
}

// terminatingPrevious reports whether the process being replaced was sent SIGTERM.
func (s *Supervisor) terminatingPrevious() bool { return !s.previousKillAt.IsZero() }

// serveReason returns the reason of the phase of a ready instance: how its replacement failed, "" if
// it did not fail.
func (s *Supervisor) serveReason() string {
	if s.failed != s.generation || s.failed == 0 {
		return ""
	}
	return fmt.Sprintf("generation %d continues to serve: the new process failed: %s", s.process, s.failure)
}
