package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// process is a sidecar that runs in a process of its own.
type process struct {
	*exec.Cmd
	adminAddr string
	log       *synchronizedBuffer // standard error
	exited    chan error          // receives the result of Wait; who reads it puts it back
}

// synchronizedBuffer is a bytes.Buffer for concurrent use.
type synchronizedBuffer struct {
	mu     sync.Mutex // guards buffer
	buffer bytes.Buffer
}

// Write implements io.Writer.
func (s *synchronizedBuffer) Write(data []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buffer.Write(data)
}

// String returns all that was written.
func (s *synchronizedBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buffer.String()
}

// adminStatus requests a path of the admin endpoint and returns the status of the answer, 0 if
// there is none.
func (p *process) adminStatus(path string) int {
	c := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + p.adminAddr + path)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// socketQuota returns the process's quota of descriptors from its metrics, 0 if it does not answer.
func (p *process) socketQuota() (n int) {
	c := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + p.adminAddr + "/api/telemetry")
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	if _, rest, ok := strings.Cut(string(text), `edge_balancer_share{of="sockets"} `); ok {
		fmt.Sscan(rest, &n)
	}
	return n
}

// awaitLog waits until the process's log contains all of the texts. A message that the process
// logged before it became ready may be read from it only later.
func (p *process) awaitLog(t *testing.T, texts ...string) {
	t.Helper()
	for _, text := range texts {
		eventually(t, fmt.Sprintf("the log message %q", text), func() bool { return strings.Contains(p.log.String(), text) })
	}
}

// waitSocketQuota waits until the process's quota of descriptors is sockets.
func (p *process) waitSocketQuota(t *testing.T, sockets int) {
	t.Helper()
	eventually(t, fmt.Sprint("a quota of descriptors of ", sockets), func() bool { return p.socketQuota() == sockets })
}

// waitReady waits until the process accepts clients.
func (p *process) waitReady(t *testing.T) {
	t.Helper()
	eventually(t, "the process to accept clients", func() bool { return p.adminStatus("/api/ready") == http.StatusOK })
}

// waitExit waits until the process has exited and returns the error of Wait, nil for status 0.
func (p *process) waitExit(t *testing.T) error {
	t.Helper()
	select {
	case err := <-p.exited:
		p.exited <- err
		return err
	case <-time.After(eventTimeout):
		t.Fatalf("the process did not exit within %v", eventTimeout)
		return nil
	}
}

// openDescriptors returns the number of descriptors that the process has open, 0 after its exit.
func (p *process) openDescriptors() int {
	names, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.Process.Pid))
	return len(names)
}

// metric returns the value of a metric, -1 if there is none. name includes the labels, but not the
// prefix edge_balancer_.
func (p *process) metric(t *testing.T, name string) float64 {
	t.Helper()
	resp, err := http.Get("http://" + p.adminAddr + "/api/telemetry")
	if err != nil {
		t.Fatalf("reading the metric %s: %v", name, err)
	}
	defer resp.Body.Close()
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		if rest, ok := strings.CutPrefix(lines.Text(), "edge_balancer_"+name+" "); ok {
			var value float64
			fmt.Sscan(rest, &value)
			return value
		}
	}
	return -1
}

// reloadConfig writes a new configuration file, signals the process to reload it, and waits until the
// process has applied or rejected it.
func (p *process) reloadConfig(t *testing.T, f *fixture, text string) {
	t.Helper()
	before := p.metric(t, "config_applied") + p.metric(t, "config_rejected")
	f.writeConfig(t, text)
	p.Process.Signal(syscall.SIGHUP)
	eventually(t, "the new configuration file to be applied or rejected", func() bool { return p.metric(t, "config_applied")+p.metric(t, "config_rejected") == before+1 })
}
