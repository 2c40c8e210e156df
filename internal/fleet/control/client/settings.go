package client

import (
	"context"
	"errors"
	"fmt"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/distribution"
)

// RelayLabel is the label, with the value "true", of the inventory's hosts that are relays.
const RelayLabel = "relay"

// NoRelayError reports an inventory without a relay.
type NoRelayError struct{}

// Error implements error.
func (*NoRelayError) Error() string { return "no host of the inventory is a relay" }

// Advice says what an operator can do.
func (*NoRelayError) Advice() string {
	return `name one with --relay, or give the relays' hosts the label relay = "true"`
}

// relays returns the agent of the named host, or for "" those that the inventory labels as relays.
func (f *Fleet) relays(name string) ([]*Agent, error) {
	if name != "" {
		agent := f.Agent(name)
		if agent == nil {
			return nil, &UnknownHostError{Host: name}
		}
		return []*Agent{agent}, nil
	}
	var relays []*Agent
	for _, agent := range f.Agents {
		if agent.Host.Labels[RelayLabel] == "true" {
			relays = append(relays, agent)
		}
	}
	if len(relays) == 0 {
		missing := &NoRelayError{}
		return nil, fmt.Errorf("%w; %s", missing, missing.Advice())
	}
	return relays, nil
}

// writer returns the writer of the settings with the highest epoch that the relays know.
func (f *Fleet) writer(ctx context.Context, relay string) (*Agent, error) {
	relays, err := f.relays(relay)
	if err != nil {
		return nil, err
	}
	var known api.SettingsWriter
	var failed error
	for _, agent := range relays {
		var out api.SettingsStatusOut
		if err := agent.Call(ctx, api.SettingsStatus, &api.SettingsStatusIn{}, &out); err != nil {
			failed = err
			continue
		}
		if out.Writer.Epoch > known.Epoch {
			known = out.Writer
		}
	}
	if known.Writer == "" {
		return nil, failed
	}
	if agent := f.Agent(known.Writer); agent != nil {
		return agent, nil
	}
	return nil, fmt.Errorf("the settings' writer is %s, which is not in the inventory", known.Writer)
}

// Publish changes the distributed settings. relay names the relay that knows the writer, "" for any.
// It is idempotent: a change that may have been made can be published again.
func (f *Fleet) Publish(ctx context.Context, relay string, put distribution.Put) (*api.SettingsPutOut, error) {
	writer, err := f.writer(ctx, relay)
	if err != nil {
		return nil, err
	}
	out := &api.SettingsPutOut{}
	if err := writer.Call(ctx, api.SettingsPut, &put, out); err != nil {
		return nil, err
	}
	return out, nil
}

// Promote makes a relay the writer.
func (f *Fleet) Promote(ctx context.Context, host string) (*api.SettingsWriter, error) {
	agent := f.Agent(host)
	if agent == nil {
		return nil, &UnknownHostError{Host: host}
	}
	out := &api.SettingsWriter{}
	if err := agent.Call(ctx, api.SettingsPromote, &api.Empty{}, out); err != nil {
		return nil, err
	}
	return out, nil
}

// Resources returns the writer's revision and its resources whose names start with a prefix.
func (f *Fleet) Resources(ctx context.Context, relay, prefix string) (distribution.Revision, []distribution.Resource, error) {
	writer, err := f.writer(ctx, relay)
	if err != nil {
		return distribution.Revision{}, nil, err
	}
	var resources []distribution.Resource
	in := &api.SettingsGetIn{Prefix: prefix}
	for {
		var out api.SettingsGetOut
		if err := writer.Call(ctx, api.SettingsGet, in, &out); err != nil {
			return distribution.Revision{}, nil, err
		}
		resources = append(resources, out.Resources...)
		if !out.More || len(out.Resources) == 0 {
			return out.Revision, resources, nil
		}
		in.After = out.Resources[len(out.Resources)-1].Name
	}
}

// InForce returns the progress of a revision, zero for the latest, as the writer knows it. A relay
// that is named answers for its own subscribers instead. If the writer does not answer, the
// result is the sum over the relays that do, and Complete is false: the hosts of the other relays
// are unknown.
func (f *Fleet) InForce(ctx context.Context, relay string, revision distribution.Revision, limit int) (*api.SettingsStatusOut, error) {
	in := &api.SettingsStatusIn{Revision: revision, Limit: limit}
	relays, err := f.relays(relay)
	if err != nil {
		return nil, err
	}
	if relay == "" {
		out := &api.SettingsStatusOut{}
		writer, failed := f.writer(ctx, "")
		if failed == nil {
			failed = writer.Call(ctx, api.SettingsStatus, in, out)
		}
		if failed == nil {
			return out, nil
		}
		err = failed
	}
	var sum *api.SettingsStatusOut
	for _, agent := range relays {
		var out api.SettingsStatusOut
		if failed := agent.Call(ctx, api.SettingsStatus, in, &out); failed != nil {
			err = errors.Join(err, failed)
			continue
		}
		if sum == nil {
			sum = &out
			continue
		}
		sum.Status.Add(out.Status, limit)
	}
	if sum == nil {
		return nil, err
	}
	if relay == "" {
		sum.Complete, sum.Relay = false, ""
	}
	return sum, nil
}
