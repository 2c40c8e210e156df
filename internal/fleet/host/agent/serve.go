package agent

import (
	"context"
	"errors"
	"reflect"

	"github.com/vmihailenco/msgpack/v5"

	"martendrum/internal/fleet/api"
	"martendrum/internal/msgpackrpc"
)

// method is a method of the API and the role that its callers need; with the role "", every caller
// may call it.
type method struct {
	role string
	call func(a *Agent, ctx context.Context, c *caller, params msgpack.RawMessage) (any, error)
}

// typed returns a method that decodes the call's only parameter, a map, and passes it to serve. For
// a call without parameters, serve gets the zero value.
func typed[In any](role string, serve func(a *Agent, ctx context.Context, c *caller, in *In) (any, error)) method {
	return method{role, func(a *Agent, ctx context.Context, c *caller, params msgpack.RawMessage) (any, error) {
		var in In
		var list []msgpack.RawMessage
		if err := msgpack.Unmarshal(params, &list); err != nil || len(list) > 1 {
			return nil, api.Errorf(api.InvalidParams, "got %d parameters; want one, a map", len(list))
		}
		if len(list) == 1 {
			if err := msgpack.Unmarshal(list[0], &in); err != nil {
				return nil, api.Errorf(api.InvalidParams, "parameter of %s: %v", reflect.TypeFor[In]().Name(), err)
			}
		}
		return serve(a, ctx, c, &in)
	}}
}

// methods holds the methods of the API by name.
var methods map[string]method

func init() {
	methods = map[string]method{
		api.Hello:        typed("", (*Agent).hello),
		api.List:         typed(api.View, (*Agent).list),
		api.Inspect:      typed(api.View, (*Agent).inspect),
		api.Logs:         typed(api.View, (*Agent).logs),
		api.Audit:        typed(api.View, (*Agent).audit),
		api.OpStatus:     typed(api.View, (*Agent).opStatus),
		api.OpList:       typed(api.View, (*Agent).opList),
		api.ReleaseStat:  typed(api.View, (*Agent).releaseStat),
		api.ReleaseWrite: typed(api.Operate, (*Agent).releaseWrite),
		api.ReleaseDone:  typed(api.Operate, (*Agent).releaseDone),
		api.ReleaseRead:  typed(api.Operate, (*Agent).releaseRead),
		api.OpOpen:       typed(api.Operate, (*Agent).opOpen),
		api.OpClose:      typed(api.Operate, (*Agent).opClose),
		api.OpAbort:      typed(api.Operate, (*Agent).opAbort),
		api.StepStart:    typed(api.Operate, (*Agent).stepStart),
		api.OpNote:       typed(api.Operate, (*Agent).opNote),
		api.Metrics:      typed(api.View, (*Agent).metrics),

		api.SettingsPut:     typed(api.Operate, (*Agent).settingsPut),
		api.SettingsPromote: typed(api.Operate, (*Agent).settingsPromote),
		api.SettingsGet:     typed(api.View, (*Agent).settingsGet),
		api.SettingsStatus:  typed(api.View, (*Agent).settingsStatus),
		// Called by hosts and relays, which have no role: each method checks its caller.
		api.SettingsWatch:          typed("", (*Agent).settingsWatch),
		api.SettingsAck:            typed("", (*Agent).settingsAck),
		api.SettingsFollow:         typed("", (*Agent).settingsFollow),
		api.SettingsReport:         typed("", (*Agent).settingsReport),
		api.SettingsExchangeWriter: typed("", (*Agent).settingsExchangeWriter),
	}
}

// handle serves a call. Every error that it returns is an *api.Error.
func (a *Agent) handle(ctx context.Context, r *msgpackrpc.Request) (any, error) {
	c := r.Peer.State.(*caller)
	m, ok := methods[r.Method]
	a.mu.Lock()
	who := c.who
	a.mu.Unlock()
	switch {
	case r.IsNotification:
		return nil, nil // the API has no notifications
	case !ok:
		return nil, api.Errorf(api.NoMethod, "agent %s has no method %q; it supports version %d of the API", a.config.Name, r.Method, api.Version)
	case who == "" && r.Method != api.Hello:
		return nil, api.Errorf(api.HelloRequired, "%s was called before %s, which must be the first call of a connection", r.Method, api.Hello)
	case m.role == api.Operate && c.role != api.Operate, m.role == api.View && c.role == "":
		return nil, api.Errorf(api.Forbidden, "%s needs the role %q; %s has the role %q at agent %s", r.Method, m.role, c.id, c.role, a.config.Name)
	}
	out, err := m.call(a, ctx, c, r.Params)
	if err == nil {
		return out, nil
	}
	if e, ok := errors.AsType[*api.Error](err); ok {
		return nil, e
	}
	return nil, api.Errorf(api.Internal, "agent %s: %s: %v", a.config.Name, r.Method, err)
}
