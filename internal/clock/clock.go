// Package clock owns the reading of clocks other than this process's monotonic one, which
// time.Now and time.Since read.
//
// Spans within a process are differences of time.Now. Spans that two processes of a machine
// share are differences of Boot. Wall is for times that outlive the machine or come from
// another one; whoever uses it says what a step of it may do and why that is safe.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// started is when this process began, for machines without a boot clock.
var started = time.Now()

// Boot is the time since the machine started, sleep included. It is the same for all
// processes of a machine, and no step of the wall clock moves it.
func Boot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return time.Since(started) // of this process alone: what others wrote counts as old
	}
	return time.Duration(now.Nano())
}

// step is by how much Wall is off, in nanoseconds.
var step atomic.Int64

// Wall is the time of the machine's wall clock. It has no monotonic part: a difference of
// two readings holds the steps that came between.
func Wall() time.Time { return time.Now().Round(0).Add(time.Duration(step.Load())) }

// Step moves Wall for this process, for a test, and returns what moves it back.
func Step(by time.Duration) (back func()) {
	step.Add(int64(by))
	return func() { step.Add(-int64(by)) }
}
