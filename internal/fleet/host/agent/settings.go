package agent

import (
	"context"
	"crypto/tls"
	"maps"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/connect"
	"martendrum/internal/fleet/distribution"
	"martendrum/internal/fleet/distribution/node"
	"martendrum/internal/fleet/pki"
	"martendrum/internal/fleet/store"
	"martendrum/internal/msgpackrpc"
)

// subscription is the host's subscription to the relays' settings. The agent's mu guards its
// replica.
type subscription struct {
	interest   distribution.Interest // which settings the host receives
	replica    *distribution.Replica // of the settings that the host's instances use
	subscriber *node.Subscriber
}

// startDistribution starts the relay, the subscriber or both, as configured, with the settings
// entries from the record.
func (a *Agent) startDistribution(stored []distribution.Entry) error {
	if a.config.Relay != nil {
		if err := a.startRelay(stored); err != nil {
			return err
		}
	}
	if !a.config.Distribution.Subscribe {
		return nil
	}
	return a.startSubscriber(stored)
}

// startRelay starts the relay, which serves settings to other hosts.
func (a *Agent) startRelay(stored []distribution.Entry) error {
	dial, err := a.relayDialer()
	if err != nil {
		return err
	}
	a.relay, err = node.NewRelay(node.RelayConfig{
		Name: a.config.Name, Relays: a.config.Distribution.Relays, Writer: a.config.Distribution.Writer,
		Subscribers: a.config.Relay.Subscribers,
		Limits:      distribution.Limits{Resources: a.config.Relay.Resources, History: a.config.Relay.History},
		Dial:        dial, Store: a.store,
	}, randomID(), stored)
	return err
}

// startSubscriber starts to receive settings from the relays and restores the instances' settings.
func (a *Agent) startSubscriber(stored []distribution.Entry) error {
	interest := a.interest()
	replica, err := distribution.RestoreReplica(interest, stored)
	if err != nil {
		return err
	}
	for _, inst := range a.instances {
		inst.settings.applier = distribution.NewApplier(inst.config.Name, time.Duration(a.config.Distribution.Coalesce))
		if err := inst.settings.applier.Restore(stored); err != nil {
			return err
		}
	}
	dial, err := a.relayDialer()
	if err != nil {
		return err
	}
	s := &subscription{interest: interest, replica: replica}
	s.subscriber = node.NewSubscriber(node.SubscriberConfig{
		Interest: interest, Region: a.config.Distribution.Region, Zone: a.config.Distribution.Zone,
		Relays: a.config.Distribution.Relays, Limits: distribution.DefaultLimits(), Dial: dial, Replica: hostReplica{a},
	})
	a.settings = s
	a.wantSettings(time.Now())
	a.wg.Go(func() { s.subscriber.Run(a.ctx) })
	return nil
}

// interest returns what the host subscribes to: the settings that apply to at least one of its
// instances.
func (a *Agent) interest() distribution.Interest {
	interest := distribution.Interest{Host: a.config.Name}
	for _, name := range a.instanceNames {
		interest.Instances = append(interest.Instances, a.settingsLabels(a.instances[name]))
	}
	return interest
}

// settingsLabels returns the labels of an instance against which the scopes of settings are
// matched: those of the host, overridden by the instance's own.
func (a *Agent) settingsLabels(inst *instance) map[string]string {
	labels := map[string]string{"host": a.config.Name, "instance": inst.config.Name}
	if a.config.Distribution.Region != "" {
		labels["region"] = a.config.Distribution.Region
	}
	if a.config.Distribution.Zone != "" {
		labels["zone"] = a.config.Distribution.Zone
	}
	maps.Copy(labels, inst.config.Labels)
	return labels
}

// relayDialer returns a dialer that uses the agent's own certificate, if it has one.
func (a *Agent) relayDialer() (node.Dialer, error) {
	var config *tls.Config
	if files := &a.config.TLS; files.Cert != "" {
		var err error
		if config, err = pki.LoadTLS(files.CA, files.Cert, files.Key); err != nil {
			return nil, err
		}
	}
	return func(ctx context.Context, relay distribution.Relay) (node.Conn, error) {
		target := connect.Target{Agent: relay.Name, Address: relay.Address, TLS: config}
		client, err := connect.Dial(ctx, target, "agent "+a.config.Name, msgpackrpc.Limits{Message: connectionLimits.Message})
		if err != nil {
			return nil, err
		}
		return connect.Caller{Client: client}, nil
	}, nil
}

// hostReplica implements node.Replica for the agent's subscriber.
type hostReplica struct{ agent *Agent }

// Apply implements node.Replica. The update is written to the record before any instance gets it.
func (r hostReplica) Apply(update distribution.Update) error {
	a := r.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.settings
	before := s.replica.Clone()
	changed, err := s.replica.Apply(update)
	if err != nil {
		return err
	}
	if !changed && before.Revision().Epoch == s.replica.Revision().Epoch {
		return nil // needs no write: after a restart the same update is requested again
	}
	batch := s.replica.Batch(before)
	if err := a.commit(&store.Change{Settings: batch.Put, DropSettings: batch.Drop}); err != nil {
		s.replica = before
		return err
	}
	a.wantSettings(time.Now())
	return nil
}

// State implements node.Replica.
func (r hostReplica) State() distribution.HostState {
	r.agent.mu.Lock()
	defer r.agent.mu.Unlock()
	return r.agent.hostState()
}

// wantSettings passes the settings that apply to each instance to its applier. The caller holds
// a.mu.
func (a *Agent) wantSettings(now time.Time) {
	if a.settings.replica.Revision().IsZero() {
		return // no update has arrived yet: the accepted settings stay in force
	}
	for _, inst := range a.instances {
		inst.settings.applier.SetWanted(now, a.settings.replica.ResourcesFor(a.config.Name, a.settingsLabels(inst)))
		inst.wakeUp()
	}
}

// hostState returns how far the host has applied the settings that it received, and updates
// settledAt of its instances. Pending settings of an instance do not count while the instance should
// not run. The caller holds a.mu.
func (a *Agent) hostState() distribution.HostState {
	received := a.settings.replica.Revision()
	state := distribution.HostState{Received: received, Applied: received, Settled: true}
	for _, name := range a.instanceNames {
		inst := a.instances[name]
		state.Rejections = append(state.Rejections, inst.settings.applier.Rejections()...)
		if !inst.settings.applier.Pending() {
			inst.settings.settledAt = received
		}
		if inst.stored.Desired != api.Running || !inst.settings.applier.Pending() {
			continue
		}
		if state.Settled {
			state.Waiting = name + ": " + a.settingsWait(inst, time.Now())
		}
		state.Settled = false
		if state.Applied.After(inst.settings.settledAt) {
			state.Applied = inst.settings.settledAt
		}
	}
	return state
}

// settingsEntries returns the instance's settings entries for the record. The caller holds the
// agent's mu.
func (inst *instance) settingsEntries() []distribution.Entry {
	if inst.settings.applier == nil {
		return nil
	}
	return []distribution.Entry{inst.settings.applier.Entry()}
}

// instanceSettings returns the state of an instance's distributed settings for inspect, nil if the
// host does not subscribe. The caller holds a.mu.
func (a *Agent) instanceSettings(inst *instance) *api.InstanceSettings {
	if inst.settings.applier == nil {
		return nil
	}
	out := &api.InstanceSettings{Received: a.settings.replica.Revision(), Relay: a.settings.subscriber.Relay(), Rejections: inst.settings.applier.Rejections()}
	for _, resource := range inst.settings.applier.Accepted() {
		out.Accepted = append(out.Accepted, api.AcceptedSettings{Name: resource.Name, Revision: resource.Revision})
	}
	if inst.settings.applier.Pending() {
		out.Waiting = a.settingsWait(inst, time.Now())
		if out.Waiting == "" {
			out.Waiting = "further changes may arrive within the coalescing delay"
		}
	}
	return out
}
