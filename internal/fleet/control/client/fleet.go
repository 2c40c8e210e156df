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

// Fleet is all hosts of an inventory.
type Fleet struct {
	Agents  []*Agent
	Timeout time.Duration // of one call
	Who     string        // for the audit logs

	tls *tls.Config
}

// New returns a fleet; it opens no connection yet. Close ends those it opens.
func New(v *inventory.Inventory, who string) (*Fleet, error) {
	f := &Fleet{Timeout: time.Duration(v.Timeout), Who: who}
	if v.TLS.Cert != "" {
		var err error
		if f.tls, err = pki.TLS(v.TLS.CA, v.TLS.Cert, v.TLS.Key); err != nil {
			return nil, err
		}
	}
	for _, h := range v.Hosts {
		f.Agents = append(f.Agents, &Agent{Host: h, fleet: f, dialSlot: make(chan struct{}, 1)})
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

// Agent returns the agent of a host, nil if the inventory has none.
func (f *Fleet) Agent(host string) *Agent {
	for _, a := range f.Agents {
		if a.Host.Name == host {
			return a
		}
	}
	return nil
}

// HostState is a host as a list shows it.
type HostState struct {
	Host       inventory.Host `json:"host"`
	Error      string         `json:"error,omitempty"` // it gave no answer
	Unwritable string         `json:"unwritable,omitempty"`
	Returning  string         `json:"returning,omitempty"` // from a power loss: how far it is
	Epoch      int64          `json:"epoch,omitempty"`     // its last loss, of late
	Instances  []api.Instance `json:"instances"`
}

// List asks all hosts that may have selected instances. Those that don't answer
// are in the list, with an error.
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
		var l api.ListOut
		if err := a.Call(ctx, api.List, api.Empty{}, &l); err != nil {
			out[n].Error = err.Error()
			return err
		}
		out[n].Unwritable, out[n].Returning, out[n].Epoch = l.Unwritable, l.Returning, l.Epoch
		for _, i := range l.Instances {
			if sel.Fits(a.Host, &i) {
				out[n].Instances = append(out[n].Instances, i)
			}
		}
		return nil
	})
	return out
}

// ForEach calls do for each agent, many at once, and returns the errors in order.
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

// maxConcurrentCalls is how many agents are asked at once.
const maxConcurrentCalls = 64
