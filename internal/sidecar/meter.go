package sidecar

import (
	"time"

	"martendrum"
	"martendrum/internal/metrics"
)

// Meter counts attempts and their outcomes. Its methods may be called from any goroutine, some under
// the Host's lock, and must not block.
type Meter interface {
	// Limited counts a request that the Host itself rejected at a limit.
	Limited(reason metrics.Reason)
	// ProcessingTime observes the time from the receipt of a request to the start of its first
	// attempt.
	ProcessingTime(took time.Duration)
	// AttemptStarted counts the start of an attempt; hedged reports whether another attempt of the
	// request was open.
	AttemptStarted(hedged bool)
	// AttemptWritten counts an attempt whose last byte has been written.
	AttemptWritten()
	// AnswerPaused counts an answer that has begun and then paused.
	AnswerPaused()
	// AttemptFinished counts the end of an attempt; served reports whether its answer is sent to the
	// client.
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

// AnswerPaused implements Meter.
func (unmetered) AnswerPaused() {}

// AttemptFinished implements Meter.
func (unmetered) AttemptFinished(martendrum.Outcome, bool, bool) {}

// SetMeter sets the Host's Meter. It must be called before the first request.
func (h *Host) SetMeter(meter Meter) { h.meter, h.onWritten = meter, meter.AttemptWritten }
