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

// process is one sidecar process.
type process struct {
	*exec.Cmd
	adminAddr string
	log       *synchronizedBuffer
	exited    chan error
}

// synchronizedBuffer is a bytes.Buffer for concurrent use.
type synchronizedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (s *synchronizedBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buffer.Write(p)
}

func (s *synchronizedBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buffer.String()
}

// adminStatus returns the status of the admin endpoint's answer, 0 if there is none.
func (p *process) adminStatus(path string) int {
	c := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + p.adminAddr + path)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// socketQuota returns how many descriptors the process may hold, by its own metric; 0 if it
// does not answer.
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

// waitSocketQuota waits until the process may hold so many descriptors.
func (p *process) waitSocketQuota(t *testing.T, sockets int) {
	t.Helper()
	eventually(t, fmt.Sprint("a quota of descriptors of ", sockets), func() bool { return p.socketQuota() == sockets })
}

// waitReady waits until the process accepts clients.
func (p *process) waitReady(t *testing.T) {
	t.Helper()
	eventually(t, "a process that takes clients", func() bool { return p.adminStatus("/api/ready") == http.StatusOK })
}

// waitExit waits until the process has exited and returns its error.
func (p *process) waitExit(t *testing.T) error {
	t.Helper()
	select {
	case err := <-p.exited:
		p.exited <- err
		return err
	case <-time.After(patience):
		t.Fatal("the process did not end")
		return nil
	}
}

// openDescriptors returns how many descriptors the process has open, 0 after its exit.
func (p *process) openDescriptors() int {
	names, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.Process.Pid))
	return len(names)
}

// metric returns the value of a metric by its full name, -1 if there is none.
func (p *process) metric(t *testing.T, name string) float64 {
	t.Helper()
	resp, err := http.Get("http://" + p.adminAddr + "/api/telemetry")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	for in := bufio.NewScanner(resp.Body); in.Scan(); {
		if rest, ok := strings.CutPrefix(in.Text(), "edge_balancer_"+name+" "); ok {
			var v float64
			fmt.Sscan(rest, &v)
			return v
		}
	}
	return -1
}

// reloadConfig writes a new file and waits until the process has applied or rejected it.
func (p *process) reloadConfig(t *testing.T, f *fixture, text string) {
	t.Helper()
	before := p.metric(t, "config_applied") + p.metric(t, "config_rejected")
	f.writeConfig(t, text)
	p.Process.Signal(syscall.SIGHUP)
	eventually(t, "the file to be applied or rejected", func() bool { return p.metric(t, "config_applied")+p.metric(t, "config_rejected") == before+1 })
}
