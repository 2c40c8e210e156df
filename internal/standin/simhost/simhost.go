// Package simhost provides a simulated machine for agents. Its sidecars exist only in memory, become
// ready and exit after configured times, and accept no connections. It lets one test process run
// agents with hundreds of instances.
package simhost

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/host/agent"
	"martendrum/internal/fleet/host/proc"
)

// Host is a simulated machine. It implements agent.Machine. Its processes continue when the agent
// that started them stops, so that another agent can adopt them.
type Host struct {
	Ready time.Duration // from the start of a process to its first successful health check
	Drain time.Duration // from SIGTERM to the exit

	mu        sync.Mutex
	lastPID   int
	processes map[int]*process // by process ID, including those that have exited
	launches  []string
}

// process is a simulated process.
type process struct {
	launch  string    // unique ID of the launch
	address string    // where a real sidecar would listen
	ready   time.Time // when health checks start to succeed
	done    chan struct{}
	once    sync.Once
	exit    string // how the process exited; valid once done is closed
}

// exitWith ends the process with an exit status in the form of os.ProcessState.String. It has no effect
// on a process that has exited.
func (p *process) exitWith(status string) {
	p.once.Do(func() {
		p.exit = status
		close(p.done)
	})
}

// New returns a machine without processes. ready is the time from the start of a process to its first
// successful health check, and drain the time from SIGTERM to its exit.
func New(ready, drain time.Duration) *Host {
	return &Host{Ready: ready, Drain: drain, processes: make(map[int]*process)}
}

// Launches returns the IDs of all launches so far, in order.
func (h *Host) Launches() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]string(nil), h.launches...)
}

// Start implements agent.Machine.
func (h *Host) Start(s proc.Spec) (*agent.Process, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastPID++
	p := &process{launch: s.Launch, ready: time.Now().Add(h.Ready), done: make(chan struct{})}
	for _, variable := range s.Env {
		if address, ok := strings.CutPrefix(variable, "BALANCER_LISTEN="); ok {
			p.address = address
		}
	}
	h.processes[h.lastPID] = p
	h.launches = append(h.launches, s.Launch)
	return h.handle(h.lastPID, p), nil
}

// handle returns an agent's handle of a process.
func (h *Host) handle(pid int, p *process) *agent.Process {
	return &agent.Process{PID: pid, Ticks: 1, Done: p.done, Exit: func() string { return p.exit }, Signal: func(sig syscall.Signal) error {
		select {
		case <-p.done:
			return os.ErrProcessDone
		default:
		}
		switch sig {
		case syscall.SIGTERM:
			time.AfterFunc(h.Drain, func() { p.exitWith("exit status 0") })
		case syscall.SIGKILL:
			p.exitWith("signal: killed")
		}
		return nil
	}}
}

// Adopt implements agent.Machine.
func (h *Host) Adopt(_ context.Context, pid int, _ uint64) (*agent.Process, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.processes[pid]
	if p == nil || hasExited(p) {
		return nil, os.ErrProcessDone
	}
	return h.handle(pid, p), nil
}

// hasExited reports whether a process has exited.
func hasExited(p *process) bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// Find implements agent.Machine.
func (h *Host) Find(prefix string) map[string]proc.Found {
	h.mu.Lock()
	defer h.mu.Unlock()
	found := make(map[string]proc.Found)
	for pid, p := range h.processes {
		if strings.HasPrefix(p.launch, prefix) && !hasExited(p) {
			found[p.launch] = proc.Found{PID: pid, Ticks: 1}
		}
	}
	return found
}

// Health implements agent.Machine.
func (h *Host) Health(_ context.Context, address string, _ time.Duration) (proc.HealthReport, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, p := range h.processes {
		if p.address == address && !hasExited(p) {
			if time.Now().Before(p.ready) {
				return proc.HealthReport{}, errors.New("health: answered 503")
			}
			return proc.HealthReport{}, nil
		}
	}
	return proc.HealthReport{}, fmt.Errorf("health: dial %s: connection refused", address)
}

// Metrics implements agent.Machine. A simulated sidecar has no metrics.
func (h *Host) Metrics(context.Context, string, int, time.Duration) (*api.Sample, error) {
	return nil, errors.New("a simulated sidecar has no admin endpoint")
}

// Boot implements agent.Machine.
func (h *Host) Boot() string { return "simulated" }
