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
	// healthInterval is the time between two health checks of a starting process.
	healthInterval = 5 * time.Millisecond
	// healthTimeout bounds one health check.
	healthTimeout = 500 * time.Millisecond
	// minPauseGap is how long a process runs at least between two pauses.
	minPauseGap = 250 * time.Millisecond
	// maxLog bounds the bytes of a sidecar's log that are retained.
	maxLog = 8 << 20
)

// logBuffer holds the log of all processes of a sidecar, up to maxLog bytes.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer. It discards what exceeds the maximum.
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

// sidecar is one sidecar of a run. Its processes succeed each other.
type sidecar struct {
	number    int
	program   string // path
	seams     string // see Options.Seams
	directory string // for its configuration and temporary files
	address   string // at which it listens
	discovery string // address of the discovery for this sidecar
	script    *Script
	recorder  *recorder
	log       logBuffer

	mu           sync.Mutex // held while the process or the configuration is changed
	process      *exec.Cmd
	processIndex int           // index of the process in the record
	exited       chan struct{} // closed when the process has exited
	classes      []Class       // with the deadlines that are in the configuration file
	stopping     bool          // stopOnce is stopping the process and has not yet started the next one

	nextPause time.Time // the earliest time of the next pause
}

// freeAddress returns a free port of an IP address. No other process may use the IP address, or it
// could take the port.
func freeAddress(host string) (string, error) {
	listener, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "", fmt.Errorf("soak: find a free port: %w", err)
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// configPath returns the path of the configuration file.
func (s *sidecar) configPath() string { return filepath.Join(s.directory, "config.json") }

// configure replaces the configuration file by a complete new one, with the script's deadlines
// multiplied by factor.
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
		return fmt.Errorf("soak: encode configuration: %w", err)
	}
	next := s.configPath() + ".next"
	if err := os.WriteFile(next, text, 0o600); err != nil {
		return fmt.Errorf("soak: write configuration: %w", err)
	}
	return os.Rename(next, s.configPath())
}

// start starts a process. In the background, it records when the process is ready and when it
// exits. The caller holds s.mu.
func (s *sidecar) start(ctx context.Context) error {
	temporary, err := os.MkdirTemp(s.directory, "tmp") // empty at each start, as in production
	if err != nil {
		return fmt.Errorf("soak: create temporary folder: %w", err)
	}
	process := exec.Command(s.program)
	process.Env = append(os.Environ(), "TMPDIR="+temporary, "BALANCER_CONFIG="+s.configPath(), "BALANCER_LISTEN="+s.address,
		"BALANCER_DISCOVERY="+s.discovery, "MARTENDRUM_FLEET=return", "MARTENDRUM_SEAMS="+s.seams)
	process.Stderr = &s.log
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := s.recorder.now()
	if err := process.Start(); err != nil {
		return fmt.Errorf("soak: start sidecar: %w", err)
	}
	limit := unix.Rlimit{Cur: uint64(s.script.Sockets), Max: uint64(s.script.Sockets)}
	if err := unix.Prlimit(process.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil); err != nil {
		return fmt.Errorf("soak: set the limit of file descriptors: %w", err)
	}
	index, ended := 0, make(chan struct{})
	s.recorder.do(func(record *Record) {
		index = len(record.Processes)
		record.Processes = append(record.Processes, Process{Sidecar: s.number, Started: started})
	})
	s.process, s.processIndex, s.exited, s.stopping = process, index, ended, false
	go func() {
		err := process.Wait()
		s.updateProcess(index, func(p *Process) {
			p.Exited = s.recorder.now()
			if err != nil && p.Killed == 0 {
				p.Exit = err.Error()
			}
		})
		close(ended)
	}()
	go s.recordReady(ctx, index, ended)
	return nil
}

// updateProcess changes the record of a process.
func (s *sidecar) updateProcess(index int, change func(*Process)) {
	s.recorder.do(func(record *Record) { change(&record.Processes[index]) })
}

// recordReady checks the health of a process until it is ready, and records when that is. It stops
// when the process or the context ends.
func (s *sidecar) recordReady(ctx context.Context, index int, ended <-chan struct{}) {
	client := &http.Client{Timeout: healthTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		response, err := client.Get("http://" + s.address + "/_health")
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				s.updateProcess(index, func(p *Process) { p.Ready = s.recorder.now() })
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

// signalsByName are the signals that scripts can name.
var signalsByName = map[string]syscall.Signal{"TERM": syscall.SIGTERM, "INT": syscall.SIGINT, "HUP": syscall.SIGHUP}

// stop stops the process of a stop event, and after e.Again, unless it is 0, its successor as well.
func (s *sidecar) stop(ctx context.Context, e *Event) error {
	if err := s.stopOnce(ctx, e); err != nil || e.Again == 0 {
		return err
	}
	sleep(ctx, time.Duration(e.Again))
	return s.stopOnce(ctx, e)
}

// stopOnce sends the process the signals of a stop event and waits until it exits. At the earliest
// time at which a supervisor may do so, it kills the process. Then it starts the next one at once,
// unless the context has ended. It does nothing if the process is already being stopped.
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
			s.updateProcess(index, func(p *Process) { p.Signalled = s.recorder.now() })
		}
		process.Process.Signal(signalsByName[name])
		time.Sleep(time.Duration(e.Gap))
	}
	select {
	case <-ended:
	case <-time.After(time.Until(signalledAt.Add(EarliestKill(longest)))):
		s.updateProcess(index, func(p *Process) { p.Killed = s.recorder.now() })
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

// reload multiplies the script's deadlines by a factor in the configuration file, and signals the
// process to read it. It does nothing while the process is being stopped.
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

// pause stops the process by SIGSTOP for a time. It does nothing if the previous pause ended less
// than minPauseGap ago: two pauses in a row would act as one that is longer than the rules allow.
func (s *sidecar) pause(limit time.Duration) {
	s.mu.Lock()
	process := s.process
	now := time.Now()
	if now.Before(s.nextPause) {
		s.mu.Unlock()
		return
	}
	s.nextPause = now.Add(limit + minPauseGap)
	s.mu.Unlock()
	process.Process.Signal(syscall.SIGSTOP)
	time.Sleep(limit)
	process.Process.Signal(syscall.SIGCONT)
}

// kill kills the process at the end of the run and waits until it has exited.
func (s *sidecar) kill() {
	s.mu.Lock()
	process, ended := s.process, s.exited
	s.mu.Unlock()
	if process == nil {
		return
	}
	s.updateProcess(s.processIndex, func(p *Process) {
		if p.Exited == 0 && p.Killed == 0 {
			p.Killed = s.recorder.now()
		}
	})
	process.Process.Kill()
	<-ended
}
