// Package proc runs sidecars as local processes and finds them again after a restart of the
// agent. Each process is in a session of its own, so that it outlives the agent that started
// it. The package does not decide when a process is started or stopped. It works on Linux only,
// because it reads /proc.
package proc

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// LaunchVariable is the environment variable that holds a sidecar's launch ID. A process can be
// found by its launch ID even if its PID was never recorded.
const LaunchVariable = "MARTENDRUM_LAUNCH"

// Spec describes a process to start.
type Spec struct {
	Launch string   // unique launch ID, passed in LaunchVariable
	Path   string   // of the program
	Dir    string   // working directory
	Env    []string // without LaunchVariable
	Log    string   // file to which the process's output is appended
}

// Process is a process that was started or adopted. Done is closed when it has exited.
type Process struct {
	PID   int
	Ticks uint64 // start time in clock ticks since boot
	Done  <-chan struct{}

	process *os.Process
	exit    string // set before Done is closed
}

// Exit returns how the process exited. It must not be called before Done is closed.
func (p *Process) Exit() string { return p.exit }

// Signal sends a signal to the process, never to another process that has reused its PID. The
// error is os.ErrProcessDone if the process has exited.
func (p *Process) Signal(sig syscall.Signal) error { return p.process.Signal(sig) }

// Boot returns the ID of the machine's current boot, "" if it can't be read. Within one boot,
// PID and start time identify a process.
func Boot() string {
	b, _ := os.ReadFile("/proc/sys/kernel/random/boot_id")
	return strings.TrimSpace(string(b))
}

// Start starts a process. The caller need not wait for its exit: a goroutine does.
func Start(s Spec) (*Process, error) {
	log, err := os.OpenFile(s.Log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o640)
	if err != nil {
		return nil, fmt.Errorf("proc: log: %w", err)
	}
	defer log.Close()
	cmd := exec.Command(s.Path)
	cmd.Dir = s.Dir
	cmd.Env = append(append([]string{}, s.Env...), LaunchVariable+"="+s.Launch)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setsid: true}
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("proc: %w", err)
	}
	started, err := readStat(cmd.Process.Pid) // the process was not waited for yet, so its entry in /proc exists
	if err != nil {
		cmd.Process.Kill()
		cmd.Wait()
		return nil, fmt.Errorf("proc: %w", err)
	}
	done := make(chan struct{})
	p := &Process{PID: cmd.Process.Pid, Ticks: started.ticks, Done: done, process: cmd.Process}
	go func() {
		defer close(done)
		err := cmd.Wait()
		p.exit = "exit status 0"
		if err != nil {
			p.exit = err.Error()
		}
	}()
	return p, nil
}

// adoptedPollInterval is the time between checks whether an adopted process has exited. It is not a
// child, so its exit can't be waited for.
const adoptedPollInterval = 200 * time.Millisecond

// Adopt returns the process with this PID and start time, which an earlier agent started, or
// os.ErrProcessDone if it no longer runs. Cancelling ctx ends the wait for the process's exit,
// not the process.
func Adopt(ctx context.Context, pid int, ticks uint64) (*Process, error) {
	process, err := os.FindProcess(pid) // where the kernel supports it, this is a handle that stays valid if the PID is reused
	if err != nil {
		return nil, err
	}
	if !Alive(pid, ticks) {
		process.Release()
		return nil, os.ErrProcessDone
	}
	done := make(chan struct{})
	p := &Process{PID: pid, Ticks: ticks, Done: done, process: process, exit: "exited; the exit status is not known, because an earlier agent started the process"}
	go func() {
		ticker := time.NewTicker(adoptedPollInterval)
		defer ticker.Stop()
		for Alive(pid, ticks) {
			select {
			case <-ticker.C:
			case <-ctx.Done():
				return
			}
		}
		close(done)
	}()
	return p, nil
}

// Alive reports whether the process with this PID and start time runs. A zombie, which has
// exited but was not waited for yet, does not run.
func Alive(pid int, ticks uint64) bool {
	stat, err := readStat(pid)
	return err == nil && stat.ticks == ticks && stat.state != stateZombie && stat.state != stateDead
}

// The states of a process that has exited, see proc(5).
const (
	stateZombie = 'Z'
	stateDead   = 'X'
)

// processStat is the start time and state of a process.
type processStat struct {
	ticks uint64 // start time in clock ticks since boot
	state byte
}

// Indexes of fields of /proc/PID/stat, counted from the field after the program's name.
const (
	stateField     = 0
	startTimeField = 19
)

// readStat reads the start time and state of a process from /proc/PID/stat, see proc(5).
func readStat(pid int) (processStat, error) {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return processStat{}, err
	}
	// The program's name is in parentheses and may itself contain parentheses and blanks.
	fields := bytes.Fields(text[bytes.LastIndexByte(text, ')')+1:])
	if len(fields) <= startTimeField {
		return processStat{}, errors.New("proc: /proc/PID/stat has too few fields")
	}
	ticks, err := strconv.ParseUint(string(fields[startTimeField]), 10, 64)
	return processStat{ticks: ticks, state: fields[stateField][0]}, err
}

// Found is a process that has a launch ID in its environment.
type Found struct {
	PID   int
	Ticks uint64
	Exe   string // path of its program, "" if it can't be read
}

// Find returns the running processes whose launch ID begins with prefix, by launch ID. It leaves
// out processes whose environment this user may not read.
func Find(prefix string) map[string]Found {
	out := make(map[string]Found)
	dirs, _ := filepath.Glob("/proc/[0-9]*")
	for _, dir := range dirs {
		pid, err := strconv.Atoi(filepath.Base(dir))
		if err != nil {
			continue
		}
		env, err := os.ReadFile(dir + "/environ")
		if err != nil {
			continue // the process belongs to another user, or has exited
		}
		for _, variable := range bytes.Split(env, []byte{0}) {
			launch, ok := bytes.CutPrefix(variable, []byte(LaunchVariable+"="))
			if !ok || !bytes.HasPrefix(launch, []byte(prefix)) {
				continue
			}
			if stat, err := readStat(pid); err == nil && stat.state != stateZombie {
				exe, _ := os.Readlink(dir + "/exe")
				out[string(launch)] = Found{PID: pid, Ticks: stat.ticks, Exe: exe}
			}
		}
	}
	return out
}

// HealthReport is what a sidecar reports in its response to a health check. Each field is "" if the
// sidecar does not report it.
type HealthReport struct {
	ConfigHash string // SHA-256 in hex of the configuration that it runs
	Record     string // state of its idempotency store
	Launch     string // launch ID of the process that answered, if it supports the hand-over
}

// Health makes a health check at a sidecar's address, within limit. The error is nil only if the
// sidecar answers with status 200.
func Health(ctx context.Context, addr string, limit time.Duration) (health HealthReport, err error) {
	dialer := net.Dialer{Timeout: limit, KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return health, err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(limit))
	if _, err := io.WriteString(conn, "GET /_health HTTP/1.1\r\nHost: agent\r\nConnection: close\r\n\r\n"); err != nil {
		return health, err
	}
	resp, err := http.ReadResponse(bufio.NewReaderSize(conn, 4096), nil)
	if err != nil {
		return health, fmt.Errorf("health: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return health, fmt.Errorf("health: answered %s", resp.Status)
	}
	return HealthReport{resp.Header.Get("Config-Sum"), resp.Header.Get("Record"), resp.Header.Get("Hands-Over")}, nil
}

// Rotate keeps a log, with its rotated part, within limit bytes. If the log is larger than half
// the limit, Rotate copies the last limit/2 bytes of it to the file with the suffix .1, which it
// replaces, and truncates the log. The process that writes the log keeps it open; lines that it
// writes during the rotation may be lost. A log that does not exist is not an error.
func Rotate(path string, limit int64) error {
	info, err := os.Stat(path)
	if err != nil || info.Size() <= limit/2 {
		return nil
	}
	in, err := os.Open(path)
	if err != nil {
		return err
	}
	defer in.Close()
	if _, err := in.Seek(max(0, info.Size()-limit/2), io.SeekStart); err != nil {
		return err
	}
	out, err := os.OpenFile(path+".1", os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o640)
	if err != nil {
		return err
	}
	_, err = io.Copy(out, io.LimitReader(in, limit/2))
	if closeErr := out.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return err
	}
	return os.Truncate(path, 0)
}
