package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"

	"martendrum/internal/standin/tcp"
)

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

// sendRequest makes one request on a connection of its own and returns the answer's status.
func sendRequest(t *testing.T, addr, method, path string) int {
	t.Helper()
	return sendRequestAs(t, fmt.Sprint("r", requests.Add(1)), addr, method, path)
}

// sendRequestAs is ask under an id.
func sendRequestAs(t *testing.T, id, addr, method, path string) int {
	t.Helper()
	r, err := http.NewRequest(method, "http://"+addr+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Req-Id", id)
	c := &http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// configure writes the configuration's text.
func (s *shop) configure(t *testing.T, text string) {
	t.Helper()
	if err := os.WriteFile(s.config, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

func (s *shop) text(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile(s.config)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func (s *shop) getenv(name string) string {
	return map[string]string{"BALANCER_CONFIG": s.config}[name]
}

// reset is a server that accepts requests, reports each, and breaks the connection once
// released. It counts what it ran.
func reset(t *testing.T, came chan<- struct{}, let <-chan struct{}) (addr string, ran *atomic.Int64) {
	t.Helper()
	ran = new(atomic.Int64)
	return tcp.Requests(t, func(int, int, net.Conn, *http.Request) bool {
		ran.Add(1)
		came <- struct{}{}
		<-let
		return false
	}), ran
}

// retune writes a new file and waits until the process has decided on it.
func (p *process) retune(t *testing.T, s *shop, text string) {
	t.Helper()
	before := p.metric(t, "config_applied") + p.metric(t, "config_rejected")
	s.configure(t, text)
	p.Process.Signal(syscall.SIGHUP)
	eventually(t, "a word on the file", func() bool { return p.metric(t, "config_applied")+p.metric(t, "config_rejected") == before+1 })
}

// replace is strings.Replace of something that is there.
func replace(t *testing.T, text, old, by string) string {
	t.Helper()
	if !strings.Contains(text, old) {
		t.Fatalf("no %q to replace", old)
	}
	return strings.Replace(text, old, by, 1)
}

// A request that is open when its class changes from unsafe to safe is not sent again
// when its connection breaks, one that comes later is. Added classes are served,
// dropped ones are not, and come back to their counts.
func TestReloadKeepsClassOfOpenRequests(t *testing.T) {
	s := newShop(t, 256)
	came, let := make(chan struct{}, 100), make(chan struct{})
	addr, ran := reset(t, came, let)
	text := replace(t, s.text(t), s.discovery, registry(t, 9, "breaks", addr))
	s.configure(t, text)
	p := s.start()
	p.ready(t)
	open := make(chan int, 1)
	go func() { open <- sendRequest(t, s.listen, http.MethodPost, "/pay") }()
	<-came
	p.retune(t, s, replace(t, replace(t, text, `"once"`, `"repeatable"`), `"name":"look"`, `"name":"seen"`))
	if n := p.metric(t, "config_applied"); n != 1 {
		t.Fatalf("%v files applied", n)
	}
	close(let)
	if got := <-open; got != http.StatusBadGateway || ran.Load() != 1 {
		t.Errorf("the open request was answered %d after %d runs", got, ran.Load())
	}
	if got := sendRequest(t, s.listen, http.MethodPost, "/pay"); got != http.StatusMethodNotAllowed {
		t.Errorf("the old method of a changed class: %d", got)
	}
	if got := sendRequest(t, s.listen, http.MethodGet, "/look"); got != http.StatusNotFound {
		t.Errorf("a dropped class: %d", got)
	}
	if sendRequest(t, s.listen, http.MethodGet, "/seen"); ran.Load() < 2 {
		t.Error("a new class was not sent")
	}
	p.retune(t, s, text)
	if got := sendRequest(t, s.listen, http.MethodGet, "/seen"); got != http.StatusNotFound {
		t.Errorf("a class dropped again: %d", got)
	}
	if n := p.metric(t, `responses{kind="pay",result="errors"}`); n != 1 {
		t.Errorf("%v failures counted", n)
	}
}

// A broken file changes nothing, and the log names its place.
func TestBrokenFileChangesNothing(t *testing.T) {
	s := newShop(t, 256)
	p := s.start()
	p.ready(t)
	good := s.text(t)
	force, err := load(s.getenv)
	if err != nil {
		t.Fatal(err)
	}
	deadline, cap := `"hardLimitUs":20000000,"effect":"once"`, `"attemptsCap":3`
	for n, c := range []struct{ text, names string }{
		{"", "JSON"},
		{good[:len(good)/2], "JSON"},
		{"[]", "JSON"},
		{replace(t, good, `"seed":"1f",`, ""), "seed"},
		{replace(t, good, `"seed":"1f",`, `"seed":"1f","known":5,`), "known"},
		{replace(t, good, `"limits":{"cores":4,"memory_mb":512,"sockets":256},`, ""), "limits"},
		{replace(t, good, `"sockets":256`, `"sockets":2`), "sockets"},
		{replace(t, good, cap+",", ""), "attemptsCap"},
		{replace(t, good, cap, `"attemptsCap":0`), "attemptsCap"},
		{replace(t, good, cap, `"attemptsCap":-1`), "attemptsCap"},
		{replace(t, good, cap, `"attemptsCap":2.5`), "attemptsCap"},
		{replace(t, good, cap, `"attemptsCap":null`), "attemptsCap"},
		{replace(t, good, cap, `"attemptsCap":"4"`), "attemptsCap"},
		{replace(t, good, `"mostHeld":100`, `"mostheld_":100`), "mostHeld"},
		{replace(t, good, deadline, `"effect":"once"`), "hardLimitUs"},
		{replace(t, good, deadline, `"hardLimitUs":0,"effect":"once"`), "hardLimitUs"},
		{replace(t, good, deadline, `"hardLimitUs":-5,"effect":"once"`), "hardLimitUs"},
		{replace(t, good, deadline, `"hardLimitUs":"1s","effect":"once"`), "hardLimitUs"},
		{replace(t, good, deadline, `"hardLimitUs":20000000`), "effect"},
		{replace(t, good, `"effect":"once"`, `"effect":"twice"`), "effect"},
		{replace(t, good, `"name":"pay"`, `"name":"look"`), "two classes"},
		{replace(t, good, `"name":"pay"`, `"name":""`), "name"},
		{replace(t, good, `"guarantees":{"drainGraceUs":2000000,"coldFrom":1},`, ""), "guarantees"},
	} {
		p.retune(t, s, c.text)
		if got := p.metric(t, "config_rejected"); got != float64(n+1) {
			t.Fatalf("case %d was taken: %s", n, c.text)
		}
		if _, err := reload(s.getenv, force); err == nil || !strings.Contains(err.Error(), c.names) {
			t.Errorf("case %d: %v, want it to name %s", n, err, c.names)
		}
		for _, path := range []string{"/look", "/pay"} {
			method := map[string]string{"/look": http.MethodGet, "/pay": http.MethodPost}[path]
			if got := sendRequest(t, s.listen, method, path); got != http.StatusOK {
				t.Errorf("case %d: %s answered %d", n, path, got)
			}
		}
	}
	if n := p.metric(t, "config_applied"); n != 0 {
		t.Errorf("%v files applied", n)
	}
}
