package main

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

// A request that is open when its class changes from unsafe to safe is not sent again
// when its connection breaks, one that comes later is. Added classes are served,
// dropped ones are not, and come back to their counts.
func TestReloadKeepsClassOfOpenRequests(t *testing.T) {
	f := newFixture(t, 256)
	came, let := make(chan struct{}, 100), make(chan struct{})
	addr, ran := resettingServer(t, came, let)
	text := mustReplace(t, f.configText(t), f.discoveryAddr, oneServerDiscovery(t, 9, "breaks", addr))
	f.writeConfig(t, text)
	p := f.startProcess()
	p.waitReady(t)
	open := make(chan int, 1)
	go func() { open <- sendRequest(t, f.listen, http.MethodPost, "/pay") }()
	<-came
	p.reloadConfig(t, f, mustReplace(t, mustReplace(t, text, `"once"`, `"repeatable"`), `"name":"look"`, `"name":"seen"`))
	if n := p.metric(t, "config_applied"); n != 1 {
		t.Fatalf("%v files applied", n)
	}
	close(let)
	if got := <-open; got != http.StatusBadGateway || ran.Load() != 1 {
		t.Errorf("the open request was answered %d after %d runs", got, ran.Load())
	}
	if got := sendRequest(t, f.listen, http.MethodPost, "/pay"); got != http.StatusMethodNotAllowed {
		t.Errorf("the old method of a changed class: %d", got)
	}
	if got := sendRequest(t, f.listen, http.MethodGet, "/look"); got != http.StatusNotFound {
		t.Errorf("a dropped class: %d", got)
	}
	if sendRequest(t, f.listen, http.MethodGet, "/seen"); ran.Load() < 2 {
		t.Error("a new class was not sent")
	}
	p.reloadConfig(t, f, text)
	if got := sendRequest(t, f.listen, http.MethodGet, "/seen"); got != http.StatusNotFound {
		t.Errorf("a class dropped again: %d", got)
	}
	if n := p.metric(t, `responses{kind="pay",result="errors"}`); n != 1 {
		t.Errorf("%v failures counted", n)
	}
}

// A broken file changes nothing, and the log names its place.
func TestBrokenFileChangesNothing(t *testing.T) {
	f := newFixture(t, 256)
	p := f.startProcess()
	p.waitReady(t)
	good := f.configText(t)
	force, err := loadConfig(f.getenv)
	if err != nil {
		t.Fatal(err)
	}
	deadline, cap := `"hardLimitUs":20000000,"effect":"once"`, `"attemptsCap":3`
	for n, c := range []struct{ text, names string }{
		{"", "JSON"},
		{good[:len(good)/2], "JSON"},
		{"[]", "JSON"},
		{mustReplace(t, good, `"seed":"1f",`, ""), "seed"},
		{mustReplace(t, good, `"seed":"1f",`, `"seed":"1f","known":5,`), "known"},
		{mustReplace(t, good, `"limits":{"cores":4,"memory_mb":512,"sockets":256},`, ""), "limits"},
		{mustReplace(t, good, `"sockets":256`, `"sockets":2`), "sockets"},
		{mustReplace(t, good, cap+",", ""), "attemptsCap"},
		{mustReplace(t, good, cap, `"attemptsCap":0`), "attemptsCap"},
		{mustReplace(t, good, cap, `"attemptsCap":-1`), "attemptsCap"},
		{mustReplace(t, good, cap, `"attemptsCap":2.5`), "attemptsCap"},
		{mustReplace(t, good, cap, `"attemptsCap":null`), "attemptsCap"},
		{mustReplace(t, good, cap, `"attemptsCap":"4"`), "attemptsCap"},
		{mustReplace(t, good, `"mostHeld":100`, `"mostheld_":100`), "mostHeld"},
		{mustReplace(t, good, deadline, `"effect":"once"`), "hardLimitUs"},
		{mustReplace(t, good, deadline, `"hardLimitUs":0,"effect":"once"`), "hardLimitUs"},
		{mustReplace(t, good, deadline, `"hardLimitUs":-5,"effect":"once"`), "hardLimitUs"},
		{mustReplace(t, good, deadline, `"hardLimitUs":"1s","effect":"once"`), "hardLimitUs"},
		{mustReplace(t, good, deadline, `"hardLimitUs":20000000`), "effect"},
		{mustReplace(t, good, `"effect":"once"`, `"effect":"twice"`), "effect"},
		{mustReplace(t, good, `"name":"pay"`, `"name":"look"`), "two classes"},
		{mustReplace(t, good, `"name":"pay"`, `"name":""`), "name"},
		{mustReplace(t, good, `"guarantees":{"drainGraceUs":2000000,"coldFrom":1},`, ""), "guarantees"},
	} {
		p.reloadConfig(t, f, c.text)
		if got := p.metric(t, "config_rejected"); got != float64(n+1) {
			t.Fatalf("case %d was taken: %s", n, c.text)
		}
		if _, err := reloadConfig(f.getenv, force); err == nil || !strings.Contains(err.Error(), c.names) {
			t.Errorf("case %d: %v, want it to name %s", n, err, c.names)
		}
		for _, path := range []string{"/look", "/pay"} {
			method := map[string]string{"/look": http.MethodGet, "/pay": http.MethodPost}[path]
			if got := sendRequest(t, f.listen, method, path); got != http.StatusOK {
				t.Errorf("case %d: %s answered %d", n, path, got)
			}
		}
	}
	if n := p.metric(t, "config_applied"); n != 0 {
		t.Errorf("%v files applied", n)
	}
}

// A reload follows the discovery that the file names now, though the environment still names
// the old one, and loses no request. A file that can't be read changes nothing. A stop answers
// the requests that are open.
func TestReloadAndStop(t *testing.T) {
	arrived, hold := make(chan struct{}, 1), make(chan struct{})
	first := oneServerDiscovery(t, 50, "s1", startNamedServer(t, "one", arrived, hold))
	second := oneServerDiscovery(t, 3, "s2", startNamedServer(t, "two", arrived, hold))
	s := startInProcess(t, fmt.Sprintf(testConfigFormat, first), first)
	eventually(t, "ready", func() bool { status, _ := s.send("GET", "/_health"); return status == http.StatusOK })
	eventually(t, "an answer of the first server", func() bool { _, body := s.send("GET", "/look"); return body == "one" })
	if got := s.configHash(); got != sha256Hex(fmt.Sprintf(testConfigFormat, first)) {
		t.Errorf("the health response reports the configuration %s", got)
	}

	s.reload("{")
	eventually(t, "the reload of a bad file", func() bool { return len(s.hangup) == 0 })
	if status, body := s.send("GET", "/look"); status != http.StatusOK || body != "one" {
		t.Errorf("after a bad file: %d %q", status, body)
	}
	if got := s.configHash(); got != sha256Hex(fmt.Sprintf(testConfigFormat, first)) {
		t.Errorf("after a bad file the health response reports the configuration %s", got)
	}

	s.reload(fmt.Sprintf(testConfigFormat, second))
	eventually(t, "an answer of the second server", func() bool {
		status, body := s.send("GET", "/look")
		if status != http.StatusOK {
			t.Errorf("a request failed at the reload: %d %q", status, body)
		}
		return body == "two"
	})
	if got := s.configHash(); got != sha256Hex(fmt.Sprintf(testConfigFormat, second)) {
		t.Errorf("after the reload the health response reports the configuration %s", got)
	}

	s.stopWithOpenRequest(arrived, hold)
}

// stopWithOpenRequest terminates the sidecar while a server holds a request, and checks that the
// request is answered by the second server and that the sidecar ends.
func (s *inProcessSidecar) stopWithOpenRequest(arrived <-chan struct{}, hold chan<- struct{}) {
	s.t.Helper()
	type answer struct {
		status int
		body   string
	}
	answers := make(chan answer, 1)
	go func() {
		status, body := s.send("POST", "/pay")
		answers <- answer{status, body}
	}()
	select {
	case <-arrived:
	case <-time.After(patience):
		s.t.Fatal("the request never came to the server")
	}
	s.terminate <- time.Now()
	eventually(s.t, "the stop", func() bool { return len(s.terminate) == 0 })
	close(hold)
	if got := <-answers; got != (answer{http.StatusOK, "two"}) {
		s.t.Errorf("the request open at the stop was answered %v", got)
	}
	select {
	case err := <-s.exited:
		if err != nil {
			s.t.Error(err)
		}
	case <-time.After(patience):
		s.t.Error("it did not end")
	}
}
