package sidecar

import (
	"time"

	"martendrum"
	"martendrum/internal/metrics"
)

// Meter counts the results of attempts. Its methods may be called from any goroutine, some under
// the Host's lock, and must not block.
type Meter interface {
	// Limited counts a request that the Host itself rejected at a limit.
	Limited(reason metrics.Reason)
	// ProcessingTime observes the time from a request's last byte to its first send.
	ProcessingTime(took time.Duration)
	// AttemptStarted counts an attempt that is sent.
	AttemptStarted(hedged bool)
	// AttemptWritten counts an attempt whose last byte has been written.
	AttemptWritten()
	// AttemptFinished counts the end of an attempt; served: the client gets its answer.
	AttemptFinished(outcome martendrum.Outcome, hedged, served bool)
}

// unmetered is a Meter that counts nothing.
type unmetered struct{}

// Limited implements Meter.
func (unmetered) Limited(metrics.Reason) {}

// ProcessingTime implements Meter.
func (unmetered) ProcessingTime(time.Duration) {}

// AttemptStarted implements Meter.
func (unmetered) AttemptStarted(bool) {}

// AttemptWritten implements Meter.
func (unmetered) AttemptWritten() {}

// AttemptFinished implements Meter.
func (unmetered) AttemptFinished(martendrum.Outcome, bool, bool) {}

// SetMeter sets the Host's Meter. It is called before the first request.
func (h *Host) SetMeter(meter Meter) { h.meter, h.wrote = meter, meter.AttemptWritten }
