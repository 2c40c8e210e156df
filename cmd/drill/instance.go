package main

import (
	"fmt"
	"time"

	"chalkrack"
	"chalkrack/internal/settings"
	"chalkrack/internal/wire"
)

// instance is one balancer and its place on the wire; it is the balancer's
// Host.
type instance struct {
	id    string
	reply *wire.Reply
	b     *chalkrack.Balancer
	set   *settings.Settings
}

// event hands one event to the balancer.
func (i *instance) event(e *wire.Event, d *drill) error {
	now, id := d.now, chalkrack.RequestID(e.ID)
	switch e.Kind {
	case wire.BackendsChanged:
		switch how := string(e.How); how {
		case "patch":
			i.b.ServersChanged(now, d.lists[e.List])
		case "whole", "stale_copy":
			i.b.ServersListed(now, d.lists[e.List])
		case "broken":
			i.b.DiscoveryFailed(now)
		default:
			return fmt.Errorf("unknown kind of list %q", how)
		}
	case wire.Knock:
		i.b.Arrive(now, chalkrack.Request{
			ID:       id,
			Class:    i.set.Class(e.Class),
			Tenant:   i.set.Tenant(e.Tenant),
			Deadline: micros(e.Deadline),
		})
	case wire.HeadReceived:
		i.b.Started(now, id, e.Copy)
	case wire.Finished:
		o, ok := outcomes[e.Ending]
		if !ok {
			return fmt.Errorf("unknown ending %d", e.Ending)
		}
		i.b.Done(now, id, e.Copy, o, e.Over, report(e.Load))
	case wire.Checked:
		i.b.Probed(now, string(e.Server), report(e.Load))
	case wire.TimedOutClient:
		i.b.ClientGone(now, id)
	case wire.Wakeup:
		i.b.Timer(now, e.Cookie)
	}
	return nil
}

var outcomes = map[int]chalkrack.Outcome{
	200: chalkrack.OK,
	502: chalkrack.ServerError,
	429: chalkrack.Full,
	408: chalkrack.TimedOut,
	521: chalkrack.ConnectFailed,
	520: chalkrack.Reset,
	444: chalkrack.Cancelled,
	409: chalkrack.NotSent,
}

func report(l wire.Load) chalkrack.Report {
	return chalkrack.Report{HasInFlight: l.HasBusyReqs, InFlight: l.BusyReqs, HasUtil: l.HasCPUShare, Util: l.CPUShare}
}

// Send implements chalkrack.Host.
func (i *instance) Send(id chalkrack.RequestID, server string, timeout, _ time.Duration) {
	i.reply.Route(i.id, uint64(id), server, timeout.Microseconds())
}

// Cancel implements chalkrack.Host.
func (i *instance) Cancel(id chalkrack.RequestID, attempt int) {
	i.reply.AbortAttempt(i.id, uint64(id), attempt)
}

// Refuse implements chalkrack.Host.
func (i *instance) Refuse(id chalkrack.RequestID, retryAfter time.Duration) {
	i.reply.NotNow(i.id, uint64(id), retryAfter.Microseconds())
}

// Fail implements chalkrack.Host.
func (i *instance) Fail(id chalkrack.RequestID) { i.reply.DropRequest(i.id, uint64(id)) }

// SetTimer implements chalkrack.Host.
func (i *instance) SetTimer(cookie uint64, after time.Duration) {
	i.reply.SetTimer(i.id, cookie, after.Microseconds())
}

// CloseIdle implements chalkrack.Host.
func (i *instance) CloseIdle(server string) { i.reply.DropConns(i.id, server) }

// Probe implements chalkrack.Host.
func (i *instance) Probe(server string) { i.reply.Probe(i.id, server) }

// Subscribe implements chalkrack.Host.
func (i *instance) Subscribe() { i.reply.KeepInformed(i.id) }

func endpoints(hosts []wire.Host) []chalkrack.Endpoint {
	list := make([]chalkrack.Endpoint, len(hosts))
	for n, h := range hosts {
		state := chalkrack.Serving
		switch h.Health {
		case "DRAINING":
			state = chalkrack.Draining
		case "DELETED":
			state = chalkrack.Gone
		}
		list[n] = chalkrack.Endpoint{
			Name:    h.Server,
			Zone:    h.Zone,
			Group:   h.Group,
			Hint:    h.Hint,
			Started: micros(h.StartUs),
			State:   state,
		}
	}
	return list
}
