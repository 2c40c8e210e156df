package clock

import (
	"testing"
	"time"
)

// Boot goes on as the monotonic clock does, whatever Wall does; Wall is stepped.
func TestBootIsNotStepped(t *testing.T) {
	for _, by := range []time.Duration{3 * time.Second, -3 * time.Second, time.Hour, -time.Hour} {
		began, boot, wall := time.Now(), Boot(), Wall()
		back := Step(by)
		passed, took, stepped := time.Since(began), Boot()-boot, Wall().Sub(wall)
		back()
		if off := took - passed; off < -time.Second || off > time.Second {
			t.Errorf("step %v: %v passed, %v on the boot clock", by, passed, took)
		}
		if off := stepped - by; off < 0 || off > time.Second {
			t.Errorf("step %v: Wall moved by %v", by, stepped)
		}
	}
}
