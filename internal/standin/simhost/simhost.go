// Package simhost is a machine whose sidecars are only pretended: they become
// ready and end after set times, in memory. It lets one test process hold agents
// with hundreds of instances. Faults are set through its fields' methods.
package simhost

import (
	"context"
	"errors"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/host/agent"
	"martendrum/internal/fleet/host/proc"
)

// Host is a pretended machine; it outlives the agents on it.
type Host struct {
	Ready time.Duration // from a start to the first good health call
	Drain time.Duration // from SIGTERM to the end

	mu        sync.Mutex
	lastPID   int
	processes map[int]*process
	launches  []string
}

type process struct {
	launch, addr string
	ready        time.Time
	done         chan struct{}
	once         sync.Once
	exit         string
}

func (p *process) exitWith(how string) {
	p.once.Do(func() {
		p.exit = how
		close(p.done)
	})
}

// New returns a machine on which nothing runs.
func New(ready, drain time.Duration) *Host {
	return &Host{Ready: ready, Drain: drain, processes: make(map[int]*process)}
}

// Launches is every launch so far, in order.
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
	for _, v := range s.Env {
		if addr, ok := strings.CutPrefix(v, "BALANCER_LISTEN="); ok {
			p.addr = addr
		}
	}
	h.processes[h.lastPID] = p
	h.launches = append(h.launches, s.Launch)
	return h.handle(h.lastPID, p), nil
}

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
	out := make(map[string]proc.Found)
	for pid, p := range h.processes {
		if strings.HasPrefix(p.launch, prefix) && !hasExited(p) {
			out[p.launch] = proc.Found{PID: pid, Ticks: 1}
		}
	}
	return out
}

// Health implements agent.Machine.
func (h *Host) Health(_ context.Context, addr string, _ time.Duration) (proc.Healthy, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, p := range h.processes {
		if p.addr == addr && !hasExited(p) {
			if time.Now().Before(p.ready) {
				return proc.Healthy{}, errors.New("health: answered 503")
			}
			return proc.Healthy{}, nil
		}
	}
	return proc.Healthy{}, errors.New("connection refused")
}

// Metrics implements agent.Machine: a pretended sidecar has no door.
func (h *Host) Metrics(context.Context, string, int, time.Duration) (*api.Sample, error) {
	return nil, errors.New("a pretended sidecar has no door")
}

// Boot implements agent.Machine.
func (h *Host) Boot() string { return "simulated" }
