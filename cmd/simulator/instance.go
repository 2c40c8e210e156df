package main

import (
	"fmt"
	"time"

	"martendrum"
	"martendrum/internal/settings"
	"martendrum/internal/wire"
)

// instance is one balancer with its ID on the wire. It implements martendrum.Host for the balancer by
// writing each action to the reply.
type instance struct {
	id       string
	reply    *wire.Reply
	balancer *martendrum.Balancer
	settings *settings.Settings
}

// handle passes one event to the balancer. It returns an error if the event is invalid.
func (i *instance) handle(e *wire.Event, a *adapter) error {
	now := a.now
	id := martendrum.RequestID(e.ID)
	switch e.Kind {
	case wire.ServersChanged:
		switch change := string(e.Change); change {
		case wire.ChangePartial:
			i.balancer.ServersChanged(now, a.lists[e.ListNumber])
		case wire.ChangeComplete, wire.ChangeStale:
			i.balancer.ServersListed(now, a.lists[e.ListNumber])
		case wire.ChangeFailed:
			i.balancer.DiscoveryFailed(now)
		default:
			return fmt.Errorf("unknown kind of server-list change %q", change)
		}
	case wire.RequestArrived:
		i.balancer.Arrive(now, martendrum.Request{
			ID:       id,
			Class:    i.settings.ClassIndex(e.Class),
			Tenant:   i.settings.TenantIndex(e.Tenant),
			Deadline: micros(e.DeadlineMicros),
		})
	case wire.StreamStarted:
		i.balancer.StreamStarted(now, id, e.Attempt)
	case wire.AttemptFinished:
		outcome, ok := outcomes[e.OutcomeCode]
		if !ok {
			return fmt.Errorf("unknown outcome code %d", e.OutcomeCode)
		}
		i.balancer.AttemptFinished(now, id, e.Attempt, outcome, e.Finished, loadReport(e.Report))
	case wire.ProbeAnswered:
		i.balancer.ProbeAnswered(now, string(e.Server), loadReport(e.Report))
	case wire.ClientDisconnected:
		i.balancer.ClientDisconnected(now, id)
	case wire.TimerFired:
		i.balancer.TimerFired(now, e.Cookie)
	}
	return nil
}

// outcomes maps the outcome codes on the wire to outcomes of an attempt.
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

// loadReport converts a load report from the form on the wire.
func loadReport(r wire.LoadReport) martendrum.LoadReport {
	return martendrum.LoadReport{
		HasInFlight:    r.HasInFlight,
		InFlight:       r.InFlight,
		HasUtilization: r.HasUtilization,
		Utilization:    r.Utilization,
	}
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

// endpoints converts a server list from the form on the wire.
func endpoints(entries []wire.ListEntry) []martendrum.Endpoint {
	list := make([]martendrum.Endpoint, len(entries))
	for n, entry := range entries {
		state := martendrum.Serving
		switch entry.Health {
		case wire.HealthDraining:
			state = martendrum.Draining
		case wire.HealthRemoved:
			state = martendrum.Removed
		}
		list[n] = martendrum.Endpoint{
			Name:         entry.Server,
			Zone:         entry.Zone,
			Group:        entry.Group,
			CapacityHint: entry.CapacityHint,
			Started:      micros(entry.StartedMicros),
			State:        state,
		}
	}
	return list
}
