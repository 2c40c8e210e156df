package agent

import (
	"context"
	"fmt"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/distribution"
	"martendrum/internal/fleet/distribution/node"
	"martendrum/internal/fleet/store"
)

// servedRelay returns the agent's relay, or an error if the agent is not a relay.
func (a *Agent) servedRelay() (*node.Relay, error) {
	if a.relay == nil {
		return nil, api.Errorf(api.NotRelay, "agent %s is not a relay: its configuration has no section [relay]", a.config.Name)
	}
	return a.relay, nil
}

// checkActsForHost checks that a caller may act for a host. Over TLS the caller needs the host's
// certificate.
func (a *Agent) checkActsForHost(c *caller, name string) error {
	if !c.certified || c.id == name {
		return nil
	}
	return api.Errorf(api.Forbidden, "%s may not act for %s at agent %s", c.id, name, a.config.Name)
}

// checkActsForRelay checks that a name is that of a configured relay and that a caller may act for
// that relay.
func (a *Agent) checkActsForRelay(c *caller, name string) error {
	for _, relay := range a.config.Distribution.Relays {
		if relay.Name == name {
			return a.checkActsForHost(c, name)
		}
	}
	return api.Errorf(api.Forbidden, "%s is not a relay in the configuration of agent %s", name, a.config.Name)
}

// settingsPut publishes a settings resource through the relay.
func (a *Agent) settingsPut(_ context.Context, c *caller, in *distribution.Put) (any, error) {
	relay, err := a.servedRelay()
	if err != nil {
		return nil, err
	}
	in.Author = fmt.Sprintf("%.200s", c.who)
	out, err := relay.Put(*in)
	if err != nil {
		return nil, node.WireError(err)
	}
	if out.Changed {
		a.auditSettings(c, "settings.put", in.Name, out.Resource.Revision.String())
	}
	return out, nil
}

// settingsPromote makes the agent's relay the writer.
func (a *Agent) settingsPromote(_ context.Context, c *caller, _ *api.Empty) (any, error) {
	relay, err := a.servedRelay()
	if err != nil {
		return nil, err
	}
	out, err := relay.Promote()
	if err != nil {
		return nil, node.WireError(err)
	}
	a.auditSettings(c, "settings.promote", a.config.Name, fmt.Sprint("epoch ", out.Epoch))
	return out, nil
}

// auditSettings adds an entry to the audit log for a change of settings that has been made. An
// entry that can't be written is only logged.
func (a *Agent) auditSettings(c *caller, what, target, result string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.commit(&store.Change{Audit: []api.AuditEntry{{At: time.Now(), Who: c.who, What: what, Target: target, Result: result}}})
}

// settingsGet returns the settings resources that the caller selects.
func (a *Agent) settingsGet(_ context.Context, _ *caller, in *api.SettingsGetIn) (any, error) {
	relay, err := a.servedRelay()
	if err != nil {
		return nil, err
	}
	return relay.Get(in), nil
}

// settingsStatus returns the state of the relay and of the hosts.
func (a *Agent) settingsStatus(_ context.Context, _ *caller, in *api.SettingsStatusIn) (any, error) {
	relay, err := a.servedRelay()
	if err != nil {
		return nil, err
	}
	return relay.Status(in), nil
}

// settingsWatch waits for the next update for a host that subscribes, and returns it.
func (a *Agent) settingsWatch(ctx context.Context, c *caller, in *api.SettingsWatchIn) (any, error) {
	relay, err := a.servedRelay()
	if err != nil {
		return nil, err
	}
	if err := a.checkActsForHost(c, in.Host); err != nil {
		return nil, err
	}
	if in.Interest != nil {
		if in.Interest.Host != in.Host {
			return nil, api.Errorf(api.InvalidParams, "the interest is that of host %q; want host %q", in.Interest.Host, in.Host)
		}
		if err := in.Interest.Check(); err != nil {
			return nil, node.WireError(err)
		}
	}
	out, err := relay.Watch(ctx, in)
	return out, node.WireError(err)
}

// settingsAck stores the state that a host reports.
func (a *Agent) settingsAck(_ context.Context, c *caller, in *api.SettingsAckIn) (any, error) {
	relay, err := a.servedRelay()
	if err != nil {
		return nil, err
	}
	if err := a.checkActsForHost(c, in.Host); err != nil {
		return nil, err
	}
	relay.Ack(in)
	return &api.Empty{}, nil
}

// settingsFollow waits for the next entries of the log of changes, for another relay, and returns
// them.
func (a *Agent) settingsFollow(ctx context.Context, c *caller, in *api.SettingsFollowIn) (any, error) {
	relay, err := a.servedRelay()
	if err != nil {
		return nil, err
	}
	if err := a.checkActsForRelay(c, in.Relay); err != nil {
		return nil, err
	}
	out, err := relay.Follow(ctx, in)
	return out, node.WireError(err)
}

// settingsReport stores the state of another relay's hosts, which that relay reports.
func (a *Agent) settingsReport(_ context.Context, c *caller, in *api.SettingsReportIn) (any, error) {
	relay, err := a.servedRelay()
	if err != nil {
		return nil, err
	}
	if err := a.checkActsForRelay(c, in.Relay); err != nil {
		return nil, err
	}
	out, err := relay.Report(in)
	return out, node.WireError(err)
}

// settingsExchangeWriter stores which relay is the writer, as another relay reports it, and returns
// the writer that this relay then knows.
func (a *Agent) settingsExchangeWriter(_ context.Context, c *caller, in *api.SettingsWriter) (any, error) {
	relay, err := a.servedRelay()
	if err != nil {
		return nil, err
	}
	if c.certified {
		if err := a.checkActsForRelay(c, c.id); err != nil {
			return nil, err
		}
	}
	out, err := relay.LearnWriter(*in)
	return out, node.WireError(err)
}
