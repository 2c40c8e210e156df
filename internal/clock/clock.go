// Package clock reads the clocks other than this process's monotonic clock, which time.Now and time.Since
// read.
//
// Durations within a process are differences of time.Now. Durations that two processes of a machine share are
// differences of SinceBoot. Wall is for times that must stay valid after a reboot or come from another machine. Code
// that uses Wall must document the effect of a step of the wall clock and why it is safe.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// started is the start time of this process, for machines without a boot clock.
var started = time.Now()

// SinceBoot returns the time since the machine started, including the time that it was suspended. It is the same
// for all processes of a machine, and steps of the wall clock do not affect it. On a machine without a boot
// clock, it returns the time since this process started.
func SinceBoot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return time.Since(started) // comparable only within this process: readings of other processes count as old
	}
	return time.Duration(now.Nano())
}

// step is the offset that Step has added to Wall, in nanoseconds.
var step atomic.Int64

// Wall returns the time of the machine's wall clock. The time has no monotonic part, so the difference of two
// readings includes all steps of the clock between them.
func Wall() time.Time { return time.Now().Round(0).Add(time.Duration(step.Load())) }

// Step adds by to Wall in this process and returns a function that undoes that. It is for tests.
func Step(by time.Duration) (undo func()) {
	step.Add(int64(by))
	return func() { step.Add(-int64(by)) }
}
