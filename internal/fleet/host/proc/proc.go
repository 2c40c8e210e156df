// Package proc runs sidecars as processes of this machine, in sessions of their
// own so that they outlive whoever started them, and finds them again. It decides
// nothing about them. Linux only: it reads /proc.
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

// Marker is the environment variable that tells a sidecar's launch, so that one
// whose pid was never recorded is found all the same.
const Marker = "MARTENDRUM_LAUNCH"

// Spec is what to start.
type Spec struct {
	Launch string // unique; for Marker
	Path   string
	Dir    string
	Env    []string // beside Marker
	Log    string   // the file that output is appended to
}

// Proc is a running process. Done is closed when it has ended.
type Proc struct {
	PID   int
	Ticks uint64 // its start time since the machine's boot, in clock ticks
	Done  <-chan struct{}

	process *os.Process
	exit    string
}

// Exit is how it ended; valid once Done is closed.
func (p *Proc) Exit() string { return p.exit }

// Signal signals the process, and never another that got its pid.
func (p *Proc) Signal(sig syscall.Signal) error { return p.process.Signal(sig) }

// Boot is the id of the machine's boot, within which pid and start time name a process.
func Boot() string {
	b, _ := os.ReadFile("/proc/sys/kernel/random/boot_id")
	return strings.TrimSpace(string(b))
}

// Start starts a process. A goroutine waits for its end.
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
	ticks, _, err := stat(cmd.Process.Pid) // not reaped yet: it is there
	if err != nil {
		cmd.Process.Kill()
		cmd.Wait()
		return nil, fmt.Errorf("proc: %w", err)
	}
	done := make(chan struct{})
	p := &Proc{PID: cmd.Process.Pid, Ticks: ticks, Done: done, process: cmd.Process}
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

// adoptedPollInterval is how often a process that is no child is looked at.
const adoptedPollInterval = 200 * time.Millisecond

// Adopt takes over a process that another has started, if it still runs. ctx ends
// the watch over it, not the process.
func Adopt(ctx context.Context, pid int, ticks uint64) (*Proc, error) {
	op, err := os.FindProcess(pid) // holds on to this process where the kernel can
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

// Alive says whether the process of that pid and start time runs. One that has
// ended and was not waited for yet does not.
func Alive(pid int, ticks uint64) bool {
	t, state, err := stat(pid)
	return err == nil && t == ticks && state != 'Z' && state != 'X'
}

// stat reads start time and state off /proc/PID/stat, as proc(5) has them.
func stat(pid int) (ticks uint64, state byte, err error) {
	b, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return 0, 0, err
	}
	// The name, in parentheses, may hold anything.
	f := bytes.Fields(b[bytes.LastIndexByte(b, ')')+1:])
	if len(f) < 20 {
		return 0, 0, errors.New("proc: /proc/PID/stat is not understood")
	}
	ticks, err = strconv.ParseUint(string(f[19]), 10, 64)
	return ticks, f[0][0], err
}

// Found is a process that carries a launch in its environment.
type Found struct {
	PID   int
	Ticks uint64
	Exe   string // the path of its program, "" if not known
}

// Find returns the running processes whose launch begins with prefix, by launch.
func Find(prefix string) map[string]Found {
	out := make(map[string]Found)
	dirs, _ := filepath.Glob("/proc/[0-9]*")
	for _, d := range dirs {
		pid, err := strconv.Atoi(filepath.Base(d))
		if err != nil {
			continue
		}
		env, err := os.ReadFile(d + "/environ")
		if err != nil {
			continue // another user's, or gone
		}
		for _, v := range bytes.Split(env, []byte{0}) {
			launch, ok := bytes.CutPrefix(v, []byte(Marker+"="))
			if !ok || !bytes.HasPrefix(launch, []byte(prefix)) {
				continue
			}
			if ticks, state, err := stat(pid); err == nil && state != 'Z' {
				exe, _ := os.Readlink(d + "/exe")
				out[string(launch)] = Found{PID: pid, Ticks: ticks, Exe: exe}
			}
		}
	}
	return out
}

// Healthy is what a sidecar says of itself in the health call; "" where it says nothing.
type Healthy struct {
	ConfigSum string // of the configuration in force
	Record    string // how its store of record does
	Launch    string // which process answered; told only by one that can hand over
}

// Health makes the health call.
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

// Rotate keeps a log within most bytes: past half of that its content goes to
// file.1 and it begins anew. Lines written meanwhile may be lost; the writer goes
// on with the same open file.
func Rotate(path string, limit int64) error {
	st, err := os.Stat(path)
	if err != nil || st.Size() <= limit/2 {
		return nil
	}
	in, err := os.Open(path)
	if err != nil {
		return err
	}
	defer in.Close()
	if _, err := in.Seek(max(0, st.Size()-limit/2), io.SeekStart); err != nil {
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
