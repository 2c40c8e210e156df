package agent

import (
	"context"
	"syscall"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/host/proc"
	"martendrum/internal/fleet/host/scrape"
)

// Machine is what instances run on. Processes is the real one; tests have others.
type Machine interface {
	// Start starts a process.
	Start(s proc.Spec) (*Process, error)
	// Adopt returns the running process with this PID and start time.
	Adopt(ctx context.Context, pid int, ticks uint64) (*Process, error)
	// Find returns the running processes by the name of their launch, which has the prefix.
	Find(prefix string) map[string]proc.Found
	// Health makes a health check at a sidecar's address.
	Health(ctx context.Context, addr string, limit time.Duration) (proc.Healthy, error)
	// Metrics scrapes a process's admin endpoint and reads its use of memory and files. Of the
	// sample, only the values are set.
	Metrics(ctx context.Context, adminAddress string, pid int, limit time.Duration) (*api.Sample, error)
	// Boot identifies the current boot of the machine.
	Boot() string
}

// Process is a running process of a Machine.
type Process struct {
	PID    int
	Ticks  uint64          // start time; with PID and boot it identifies the process
	Done   <-chan struct{} // closed when the process has exited
	Exit   func() string   // how it exited; valid once Done is closed
	Signal func(syscall.Signal) error
}

// done returns Done, or for no process a nil channel, which blocks forever.
func (p *Process) done() <-chan struct{} {
	if p == nil {
		return nil
	}
	return p.Done
}

// Processes runs instances as processes of this machine.
type Processes struct{}

// Start implements Machine.
func (Processes) Start(s proc.Spec) (*Process, error) { return newProcess(proc.Start(s)) }

// Adopt implements Machine.
func (Processes) Adopt(ctx context.Context, pid int, ticks uint64) (*Process, error) {
	return newProcess(proc.Adopt(ctx, pid, ticks))
}

// Find implements Machine.
func (Processes) Find(prefix string) map[string]proc.Found { return proc.Find(prefix) }

// Boot implements Machine.
func (Processes) Boot() string { return proc.Boot() }

// Health implements Machine.
func (Processes) Health(ctx context.Context, addr string, limit time.Duration) (proc.Healthy, error) {
	return proc.Health(ctx, addr, limit)
}

// Metrics implements Machine.
func (Processes) Metrics(ctx context.Context, adminAddress string, pid int, limit time.Duration) (*api.Sample, error) {
	s, err := scrape.Metrics(ctx, adminAddress, limit)
	if err != nil {
		return nil, err
	}
	s.Memory, s.Files, err = scrape.Usage(pid)
	return s, err
}

func newProcess(p *proc.Proc, err error) (*Process, error) {
	if err != nil {
		return nil, err
	}
	return &Process{PID: p.PID, Ticks: p.Ticks, Done: p.Done, Exit: p.Exit, Signal: p.Signal}, nil
}
