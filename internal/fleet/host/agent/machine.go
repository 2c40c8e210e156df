package agent

import (
	"context"
	"syscall"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/host/proc"
	"martendrum/internal/fleet/host/scrape"
)

// Machine starts and observes the processes of instances. LocalMachine implements it for this
// machine; tests have other implementations. Its methods may be called concurrently.
type Machine interface {
	// Start starts a process and returns without waiting until it is ready.
	Start(s proc.Spec) (*Process, error)
	// Adopt returns the running process with this PID and start time, or an error if there is none.
	// Cancelling ctx ends the observation of the process, not the process.
	Adopt(ctx context.Context, pid int, ticks uint64) (*Process, error)
	// Find returns the running processes whose launch ID begins with prefix, by launch ID.
	Find(prefix string) map[string]proc.Found
	// Health makes a health check at a sidecar's address, within limit.
	Health(ctx context.Context, addr string, limit time.Duration) (proc.HealthReport, error)
	// Metrics scrapes a process's admin endpoint, within limit, and reads the process's memory use
	// and number of open files. The sample's fields for the instance and the time are not set.
	Metrics(ctx context.Context, adminAddress string, pid int, limit time.Duration) (*api.Sample, error)
	// Boot returns the ID of the machine's current boot.
	Boot() string
}

// Process is a running process of a Machine.
type Process struct {
	PID   int
	Ticks uint64          // start time in clock ticks since boot; with PID and boot ID it identifies the process
	Done  <-chan struct{} // closed when the process has exited
	Exit  func() string   // how the process exited; valid once Done is closed
	// Signal sends a signal; the error is os.ErrProcessDone if the process has exited.
	Signal func(syscall.Signal) error
}

// done returns Done or, if there is no process, a nil channel, which blocks forever.
func (p *Process) done() <-chan struct{} {
	if p == nil {
		return nil
	}
	return p.Done
}

// LocalMachine implements Machine with the processes of this machine.
type LocalMachine struct{}

// Start implements Machine.
func (LocalMachine) Start(s proc.Spec) (*Process, error) { return newProcess(proc.Start(s)) }

// Adopt implements Machine.
func (LocalMachine) Adopt(ctx context.Context, pid int, ticks uint64) (*Process, error) {
	return newProcess(proc.Adopt(ctx, pid, ticks))
}

// Find implements Machine.
func (LocalMachine) Find(prefix string) map[string]proc.Found { return proc.Find(prefix) }

// Boot implements Machine.
func (LocalMachine) Boot() string { return proc.Boot() }

// Health implements Machine.
func (LocalMachine) Health(ctx context.Context, addr string, limit time.Duration) (proc.HealthReport, error) {
	return proc.Health(ctx, addr, limit)
}

// Metrics implements Machine.
func (LocalMachine) Metrics(ctx context.Context, adminAddress string, pid int, limit time.Duration) (*api.Sample, error) {
	s, err := scrape.Metrics(ctx, adminAddress, limit)
	if err != nil {
		return nil, err
	}
	s.Memory, s.Files, err = scrape.Usage(pid)
	return s, err
}

// newProcess wraps the result of proc.Start or proc.Adopt.
func newProcess(p *proc.Process, err error) (*Process, error) {
	if err != nil {
		return nil, err
	}
	return &Process{PID: p.PID, Ticks: p.Ticks, Done: p.Done, Exit: p.Exit, Signal: p.Signal}, nil
}
