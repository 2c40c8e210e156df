package client

import (
	"context"
	"errors"
	"fmt"
	"sort"
	"sync"

	"martendrum/internal/fleet/api"
)

// find asks all hosts for an operation. It returns the operation as one of the hosts has it, its
// status by host, and, also by host, the errors of the calls that failed. A host that does not know
// the operation fails with api.NoOperation.
func (f *Fleet) find(ctx context.Context, id string) (operation api.Operation, statuses map[string]*api.OpOut, errs map[string]error) {
	statuses, errs = make(map[string]*api.OpOut), make(map[string]error)
	var mu sync.Mutex
	ForEach(f.Agents, func(_ int, a *Agent) error {
		status := &api.OpOut{}
		err := a.Call(ctx, api.OpStatus, &api.StatusIn{Op: id}, status)
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			errs[a.Host.Name] = err
			return nil
		}
		statuses[a.Host.Name], operation = status, status.Operation
		return nil
	})
	return operation, statuses, errs
}

// notFound returns the error for an operation for which no host has returned a status.
func notFound(id string, errs map[string]error) error {
	for _, err := range errs {
		if errors.As(err, new(*UnreachableError)) {
			return fmt.Errorf("operation %s: not known at any host that answered: %w", id, err)
		}
	}
	return api.Errorf(api.NoOperation, "operation %s is known at no host", id)
}

// targetHosts returns the names of an operation's hosts, sorted.
func targetHosts(operation *api.Operation) (out []string) {
	seen := make(map[string]bool)
	for _, t := range operation.Targets {
		if !seen[t.Host] {
			seen[t.Host] = true
			out = append(out, t.Host)
		}
	}
	sort.Strings(out)
	return out
}

// Abort aborts an operation at every host that has it: running steps finish and no new ones start.
// It returns by host the errors of those that could not abort it, without hosts that are not in the
// inventory, or an error if no host has returned the operation.
func (f *Fleet) Abort(ctx context.Context, id string) (map[string]error, error) {
	operation, statuses, errs := f.find(ctx, id)
	if len(statuses) == 0 {
		return nil, notFound(id, errs)
	}
	failed := make(map[string]error)
	for _, host := range targetHosts(&operation) {
		a := f.Agent(host)
		err := errs[host]
		if a != nil && statuses[host] != nil {
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
