package supervisor

import (
	"fmt"
	"time"
)

// SetSideBySide says whether a generation wanted from now on starts beside the process that
// serves: both must be able to hand over.
func (s *Supervisor) SetSideBySide(can bool) { s.sideBySide = can }

// Previous is the generation of the process being replaced, 0 for none.
func (s *Supervisor) Previous() int64 { return s.previous }

// Failed is the latest generation that failed beside a process that serves on, and how.
func (s *Supervisor) Failed() (generation int64, how string) { return s.failed, s.failure }

// AdoptPrevious tells of a process of an earlier generation that was found running beside
// the adopted one.
func (s *Supervisor) AdoptPrevious(generation int64) { s.setPrevious(generation) }

// AdoptFailed tells of a generation that ended beside the adopted process.
func (s *Supervisor) AdoptFailed(generation int64, how string) { s.failed, s.failure = generation, how }

// AdoptPreviousAsWanted makes the process that serves on after a failure the wanted one: it counts as of
// the wanted generation from now on.
func (s *Supervisor) AdoptPreviousAsWanted() {
	if s.process != 0 && s.previous == 0 && s.failed == s.generation {
		s.process = s.generation
	}
}

// GiveUp ends a new process that has not become ready beside the old one, which serves
// on; nothing where there is no old one.
func (s *Supervisor) GiveUp(now time.Time, why string) []Action {
	if s.previous == 0 || s.terminatingPrevious() || s.phase != Starting {
		return nil
	}
	s.abandon(now, why)
	return []Action{Kill}
}

// PreviousExited tells that the process being replaced has ended.
func (s *Supervisor) PreviousExited(now time.Time) []Action {
	s.setPrevious(0)
	return s.step(now)
}

// stepReplacement is step while an old process is there beside the new one. One that is not
// wanted any more has not served before it is ready, and is killed; a ready one ends
// like any other, after the old one.
func (s *Supervisor) stepReplacement(now time.Time) []Action {
	if s.terminatingPrevious() && !s.previousKilled && !now.Before(s.previousKillAt) {
		s.previousKilled = true
		return []Action{KillPrevious}
	}
	switch {
	case s.phase == Draining: // its end is awaited
	case s.phase == Starting && (!s.wanted || s.process != s.generation):
		s.abandon(now, "not wanted any more")
		return []Action{Kill}
	case s.phase != Starting && !s.terminatingPrevious():
		s.previousKillAt = now.Add(s.config.KillAfter)
		return []Action{TerminatePrevious}
	}
	return nil
}

// abandon marks the new process as one that is to be killed.
func (s *Supervisor) abandon(now time.Time, why string) {
	s.enter(now, Draining, why)
	s.killed = true
}

// restorePrevious takes the end of the new process while the old one is there: that one is the
// instance's again.
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
		s.failed = 0 // no process serves on: it is launched again
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

// terminatingPrevious says that the process being replaced was asked to end.
func (s *Supervisor) terminatingPrevious() bool { return !s.previousKillAt.IsZero() }

// serveReason is the reason of an instance whose new process failed.
func (s *Supervisor) serveReason() string {
	if s.failed != s.generation || s.failed == 0 {
		return ""
	}
	return fmt.Sprintf("generation %d serves on: the new process failed: %s", s.process, s.failure)
}
