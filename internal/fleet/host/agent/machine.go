package agent

import (
	"context"
	"syscall"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/host/proc"
	"martendrum/internal/fleet/host/scrape"
)

// Machine is what instances run on. Processes is the real one.
type Machine interface {
	Start(s proc.Spec) (*Process, error)
	Adopt(ctx context.Context, pid int, ticks uint64) (*Process, error)
	Find(prefix string) map[string]proc.Found
	Health(ctx context.Context, addr string, limit time.Duration) (proc.Healthy, error)
	// Metrics asks a process's operators' door; of the sample, only the figures count.
	Metrics(ctx context.Context, door string, pid int, limit time.Duration) (*api.Sample, error)
	Boot() string
}

// Process is a running process of a Machine.
type Process struct {
	PID    int
	Ticks  uint64
	Done   <-chan struct{}
	Exit   func() string // valid once Done is closed
	Signal func(syscall.Signal) error
}

// Processes runs instances as processes of this machine.
type Processes struct{}

func wrap(p *proc.Proc, err error) (*Process, error) {
	if err != nil {
		return nil, err
	}
	return &Process{PID: p.PID, Ticks: p.Ticks, Done: p.Done, Exit: p.Exit, Signal: p.Signal}, nil
}

func (Processes) Start(s proc.Spec) (*Process, error) { return wrap(proc.Start(s)) }

func (Processes) Adopt(ctx context.Context, pid int, ticks uint64) (*Process, error) {
	return wrap(proc.Adopt(ctx, pid, ticks))
}

func (Processes) Find(prefix string) map[string]proc.Found { return proc.Find(prefix) }

func (Processes) Boot() string { return proc.Boot() }

func (Processes) Health(ctx context.Context, addr string, limit time.Duration) (proc.Healthy, error) {
	return proc.Health(ctx, addr, limit)
}

func (Processes) Metrics(ctx context.Context, door string, pid int, limit time.Duration) (*api.Sample, error) {
	s, err := scrape.Metrics(ctx, door, limit)
	if err != nil {
		return nil, err
	}
	s.Memory, s.Files, err = scrape.Usage(pid)
	return s, err
}
