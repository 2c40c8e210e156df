// Package proc runs sidecars as local processes, each in a session of its own so that it
// outlives the agent that started it, and finds them again after a restart of the agent. It
// does not decide when a process starts or ends. Linux only: it reads /proc.
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

// Marker is the environment variable that holds a sidecar's launch ID, by which a process
// is found even if its PID was never recorded.
const Marker = "MARTENDRUM_LAUNCH"

// Spec is the process to start.
type Spec struct {
	Launch string // unique ID, passed in Marker
	Path   string
	Dir    string
	Env    []string // without Marker
	Log    string   // file to which output is appended
}

// Proc is a process. Done is closed when it has exited.
type Proc struct {
	PID   int
	Ticks uint64 // its start time in clock ticks since boot
	Done  <-chan struct{}

	process *os.Process
	exit    string
}

// Exit is how the process exited. It is valid once Done is closed.
func (p *Proc) Exit() string { return p.exit }

// Signal sends a signal to the process, never to another one that has reused its PID.
func (p *Proc) Signal(sig syscall.Signal) error { return p.process.Signal(sig) }

// Boot returns the ID of the machine's current boot, within which PID and start time
// identify a process.
func Boot() string {
	b, _ := os.ReadFile("/proc/sys/kernel/random/boot_id")
	return strings.TrimSpace(string(b))
}

// Start starts a process. A goroutine waits for its exit.
func Start(s Spec) (*Proc, error) {
	log, err := os.OpenFile(s.Log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o640)
	if err != nil {
		return nil, fmt.Errorf("proc: log: %w", err)
	}
	defer log.Close()
	cmd := exec.Command(s.Path)
	cmd.Dir = s.Dir
	cmd.Env = append(append([]string{}, s.Env...), Marker+"="+s.Launch)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setsid: true}
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("proc: %w", err)
	}
	started, err := readStat(cmd.Process.Pid) // not reaped yet, so it exists
	if err != nil {
		cmd.Process.Kill()
		cmd.Wait()
		return nil, fmt.Errorf("proc: %w", err)
	}
	done := make(chan struct{})
	p := &Proc{PID: cmd.Process.Pid, Ticks: started.ticks, Done: done, process: cmd.Process}
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

// adoptedPollInterval is how often a process that is not a child is checked for its exit.
const adoptedPollInterval = 200 * time.Millisecond

// Adopt returns a process that an earlier agent started, or os.ErrProcessDone if it no
// longer runs. Cancelling ctx ends the wait for its exit, not the process.
func Adopt(ctx context.Context, pid int, ticks uint64) (*Proc, error) {
	op, err := os.FindProcess(pid) // refers to this process, not its PID, where the kernel supports it
	if err != nil {
		return nil, err
	}
	if !Alive(pid, ticks) {
		op.Release()
		return nil, os.ErrProcessDone
	}
	done := make(chan struct{})
	p := &Proc{PID: pid, Ticks: ticks, Done: done, process: op, exit: "ended; how is not known, as an earlier agent had started it"}
	go func() {
		t := time.NewTicker(adoptedPollInterval)
		defer t.Stop()
		for Alive(pid, ticks) {
			select {
			case <-t.C:
			case <-ctx.Done():
				return
			}
		}
		close(done)
	}()
	return p, nil
}

// Alive reports whether the process with this PID and start time runs. A process that has
// exited and was not waited for yet does not.
func Alive(pid int, ticks uint64) bool {
	s, err := readStat(pid)
	return err == nil && s.ticks == ticks && s.state != stateZombie && s.state != stateDead
}

// The states of a process that has exited, see proc(5).
const (
	stateZombie = 'Z'
	stateDead   = 'X'
)

// processStat is the start time and state of a process.
type processStat struct {
	ticks uint64
	state byte
}

// The fields of /proc/PID/stat, counted after the program's name.
const (
	stateField     = 0
	startTimeField = 19
)

// readStat reads /proc/PID/stat, see proc(5).
func readStat(pid int) (processStat, error) {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return processStat{}, err
	}
	// The program's name, in parentheses, may contain any character.
	fields := bytes.Fields(text[bytes.LastIndexByte(text, ')')+1:])
	if len(fields) <= startTimeField {
		return processStat{}, errors.New("proc: /proc/PID/stat is not understood")
	}
	ticks, err := strconv.ParseUint(string(fields[startTimeField]), 10, 64)
	return processStat{ticks: ticks, state: fields[stateField][0]}, err
}

// Found is a process that has a launch ID in its environment.
type Found struct {
	PID   int
	Ticks uint64
	Exe   string // path of its program, "" if unknown
}

// Find returns the running processes whose launch ID begins with prefix, by launch ID.
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
			continue // it belongs to another user, or has exited
		}
		for _, v := range bytes.Split(env, []byte{0}) {
			launch, ok := bytes.CutPrefix(v, []byte(Marker+"="))
			if !ok || !bytes.HasPrefix(launch, []byte(prefix)) {
				continue
			}
			if s, err := readStat(pid); err == nil && s.state != stateZombie {
				exe, _ := os.Readlink(dir + "/exe")
				out[string(launch)] = Found{PID: pid, Ticks: s.ticks, Exe: exe}
			}
		}
	}
	return out
}

// Healthy is what a sidecar reports in its health call; "" for what it does not report.
type Healthy struct {
	ConfigSum string // hash of the configuration in force
	Record    string // state of its idempotency store
	Launch    string // launch ID of the process that answered, if it can hand over
}

// Health makes the health call, within limit.
func Health(ctx context.Context, addr string, limit time.Duration) (h Healthy, err error) {
	d := net.Dialer{Timeout: limit, KeepAlive: -1}
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return h, err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(limit))
	if _, err := io.WriteString(conn, "GET /_health HTTP/1.1\r\nHost: agent\r\nConnection: close\r\n\r\n"); err != nil {
		return h, err
	}
	resp, err := http.ReadResponse(bufio.NewReaderSize(conn, 4096), nil)
	if err != nil {
		return h, fmt.Errorf("health: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		return h, fmt.Errorf("health: answered %s", resp.Status)
	}
	return Healthy{resp.Header.Get("Config-Sum"), resp.Header.Get("Record"), resp.Header.Get("Hands-Over")}, nil
}

// Rotate keeps a log within limit bytes: once it is larger than half of that, its content is
// moved to the file with the suffix .1 and it is truncated. The writer continues with the
// same open file; lines written during the rotation may be lost.
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
	if e := out.Close(); err == nil {
		err = e
	}
	if err != nil {
		return err
	}
	return os.Truncate(path, 0)
}
