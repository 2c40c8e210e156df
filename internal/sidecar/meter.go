package sidecar

import (
	"time"

	"martendrum"
	"martendrum/internal/metrics"
)

// Meter counts what becomes of attempts. Its methods may be called from any
// goroutine, some under the Host's lock: they must not wait.
type Meter interface {
	Limited(why metrics.Reason)
	// Own takes the time from a request's last byte to its first send.
	Own(took time.Duration)
	// Began takes a send, Wrote one whose last byte has been written, Ended its end;
	// served says that the client gets its answer.
	Began(isCopy bool)
	Wrote()
	Ended(o martendrum.Outcome, isCopy, served bool)
}

// unmetered counts nothing.
type unmetered struct{}

func (unmetered) Limited(metrics.Reason)               {}
func (unmetered) Own(time.Duration)                    {}
func (unmetered) Began(bool)                           {}
func (unmetered) Wrote()                               {}
func (unmetered) Ended(martendrum.Outcome, bool, bool) {}

// SetMeter makes the Host count. It is called before the first request.
func (h *Host) SetMeter(m Meter) { h.meter, h.wrote = m, m.Wrote }
