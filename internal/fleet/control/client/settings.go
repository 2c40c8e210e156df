package client

import (
	"context"
	"errors"
	"fmt"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/distribution"
)

// RelayLabel is the key of the label that marks a host of the inventory as a relay. Its value must be
// "true".
const RelayLabel = "relay"

// NoRelayError reports an inventory in which no host is labeled as a relay.
type NoRelayError struct{}

// Error implements error.
func (*NoRelayError) Error() string { return "no host of the inventory is a relay" }

// Advice says what an operator can do.
func (*NoRelayError) Advice() string {
	return `name one with --relay, or give the relays' hosts the label relay = "true"`
}

// relays returns the agent of the named host or, if name is "", the agents of all hosts that the
// inventory labels as relays. It returns an error if there is none.
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

// writer asks the named relay, or all relays if relay is "", for the writer of the settings, and
// returns the agent of the writer with the highest epoch.
func (f *Fleet) writer(ctx context.Context, relay string) (*Agent, error) {
	relays, err := f.relays(relay)
	if err != nil {
		return nil, err
	}
	var known api.SettingsWriter
	var lastErr error
	for _, agent := range relays {
		var out api.SettingsStatusOut
		if err := agent.Call(ctx, api.SettingsStatus, &api.SettingsStatusIn{}, &out); err != nil {
			lastErr = err
			continue
		}
		if out.Writer.Epoch > known.Epoch {
			known = out.Writer
		}
	}
	if known.Writer == "" {
		return nil, lastErr
	}
	if agent := f.Agent(known.Writer); agent != nil {
		return agent, nil
	}
	return nil, fmt.Errorf("the writer of the settings is %s, which is not in the inventory", known.Writer)
}

// Publish changes the distributed settings at their writer. relay names the relay that is asked for
// the writer; "" asks all. Publish is idempotent: if it is unknown whether a change was made, the
// caller may publish the change again.
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

// Promote makes the relay on a host the writer of the settings and returns the new writer and epoch.
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

// Resources returns the writer's revision and all its resources whose names start with a prefix. relay
// names the relay that is asked for the writer; "" asks all.
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

// InForce returns how far a revision has been applied; the zero revision stands for the latest. limit
// bounds the hosts that are listed by name. If relay is "", the writer answers for all hosts; if the
// writer does not answer, the result is the sum over the relays that do, and Complete is false because
// the hosts of the other relays are unknown. If relay names a relay, that relay answers, for its own
// subscribers only.
func (f *Fleet) InForce(ctx context.Context, relay string, revision distribution.Revision, limit int) (*api.SettingsStatusOut, error) {
	in := &api.SettingsStatusIn{Revision: revision, Limit: limit}
	relays, err := f.relays(relay)
	if err != nil {
		return nil, err
	}
	if relay == "" {
		out := &api.SettingsStatusOut{}
		writer, callErr := f.writer(ctx, "")
		if callErr == nil {
			callErr = writer.Call(ctx, api.SettingsStatus, in, out)
		}
		if callErr == nil {
			return out, nil
		}
		err = callErr
	}
	var sum *api.SettingsStatusOut
	for _, agent := range relays {
		var out api.SettingsStatusOut
		if callErr := agent.Call(ctx, api.SettingsStatus, in, &out); callErr != nil {
			err = errors.Join(err, callErr)
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
