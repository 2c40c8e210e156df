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

// servedRelay returns the agent's relay, or an error if it is none.
func (a *Agent) servedRelay() (*node.Relay, error) {
	if a.relay == nil {
		return nil, api.Errorf(api.NotRelay, "agent %s is no relay: its configuration has no [relay]", a.config.Name)
	}
	return a.relay, nil
}

// speaksFor checks that a caller may act for a host. Over TLS it needs the host's certificate.
func (a *Agent) speaksFor(c *caller, name string) error {
	if !c.certified || c.id == name {
		return nil
	}
	return api.Errorf(api.Forbidden, "%s may not speak for %s at agent %s", c.id, name, a.config.Name)
}

// speaksForRelay checks that a caller may act for one of the configured relays.
func (a *Agent) speaksForRelay(c *caller, name string) error {
	for _, relay := range a.config.Distribution.Relays {
		if relay.Name == name {
			return a.speaksFor(c, name)
		}
	}
	return api.Errorf(api.Forbidden, "%s is none of the relays of agent %s", name, a.config.Name)
}

// settingsPut publishes a settings resource.
func (a *Agent) settingsPut(_ context.Context, c *caller, in *distribution.Put) (any, error) {
	relay, err := a.servedRelay()
	if err != nil {
		return nil, err
	}
	in.Author = fmt.Sprintf("%.200s", c.who)
	out, err := relay.Put(*in)
	if err != nil {
		return nil, node.RejectionReason(err)
	}
	if out.Changed {
		a.auditSettings(c, "settings.put", in.Name, out.Resource.Revision.String())
	}
	return out, nil
}

// settingsPromote makes this relay the writer.
func (a *Agent) settingsPromote(_ context.Context, c *caller, _ *api.Empty) (any, error) {
	relay, err := a.servedRelay()
	if err != nil {
		return nil, err
	}
	out, err := relay.Promote()
	if err != nil {
		return nil, node.RejectionReason(err)
	}
	a.auditSettings(c, "settings.promote", a.config.Name, fmt.Sprint("epoch ", out.Epoch))
	return out, nil
}

// auditSettings adds an entry to the audit log. The change has been made: an entry that can't be
// written is only logged.
func (a *Agent) auditSettings(c *caller, what, target, result string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.commit(&store.Change{Audit: []api.AuditEntry{{At: time.Now(), Who: c.who, What: what, Target: target, Result: result}}})
}

// settingsGet returns settings resources.
func (a *Agent) settingsGet(_ context.Context, _ *caller, in *api.SettingsGetIn) (any, error) {
	relay, err := a.servedRelay()
	if err != nil {
		return nil, err
	}
	return relay.Get(in), nil
}

// settingsStatus returns the relay's state and that of its hosts.
func (a *Agent) settingsStatus(_ context.Context, _ *caller, in *api.SettingsStatusIn) (any, error) {
	relay, err := a.servedRelay()
	if err != nil {
		return nil, err
	}
	return relay.Status(in), nil
}

// settingsWatch waits for the next update of a host.
func (a *Agent) settingsWatch(ctx context.Context, c *caller, in *api.SettingsWatchIn) (any, error) {
	relay, err := a.servedRelay()
	if err != nil {
		return nil, err
	}
	if err := a.speaksFor(c, in.Host); err != nil {
		return nil, err
	}
	if in.Interest != nil {
		if in.Interest.Host != in.Host {
			return nil, api.Errorf(api.InvalidParams, "an interest of host %q for %q", in.Interest.Host, in.Host)
		}
		if err := in.Interest.Check(); err != nil {
			return nil, node.RejectionReason(err)
		}
	}
	out, err := relay.Watch(ctx, in)
	return out, node.RejectionReason(err)
}

// settingsAck takes a host's state.
func (a *Agent) settingsAck(_ context.Context, c *caller, in *api.SettingsAckIn) (any, error) {
	relay, err := a.servedRelay()
	if err != nil {
		return nil, err
	}
	if err := a.speaksFor(c, in.Host); err != nil {
		return nil, err
	}
	relay.Ack(in)
	return &api.Empty{}, nil
}

// settingsFollow waits for the next entries of the log, for another relay.
func (a *Agent) settingsFollow(ctx context.Context, c *caller, in *api.SettingsFollowIn) (any, error) {
	relay, err := a.servedRelay()
	if err != nil {
		return nil, err
	}
	if err := a.speaksForRelay(c, in.Relay); err != nil {
		return nil, err
	}
	out, err := relay.Follow(ctx, in)
	return out, node.RejectionReason(err)
}

// settingsReport takes the state of another relay's hosts.
func (a *Agent) settingsReport(_ context.Context, c *caller, in *api.SettingsReportIn) (any, error) {
	relay, err := a.servedRelay()
	if err != nil {
		return nil, err
	}
	if err := a.speaksForRelay(c, in.Relay); err != nil {
		return nil, err
	}
	out, err := relay.Report(in)
	return out, node.RejectionReason(err)
}

// settingsWriting takes who the writer is.
func (a *Agent) settingsWriting(_ context.Context, c *caller, in *api.SettingsWriter) (any, error) {
	relay, err := a.servedRelay()
	if err != nil {
		return nil, err
	}
	if c.certified {
		if err := a.speaksForRelay(c, c.id); err != nil {
			return nil, err
		}
	}
	out, err := relay.Learn(*in)
	return out, node.RejectionReason(err)
}
