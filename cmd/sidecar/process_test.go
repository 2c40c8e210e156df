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
	mgmt string
	log  *safeBuffer
	done chan error
}

type safeBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *safeBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *safeBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

func (p *process) status(path string) int {
	c := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + p.mgmt + path)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// quota is how many descriptors the process may hold, by its own word.
func (p *process) quota() (n int) {
	c := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + p.mgmt + "/api/telemetry")
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

func (p *process) holds(t *testing.T, sockets int) {
	t.Helper()
	eventually(t, fmt.Sprint("a share of descriptors of ", sockets), func() bool { return p.quota() == sockets })
}

func (p *process) ready(t *testing.T) {
	t.Helper()
	eventually(t, "a process that takes clients", func() bool { return p.status("/api/ready") == http.StatusOK })
}

// ends waits for the process's end.
func (p *process) ends(t *testing.T) error {
	t.Helper()
	select {
	case err := <-p.done:
		p.done <- err
		return err
	case <-time.After(patience):
		t.Fatal("the process did not end")
		return nil
	}
}

// sockets is how many descriptors are open, 0 after its end.
func (p *process) sockets() int {
	names, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.Process.Pid))
	return len(names)
}

// metric is a figure by its full name, -1 if there is none.
func (p *process) metric(t *testing.T, name string) float64 {
	t.Helper()
	resp, err := http.Get("http://" + p.mgmt + "/api/telemetry")
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

// retune writes a new file and waits until the process has decided on it.
func (p *process) retune(t *testing.T, s *shop, text string) {
	t.Helper()
	before := p.metric(t, "config_applied") + p.metric(t, "config_rejected")
	s.configure(t, text)
	p.Process.Signal(syscall.SIGHUP)
	eventually(t, "a word on the file", func() bool { return p.metric(t, "config_applied")+p.metric(t, "config_rejected") == before+1 })
}
