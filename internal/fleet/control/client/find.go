package client

import (
	"context"
	"errors"
	"fmt"
	"sort"
	"sync"

	"martendrum/internal/fleet/api"
)

// Find looks for an operation at all hosts.
func (f *Fleet) Find(ctx context.Context, id string) (op api.Operation, outs map[string]*api.OpOut, errs map[string]error) {
	outs, errs = make(map[string]*api.OpOut), make(map[string]error)
	var mu sync.Mutex
	ForEach(f.Agents, func(_ int, a *Agent) error {
		out := &api.OpOut{}
		err := a.Call(ctx, api.OpStatus, &api.StatusIn{Op: id}, out)
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			errs[a.Host.Name] = err
			return nil
		}
		outs[a.Host.Name], op = out, out.Operation
		return nil
	})
	return op, outs, errs
}

func notFound(id string, errs map[string]error) error {
	for _, err := range errs {
		if errors.As(err, new(*UnreachableError)) {
			return fmt.Errorf("operation %s: not known at any host that answered: %w", id, err)
		}
	}
	return api.Errorf(api.NoOperation, "operation %s is known at no host", id)
}

func targetHosts(op *api.Operation) (out []string) {
	seen := make(map[string]bool)
	for _, t := range op.Targets {
		if !seen[t.Host] {
			seen[t.Host] = true
			out = append(out, t.Host)
		}
	}
	sort.Strings(out)
	return out
}

// Abort stops an operation at every host that has it. Steps under way come to
// their end; nothing new is begun.
func (f *Fleet) Abort(ctx context.Context, id string) (map[string]error, error) {
	op, outs, errs := f.Find(ctx, id)
	if len(outs) == 0 {
		return nil, notFound(id, errs)
	}
	failed := make(map[string]error)
	for _, host := range targetHosts(&op) {
		a := f.Agent(host)
		err := errs[host]
		if a != nil && outs[host] != nil {
			err = a.Call(ctx, api.OpAbort, &api.AbortIn{Op: id}, nil)
		}
		if e, ok := errors.AsType[*api.Error](err); ok && e.Code == api.NoOperation {
			err = nil
		}
		if err != nil {
			failed[host] = err
		}
	}
	return failed, nil
}
