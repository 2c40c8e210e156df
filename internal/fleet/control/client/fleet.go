package client

import (
	"context"
	"crypto/tls"
	"sync"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/control/inventory"
	"martendrum/internal/fleet/pki"
)

// Fleet is a client of the agents of all hosts of an inventory.
type Fleet struct {
	Agents  []*Agent
	Timeout time.Duration // of one call to an agent
	Who     string        // the operator, for the audit logs

	tls *tls.Config
}

// New returns a fleet without connecting to it. who is the operator's name for the agents' audit
// logs. An error means that the TLS files can't be loaded. The caller must call Close when it
// no longer needs the fleet.
func New(hosts *inventory.Inventory, who string) (*Fleet, error) {
	f := &Fleet{Timeout: time.Duration(hosts.Timeout), Who: who}
	if hosts.TLS.Cert != "" {
		var err error
		if f.tls, err = pki.LoadTLS(hosts.TLS.CA, hosts.TLS.Cert, hosts.TLS.Key); err != nil {
			return nil, err
		}
	}
	for _, host := range hosts.Hosts {
		f.Agents = append(f.Agents, &Agent{Host: host, fleet: f, dialSlot: make(chan struct{}, 1)})
	}
	return f, nil
}

// Close closes all connections.
func (f *Fleet) Close() {
	for _, a := range f.Agents {
		a.mu.Lock()
		if a.conn != nil {
			a.conn.Close()
			a.conn = nil
		}
		a.mu.Unlock()
	}
}

// Agent returns the agent of a host, or nil if the inventory does not have the host.
func (f *Fleet) Agent(host string) *Agent {
	for _, a := range f.Agents {
		if a.Host.Name == host {
			return a
		}
	}
	return nil
}

// HostState is the state of a host and of its selected instances.
type HostState struct {
	Host       inventory.Host `json:"host"`
	Error      string         `json:"error,omitempty"`      // why it did not answer; "" if it did
	Unwritable string         `json:"unwritable,omitempty"` // why its agent's store can't be written; "" if it can
	Returning  string         `json:"returning,omitempty"`  // progress of its return from a power loss; "" if it is not returning
	Epoch      int64          `json:"epoch,omitempty"`      // number of its latest power loss while that is recent, otherwise 0
	Instances  []api.Instance `json:"instances"`
}

// List returns the state of all hosts that may have selected instances. For a host that does not
// answer, HostState.Error is set.
func (f *Fleet) List(ctx context.Context, sel *inventory.Select) []HostState {
	var agents []*Agent
	for _, a := range f.Agents {
		if sel.Host(a.Host.Name) {
			agents = append(agents, a)
		}
	}
	out := make([]HostState, len(agents))
	ForEach(agents, func(n int, a *Agent) error {
		out[n].Host = a.Host
		var list api.ListOut
		if err := a.Call(ctx, api.List, api.Empty{}, &list); err != nil {
			out[n].Error = err.Error()
			return err
		}
		out[n].Unwritable, out[n].Returning, out[n].Epoch = list.Unwritable, list.Returning, list.Epoch
		for _, i := range list.Instances {
			if sel.Selects(a.Host, &i) {
				out[n].Instances = append(out[n].Instances, i)
			}
		}
		return nil
	})
	return out
}

// ForEach calls do for each agent concurrently, waits for all calls, and returns their errors in the
// order of the agents, nil for success. n is the index of the agent.
func ForEach(agents []*Agent, do func(n int, a *Agent) error) []error {
	errs := make([]error, len(agents))
	slots := make(chan struct{}, maxConcurrentCalls)
	var wg sync.WaitGroup
	for n, a := range agents {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			errs[n] = do(n, a)
		})
	}
	wg.Wait()
	return errs
}

// maxConcurrentCalls is the number of calls that ForEach has open at a time.
const maxConcurrentCalls = 64
