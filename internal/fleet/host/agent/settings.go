package agent

import (
	"context"
	"crypto/tls"
	"fmt"
	"log/slog"
	"maps"
	"syscall"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/connect"
	"martendrum/internal/fleet/distribution"
	"martendrum/internal/fleet/distribution/node"
	"martendrum/internal/fleet/host/supervisor"
	"martendrum/internal/fleet/pki"
	"martendrum/internal/fleet/store"
	"martendrum/internal/msgpackrpc"
)

// settingsAttempt is distributed settings on their way into an instance: its file is written
// and the process has got SIGHUP.
type settingsAttempt struct {
	process    *Process
	configHash string    // of the configuration that it was given
	sent       time.Time // the SIGHUP
}

// maxCrashes is how many processes may end while they take the same settings before these
// count as refused: the first end may have had another cause.
const maxCrashes = 2

// unconfirmedDelay is when settings count as taken by a program that does not tell which
// configuration it runs.
const unconfirmedDelay = time.Second

// subscription is the host's copy of the settings that concern its instances. The agent's
// lock guards it.
type subscription struct {
	interest   distribution.Interest
	replica    *distribution.Replica
	subscriber *node.Subscriber
}

// startDistribution begins to serve and to follow settings as the configuration says. rows
// are those of the record.
func (a *Agent) startDistribution(rows []distribution.Entry) error {
	if a.config.Relay != nil {
		if err := a.startRelay(rows); err != nil {
			return err
		}
	}
	if !a.config.Distribution.Subscribe {
		return nil
	}
	return a.startSubscriber(rows)
}

func (a *Agent) startRelay(rows []distribution.Entry) error {
	dial, err := a.relayDialer()
	if err != nil {
		return err
	}
	a.relay, err = node.NewRelay(node.RelayConfig{
		Name: a.config.Name, Relays: a.config.Distribution.Relays, Writer: a.config.Distribution.Writer,
		Subscribers: a.config.Relay.Subscribers,
		Limits:      distribution.Limits{Resources: a.config.Relay.Resources, History: a.config.Relay.History},
		Dial:        dial, Store: a.store,
	}, random(), rows)
	return err
}

func (a *Agent) startSubscriber(rows []distribution.Entry) error {
	interest := a.interest()
	replica, err := distribution.RestoreReplica(interest, rows)
	if err != nil {
		return err
	}
	for _, i := range a.instances {
		i.applier = distribution.NewApplier(i.config.Name, time.Duration(a.config.Distribution.Coalesce))
		if err := i.applier.Restore(rows); err != nil {
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
		Relays: a.config.Distribution.Relays, Limits: distribution.DefaultLimits(), Dial: dial, Copy: hostReplica{a},
	})
	a.settings = s
	a.wantSettings(time.Now())
	a.wg.Go(func() { s.subscriber.Run(a.ctx) })
	return nil
}

// interest is the labels of each instance with those of the host.
func (a *Agent) interest() distribution.Interest {
	interest := distribution.Interest{Host: a.config.Name}
	for _, name := range a.instanceNames {
		interest.Instances = append(interest.Instances, a.settingsLabels(a.instances[name]))
	}
	return interest
}

// settingsLabels are the labels by which a scope names an instance: its own, and those of
// its host where it has none of that name.
func (a *Agent) settingsLabels(i *instance) map[string]string {
	labels := map[string]string{"host": a.config.Name, "instance": i.config.Name}
	if a.config.Distribution.Region != "" {
		labels["region"] = a.config.Distribution.Region
	}
	if a.config.Distribution.Zone != "" {
		labels["zone"] = a.config.Distribution.Zone
	}
	maps.Copy(labels, i.config.Labels)
	return labels
}

// relayDialer connects to relays with the agent's own certificate.
func (a *Agent) relayDialer() (node.Dialer, error) {
	var config *tls.Config
	if t := &a.config.TLS; t.Cert != "" {
		var err error
		if config, err = pki.TLS(t.CA, t.Cert, t.Key); err != nil {
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

// hostReplica is the agent as its subscriber sees it.
type hostReplica struct{ agent *Agent }

// Take implements node.Copy: the update is in the record before any instance gets it.
func (c hostReplica) Take(update distribution.Update) error {
	a := c.agent
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.settings
	before := s.replica.Clone()
	changed, err := s.replica.Take(update)
	if err != nil {
		return err
	}
	if !changed && before.Revision().Epoch == s.replica.Revision().Epoch {
		return nil // the record may lag behind: the same is asked for again
	}
	batch := s.replica.Batch(before)
	if err := a.commit(&store.Change{Settings: batch.Put, DropSettings: batch.Drop}); err != nil {
		s.replica = before
		return err
	}
	a.wantSettings(time.Now())
	return nil
}

// State implements node.Copy.
func (c hostReplica) State() distribution.HostState {
	c.agent.mu.Lock()
	defer c.agent.mu.Unlock()
	return c.agent.hostState()
}

// wantSettings tells each instance's applier what concerns it; the lock is held.
func (a *Agent) wantSettings(now time.Time) {
	if a.settings.replica.Revision().IsZero() {
		return // nothing was ever heard: what was accepted stays
	}
	for _, i := range a.instances {
		i.applier.Want(now, a.settings.replica.For(a.config.Name, a.settingsLabels(i)))
		i.wakeUp()
	}
}

// hostState is how far the host is; the lock is held. Instances that are not wanted to run
// keep nothing back, but count again with what they have once they are.
func (a *Agent) hostState() distribution.HostState {
	received := a.settings.replica.Revision()
	state := distribution.HostState{Received: received, Applied: received, Settled: true}
	for _, name := range a.instanceNames {
		i := a.instances[name]
		state.Rejections = append(state.Rejections, i.applier.Rejections()...)
		if !i.applier.Pending() {
			i.settledAt = received
		}
		if i.stored.Desired != api.Running || !i.applier.Pending() {
			continue
		}
		if state.Settled {
			state.Waiting = name + ": " + a.settingsWait(i, time.Now())
		}
		state.Settled = false
		if state.Applied.After(i.settledAt) {
			state.Applied = i.settledAt
		}
	}
	return state
}

// settingsWait is why an instance is not given settings now, "" if it may be. An operation
// that holds a live lease, or has a step under way, goes first: it decides what the instance
// runs, and what is distributed follows when it lets go. The lock is held.
func (a *Agent) settingsWait(i *instance, now time.Time) string {
	switch lease := a.leases.ByInstance[i.config.Name]; {
	case i.step != nil:
		return "operation " + i.step.Op + " changes it"
	case lease.Live(now):
		return "operation " + lease.Op + " holds it"
	case i.process == nil || i.supervisor.Phase() != supervisor.Ready:
		return fmt.Sprintf("it is %s", i.supervisor.Phase())
	case i.previous != nil:
		return "a new process takes over"
	case now.Sub(i.stored.Launched) < minReloadAge:
		return "its process has just begun"
	case i.attempt != nil:
		return "its answer is awaited"
	}
	return ""
}

// applySettings carries distributed settings into an instance, a step at each call, and
// returns when it should be called again; the zero time is at the next event.
func (a *Agent) applySettings(i *instance) time.Time {
	a.mu.Lock()
	if i.applier == nil {
		a.mu.Unlock()
		return time.Time{}
	}
	now := time.Now()
	a.reportPending(i)
	if i.attempt != nil {
		process, hash := i.attempt.process, i.stored.Running
		refused := a.settleAttempt(i, now)
		a.mu.Unlock()
		if refused {
			a.restoreSettings(i, process, hash)
		}
		return time.Time{}
	}
	due, pending := i.applier.Due()
	if !pending {
		a.mu.Unlock()
		return time.Time{}
	}
	if now.Before(due) {
		a.mu.Unlock()
		return due
	}
	if a.settingsWait(i, now) != "" {
		a.mu.Unlock()
		return now.Add(activeInterval)
	}
	settings, process, hash := i.applier.Begin(), i.process, i.stored.Running
	a.mu.Unlock()
	sum, err := a.configureWith(i, hash, settings, random())
	if err == nil {
		err = process.Signal(syscall.SIGHUP)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		i.applier.Abandon()
	} else {
		i.attempt = &settingsAttempt{process: process, configHash: sum, sent: now}
	}
	return now.Add(activeInterval)
}

// reportPending has the relay told when an instance begins or ceases to wait for settings. That
// also changes without an update or an attempt: a start, an operation that lets it run again.
// The lock is held.
func (a *Agent) reportPending(i *instance) {
	pending := i.stored.Desired == api.Running && i.applier.Pending()
	if pending == i.pendingReported {
		return
	}
	i.pendingReported = pending
	a.settings.subscriber.Changed()
}

// settleAttempt looks how an attempt stands, and says whether the process, which lives, has
// refused it. The lock is held.
func (a *Agent) settleAttempt(i *instance, now time.Time) (refused bool) {
	waited := now.Sub(i.attempt.sent)
	switch {
	case i.step != nil:
		i.attempt = nil
		i.applier.Abandon()
	case i.process != i.attempt.process:
		a.crashedAttempt(i)
	case i.configHash == i.attempt.configHash, i.configHash == "" && waited > unconfirmedDelay:
		a.endAttempt(i, true, "")
	case waited > reloadTimeout:
		a.endAttempt(i, false, lastLogProblem(a.logPath(i.config.Name)))
		return true
	}
	return false
}

// crashedAttempt takes the end of a process that had been given settings. The next one is
// started with the last accepted ones. The lock is held.
func (a *Agent) crashedAttempt(i *instance) {
	i.attemptCrashes++
	if i.attemptCrashes < maxCrashes {
		i.attempt = nil
		i.applier.Abandon()
		return
	}
	a.endAttempt(i, false, "its process ended while it took them: "+i.stored.LastExit)
}

// endAttempt takes the instance's answer; the lock is held.
func (a *Agent) endAttempt(i *instance, accepted bool, reason string) {
	i.attempt, i.attemptCrashes = nil, 0
	i.applier.Done(accepted, reason)
	if a.commit(&store.Change{Settings: []distribution.Entry{i.applier.Entry()}}) != nil {
		i.dirty = true // written again with its row
	}
	a.settings.subscriber.Changed()
}

// restoreSettings puts the last accepted settings back into the file of an instance that has
// refused others, and has it read them: a process that was only late may have taken the
// others by now.
func (a *Agent) restoreSettings(i *instance, process *Process, hash string) {
	err := a.configure(i, hash, random())
	if err == nil {
		err = process.Signal(syscall.SIGHUP)
	}
	if err != nil {
		slog.Warn("an instance's file may hold settings that it refused", "instance", i.config.Name, "err", err)
	}
}

// programStarted lets settings that an earlier program refused be tried again by another
// one; until then the instance counts as having nothing. The agent's lock is held.
func (i *instance) programStarted(release string, now time.Time) {
	before := i.program
	i.program = release
	if i.applier == nil || before == "" || before == release || len(i.applier.Rejections()) == 0 {
		return
	}
	i.applier.Forgive(now)
	i.settledAt = distribution.Revision{}
}

// settingsRows are an instance's rows of the distribution; the lock is held.
func (i *instance) settingsRows() []distribution.Entry {
	if i.applier == nil {
		return nil
	}
	return []distribution.Entry{i.applier.Entry()}
}

// instanceSettings is what inspect tells of an instance's distributed settings; the lock is
// held.
func (a *Agent) instanceSettings(i *instance) *api.InstanceSettings {
	if i.applier == nil {
		return nil
	}
	out := &api.InstanceSettings{Received: a.settings.replica.Revision(), Relay: a.settings.subscriber.Relay(), Rejections: i.applier.Rejections()}
	for _, resource := range i.applier.Accepted() {
		out.Accepted = append(out.Accepted, api.AcceptedSettings{Name: resource.Name, Revision: resource.Revision})
	}
	if i.applier.Pending() {
		out.Waiting = a.settingsWait(i, time.Now())
		if out.Waiting == "" {
			out.Waiting = "changes are gathered"
		}
	}
	return out
}
