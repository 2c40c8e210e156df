package main

import (
	"fmt"
	"time"

	"martendrum"
	"martendrum/internal/settings"
	"martendrum/internal/wire"
)

// instance is one balancer and its place on the wire; it is the balancer's
// Host.
type instance struct {
	id    string
	reply *wire.Reply
	b     *martendrum.Balancer
	set   *settings.Settings
}

// event hands one event to the balancer.
func (i *instance) event(e *wire.Event, a *adapter) error {
	now, id := a.now, martendrum.RequestID(e.ID)
	switch e.Kind {
	case wire.ServersChanged:
		switch how := string(e.Change); how {
		case "patch":
			i.b.ServersChanged(now, a.lists[e.ListNumber])
		case "whole", "stale_copy":
			i.b.ServersListed(now, a.lists[e.ListNumber])
		case "broken":
			i.b.DiscoveryFailed(now)
		default:
			return fmt.Errorf("unknown kind of list %q", how)
		}
	case wire.RequestArrived:
		i.b.Arrive(now, martendrum.Request{
			ID:       id,
			Class:    i.set.Class(e.Class),
			Tenant:   i.set.Tenant(e.Tenant),
			Deadline: micros(e.DeadlineMicros),
		})
	case wire.StreamStarted:
		i.b.StreamStarted(now, id, e.Attempt)
	case wire.AttemptFinished:
		o, ok := outcomes[e.OutcomeCode]
		if !ok {
			return fmt.Errorf("unknown ending %d", e.OutcomeCode)
		}
		i.b.AttemptFinished(now, id, e.Attempt, o, e.Finished, report(e.Report))
	case wire.ProbeAnswered:
		i.b.ProbeAnswered(now, string(e.Server), report(e.Report))
	case wire.ClientDisconnected:
		i.b.ClientDisconnected(now, id)
	case wire.TimerFired:
		i.b.TimerFired(now, e.Cookie)
	}
	return nil
}

var outcomes = map[int]martendrum.Outcome{
	200: martendrum.OK,
	502: martendrum.ServerError,
	429: martendrum.Rejected,
	408: martendrum.TimedOut,
	521: martendrum.ConnectFailed,
	520: martendrum.Reset,
	444: martendrum.Cancelled,
	409: martendrum.NotSent,
}

func report(l wire.LoadReport) martendrum.LoadReport {
	return martendrum.LoadReport{HasInFlight: l.HasInFlight, InFlight: l.InFlight, HasUtilization: l.HasUtilization, Utilization: l.Utilization}
}

// Send implements martendrum.Host.
func (i *instance) Send(id martendrum.RequestID, server string, timeout, _ time.Duration) {
	i.reply.Send(i.id, uint64(id), server, timeout.Microseconds())
}

// Cancel implements martendrum.Host.
func (i *instance) Cancel(id martendrum.RequestID, attempt int) {
	i.reply.Cancel(i.id, uint64(id), attempt)
}

// Reject implements martendrum.Host.
func (i *instance) Reject(id martendrum.RequestID, retryAfter time.Duration) {
	i.reply.Reject(i.id, uint64(id), retryAfter.Microseconds())
}

// Fail implements martendrum.Host.
func (i *instance) Fail(id martendrum.RequestID) { i.reply.Fail(i.id, uint64(id)) }

// SetTimer implements martendrum.Host.
func (i *instance) SetTimer(cookie uint64, after time.Duration) {
	i.reply.SetTimer(i.id, cookie, after.Microseconds())
}

// CloseIdle implements martendrum.Host.
func (i *instance) CloseIdle(server string) { i.reply.CloseIdle(i.id, server) }

// Probe implements martendrum.Host.
func (i *instance) Probe(server string) { i.reply.Probe(i.id, server) }

// Subscribe implements martendrum.Host.
func (i *instance) Subscribe() { i.reply.Subscribe(i.id) }

func endpoints(hosts []wire.ListEntry) []martendrum.Endpoint {
	list := make([]martendrum.Endpoint, len(hosts))
	for n, h := range hosts {
		state := martendrum.Serving
		switch h.Health {
		case "DRAINING":
			state = martendrum.Draining
		case "DELETED":
			state = martendrum.Removed
		}
		list[n] = martendrum.Endpoint{
			Name:         h.Server,
			Zone:         h.Zone,
			Group:        h.Group,
			CapacityHint: h.CapacityHint,
			Started:      micros(h.StartedMicros),
			State:        state,
		}
	}
	return list
}
