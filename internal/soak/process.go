package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// healthInterval is how often a starting process is checked for readiness.
	healthInterval = 5 * time.Millisecond
	// healthTimeout bounds one health check.
	healthTimeout = 500 * time.Millisecond
	// stallRest is how long a process runs at least between two stalls.
	stallRest = 250 * time.Millisecond
	// maxLog bounds the bytes that are retained of a sidecar's log.
	maxLog = 8 << 20
)

// logBuffer holds the log of all processes of a sidecar.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.text.Len() < maxLog {
		b.text.Write(p)
	}
	return len(p), nil
}

// String returns the retained log.
func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// sidecar is one sidecar through all of its processes.
type sidecar struct {
	number    int
	program   string
	seams     string // for a program that is built to break a rule; empty: none
	directory string
	address   string
	discovery string
	script    *Script
	recorder  *recorder
	log       logBuffer

	mu           sync.Mutex // held over each change of process or configuration
	process      *exec.Cmd
	processIndex int           // of the process, in the record
	exited       chan struct{} // closed at the process's end
	classes      []Class       // with the deadlines of the configuration file
	stopping     bool

	nextStall time.Time // when it may be stalled again
}

// freeAddress returns an address at which nobody listens, on an IP of the caller's own.
func freeAddress(host string) (string, error) {
	listener, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "", fmt.Errorf("soak: %w", err)
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

func (s *sidecar) configPath() string { return filepath.Join(s.directory, "config.json") }

// configure writes the complete configuration file, with deadlines scaled by factor.
func (s *sidecar) configure(factor float64) error {
	type class struct {
		Name           string      `json:"name"`
		ObjectiveUs    int64       `json:"promiseUs"`
		HardLimitUs    int64       `json:"hardLimitUs"`
		Effect         Idempotency `json:"effect"`
		RepeatWindowUs int64       `json:"repeatWindowUs"`
		Weight         float64     `json:"worth"`
	}
	micros := func(d Span) int64 { return time.Duration(d).Microseconds() }
	script := s.script
	s.classes = nil
	var classes []class
	for _, c := range script.Classes {
		c.Deadline = Span(float64(c.Deadline) * factor)
		s.classes = append(s.classes, c)
		classes = append(classes, class{c.Name, micros(c.Deadline / 3), micros(c.Deadline), c.Idempotency, micros(c.DedupWindow), 1})
	}
	registry, guarantees := "automatic", map[string]any{
		"drainGraceUs": micros(script.DrainGrace), "coldFrom": script.SlowStartFraction, "coldUs": micros(script.SlowStartDuration),
		"overloadFactor": script.OverloadFactor, "overloadForUs": micros(script.OverloadDuration)}
	if script.PollsDiscovery {
		registry, guarantees["askWithinUs"] = "subscribe", 10_000_000
	}
	text, err := json.Marshal(map[string]any{
		"name": fmt.Sprint("soak", s.number), "listen": s.address, "discovery": s.discovery, "seed": fmt.Sprintf("%x", script.Seed+1),
		"limits": map[string]any{"cores": 1, "memory_mb": 64, "sockets": script.Sockets},
		"settings": map[string]any{
			"replicasOfMe": script.Sidecars, "rank": s.number, "registryMode": registry,
			"caps": map[string]any{"attemptsCap": script.Attempts, "mayCancel": true, "secondCopies": script.Hedging, "connIdleUs": 3_000_000,
				"dialTimeoutUs": 250_000, "mostHeld": 1000, "retryAfter": true, "maxRetryAfterUs": 500_000},
			"guarantees": guarantees, "classes": classes,
		},
	})
	if err != nil {
		return fmt.Errorf("soak: configuration: %w", err)
	}
	next := s.configPath() + ".next"
	if err := os.WriteFile(next, text, 0o600); err != nil {
		return fmt.Errorf("soak: configuration: %w", err)
	}
	return os.Rename(next, s.configPath())
}

// start starts a process and, in the background, notes when it is ready. The lock is held.
func (s *sidecar) start(ctx context.Context) error {
	temporary, err := os.MkdirTemp(s.directory, "tmp") // empty at each start, as on the platform
	if err != nil {
		return fmt.Errorf("soak: %w", err)
	}
	process := exec.Command(s.program)
	process.Env = append(os.Environ(), "TMPDIR="+temporary, "BALANCER_CONFIG="+s.configPath(), "BALANCER_LISTEN="+s.address,
		"BALANCER_DISCOVERY="+s.discovery, "MARTENDRUM_FLEET=return", "MARTENDRUM_SEAMS="+s.seams)
	process.Stderr = &s.log
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := s.recorder.now()
	if err := process.Start(); err != nil {
		return fmt.Errorf("soak: sidecar: %w", err)
	}
	limit := unix.Rlimit{Cur: uint64(s.script.Sockets), Max: uint64(s.script.Sockets)}
	if err := unix.Prlimit(process.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil {
		return fmt.Errorf("soak: limit of descriptors: %w", err)
	}
	index, ended := 0, make(chan struct{})
	s.recorder.do(func(record *Record) {
		index = len(record.Processes)
		record.Processes = append(record.Processes, Process{Sidecar: s.number, Started: started})
	})
	s.process, s.processIndex, s.exited, s.stopping = process, index, ended, false
	go func() {
		err := process.Wait()
		s.note(index, func(l *Process) {
			l.Exited = s.recorder.now()
			if err != nil && l.Killed == 0 {
				l.Exit = err.Error()
			}
		})
		close(ended)
	}()
	go s.noteReady(ctx, index, ended)
	return nil
}

// note changes what is recorded of a process.
func (s *sidecar) note(index int, change func(*Process)) {
	s.recorder.do(func(record *Record) { change(&record.Processes[index]) })
}

// noteReady checks a process until it is ready, and records when.
func (s *sidecar) noteReady(ctx context.Context, index int, ended <-chan struct{}) {
	client := &http.Client{Timeout: healthTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		response, err := client.Get("http://" + s.address + "/_health")
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				s.note(index, func(l *Process) { l.Ready = s.recorder.now() })
				return
			}
		}
		select {
		case <-ended:
			return
		case <-ctx.Done():
			return
		case <-time.After(healthInterval):
		}
	}
}

var signalsByName = map[string]syscall.Signal{"TERM": syscall.SIGTERM, "INT": syscall.SIGINT, "HUP": syscall.SIGHUP}

// stop stops the process, and its successor as well if the event says so.
func (s *sidecar) stop(ctx context.Context, e *Event) error {
	if err := s.stopOnce(ctx, e); err != nil || e.Again == 0 {
		return err
	}
	sleep(ctx, time.Duration(e.Again))
	return s.stopOnce(ctx, e)
}

// stopOnce sends a series of signals, kills the process at the earliest time allowed unless it
// has exited, and starts the next one at once.
func (s *sidecar) stopOnce(ctx context.Context, e *Event) error {
	s.mu.Lock()
	if s.stopping {
		s.mu.Unlock()
		return nil
	}
	s.stopping = true
	if e.Factor > 0 {
		if err := s.configure(e.Factor); err != nil {
			s.mu.Unlock()
			return err
		}
	}
	process, index, ended, longest := s.process, s.processIndex, s.exited, longestDeadline(s.classes)
	s.mu.Unlock()
	var signalledAt time.Time
	for _, name := range e.Signals {
		if name != "HUP" && signalledAt.IsZero() {
			signalledAt = time.Now()
			s.note(index, func(l *Process) { l.Signalled = s.recorder.now() })
		}
		process.Process.Signal(signalsByName[name])
		time.Sleep(time.Duration(e.Gap))
	}
	select {
	case <-ended:
	case <-time.After(time.Until(signalledAt.Add(EarliestKill(longest)))):
		s.note(index, func(l *Process) { l.Killed = s.recorder.now() })
		process.Process.Kill()
		<-ended
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if ctx.Err() != nil {
		return nil
	}
	return s.start(ctx)
}

// reload writes deadlines scaled by a factor and has the process read them.
func (s *sidecar) reload(factor float64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return nil
	}
	if err := s.configure(factor); err != nil {
		return err
	}
	return s.process.Process.Signal(syscall.SIGHUP)
}

// stall stops the process for a time, unless it was stalled a moment ago: two stalls in a row
// would be one that is longer than the rules allow for.
func (s *sidecar) stall(limit time.Duration) {
	s.mu.Lock()
	process := s.process
	now := time.Now()
	if now.Before(s.nextStall) {
		s.mu.Unlock()
		return
	}
	s.nextStall = now.Add(limit + stallRest)
	s.mu.Unlock()
	process.Process.Signal(syscall.SIGSTOP)
	time.Sleep(limit)
	process.Process.Signal(syscall.SIGCONT)
}

// kill ends the process at the end of the day.
func (s *sidecar) kill() {
	s.mu.Lock()
	process, ended := s.process, s.exited
	s.mu.Unlock()
	if process == nil {
		return
	}
	s.note(s.processIndex, func(l *Process) {
		if l.Exited == 0 && l.Killed == 0 {
			l.Killed = s.recorder.now()
		}
	})
	process.Process.Kill()
	<-ended
}
