package sidecar

import (
	"time"

	"martendrum"
	"martendrum/internal/metrics"
)

// Meter counts what becomes of attempts. Its methods may be called from any
// goroutine, some under the Host's lock: they must not wait.
type Meter interface {
	// Limited counts a request that the Host itself refused.
	Limited(why metrics.Reason)
	// Own observes the time from a request's last byte to its first send.
	Own(took time.Duration)
	// Began counts an attempt that is sent.
	Began(isCopy bool)
	// Wrote counts an attempt whose last byte has been written.
	Wrote()
	// Ended counts the end of an attempt; served means that the client gets its answer.
	Ended(outcome martendrum.Outcome, isCopy, served bool)
}

// unmetered is a Meter that counts nothing.
type unmetered struct{}

func (unmetered) Limited(metrics.Reason)               {}
func (unmetered) Own(time.Duration)                    {}
func (unmetered) Began(bool)                           {}
func (unmetered) Wrote()                               {}
func (unmetered) Ended(martendrum.Outcome, bool, bool) {}

// SetMeter sets the Host's Meter. It is called before the first request.
func (h *Host) SetMeter(meter Meter) { h.meter, h.wrote = meter, meter.Wrote }
