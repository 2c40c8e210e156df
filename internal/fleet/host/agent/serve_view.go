package agent

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"martendrum/internal/fleet/api"
)

const (
	maxInspectSteps = 20   // in a response of inspect
	inspectLog      = 4096 // bytes of the log in a response of inspect
	maxAuditEntries = 1000 // in a response of audit
)

// hello negotiates the version of the API and stores the caller's name for the audit log.
func (a *Agent) hello(_ context.Context, c *caller, in *api.HelloIn) (any, error) {
	if in.Oldest > api.Version || in.Version < api.Oldest {
		return nil, api.Errorf(api.UnsupportedVersion, "agent %s supports versions %d to %d of the API, and the client %d to %d: use a martendrum of the agent's release, or upgrade the agent",
			a.config.Name, api.Oldest, api.Version, in.Oldest, in.Version)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	c.who = fmt.Sprintf("%.100s (%s)", in.Client, c.id)
	return &api.HelloOut{Version: min(in.Version, api.Version), Agent: a.config.Name, Role: c.role, Started: a.started}, nil
}

// list returns the status of all instances of the host.
func (a *Agent) list(_ context.Context, _ *caller, _ *api.Empty) (any, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := &api.ListOut{Agent: a.config.Name, Now: time.Now(), Unwritable: a.unwritable}
	out.Returning, out.Epoch = a.returnProgress()
	for _, name := range a.instanceNames {
		out.Instances = append(out.Instances, a.instanceStatus(a.instances[name]))
	}
	return out, nil
}

// findInstance returns the instance with a name. The caller holds a.mu.
func (a *Agent) findInstance(name string) (*instance, error) {
	if inst := a.instances[name]; inst != nil {
		return inst, nil
	}
	return nil, api.Errorf(api.NoInstance, "agent %s has no instance %q; it has %s", a.config.Name, name, strings.Join(a.instanceNames, ", "))
}

// inspect returns the status of an instance with its latest steps, its configuration and the end of
// its log.
func (a *Agent) inspect(_ context.Context, _ *caller, in *api.InstanceIn) (any, error) {
	a.mu.Lock()
	inst, err := a.findInstance(in.Instance)
	if err != nil {
		a.mu.Unlock()
		return nil, err
	}
	out := &api.InspectOut{Instance: a.instanceStatus(inst), Settings: a.instanceSettings(inst)}
	for _, step := range a.steps {
		if step.Instance == in.Instance {
			out.Steps = append(out.Steps, *step)
		}
	}
	a.mu.Unlock()
	slices.SortFunc(out.Steps, func(x, y api.Step) int { return y.Started.Compare(x.Started) })
	out.Steps = out.Steps[:min(maxInspectSteps, len(out.Steps))]
	if b, err := os.ReadFile(a.configPath(in.Instance)); err == nil {
		out.Config = string(b[:min(len(b), maxLogs)])
	}
	b, _, err := readTail(a.logPath(in.Instance), -inspectLog, inspectLog)
	out.Log = string(b)
	return out, err
}

// logs returns a part of an instance's log from an offset, and the offset after it. A negative
// offset counts from the end of the log.
func (a *Agent) logs(_ context.Context, _ *caller, in *api.LogsIn) (any, error) {
	a.mu.Lock()
	_, err := a.findInstance(in.Instance)
	a.mu.Unlock()
	if err != nil {
		return nil, err
	}
	if in.Limit <= 0 || in.Limit > maxLogs {
		in.Limit = maxLogs
	}
	b, next, err := readTail(a.logPath(in.Instance), max(in.Offset, -maxLogs), in.Limit)
	return &api.LogsOut{Data: b, Next: next}, err
}

// audit returns the latest entries of the audit log.
func (a *Agent) audit(ctx context.Context, _ *caller, in *api.AuditIn) (any, error) {
	entries, err := a.store.Audit(ctx, max(1, min(in.Limit, maxAuditEntries)))
	return &api.AuditOut{Entries: entries}, err
}
