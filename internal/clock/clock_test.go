package clock

import (
	"testing"
	"time"
)

// A step of the wall clock changes Wall. SinceBoot advances like the monotonic clock nevertheless.
func TestStepChangesWallButNotBoot(t *testing.T) {
	for _, by := range []time.Duration{3 * time.Second, -3 * time.Second, time.Hour, -time.Hour} {
		began, bootBefore, wallBefore := time.Now(), SinceBoot(), Wall()
		undo := Step(by)
		passed, bootPassed, wallChange := time.Since(began), SinceBoot()-bootBefore, Wall().Sub(wallBefore)
		undo()
		if off := bootPassed - passed; off < -time.Second || off > time.Second {
			t.Errorf("step %v: SinceBoot advanced by %v while %v passed on the monotonic clock, want a difference of at most 1 s", by, bootPassed, passed)
		}
		if off := wallChange - by; off < 0 || off > time.Second {
			t.Errorf("step %v: Wall advanced by %v, want 0 to 1 s more than the step", by, wallChange)
		}
	}
}
