package main

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestReloadKeepsClassOfOpenRequests checks that a request keeps the class that it had on its
// arrival: if a reload changes the class from non-idempotent to idempotent, a request that is open
// is not sent again when its connection breaks. Later requests have the class of the new file. Added
// classes are served and dropped ones are not. A class whose settings come back continues its
// counters.
func TestReloadKeepsClassOfOpenRequests(t *testing.T) {
	f := newFixture(t, 256)
	arrived, release := make(chan struct{}, 100), make(chan struct{})
	addr, received := resettingServer(t, arrived, release)
	text := mustReplace(t, f.configText(t), f.discoveryAddr, oneServerDiscovery(t, 9, "breaks", addr))
	f.writeConfig(t, text)
	p := f.startProcess()
	p.waitReady(t)
	status := make(chan int, 1)
	go func() { status <- sendRequest(t, f.listen, http.MethodPost, "/pay") }()
	<-arrived
	p.reloadConfig(t, f, mustReplace(t, mustReplace(t, text, `"once"`, `"repeatable"`), `"name":"look"`, `"name":"seen"`))
	if n := p.metric(t, "config_applied"); n != 1 {
		t.Fatalf("after the reload: got config_applied %v, want 1", n)
	}
	close(release)
	if got := <-status; got != http.StatusBadGateway || received.Load() != 1 {
		t.Errorf("request open at the reload: got status %d after %d attempts, want 502 after 1", got, received.Load())
	}
	if got := sendRequest(t, f.listen, http.MethodPost, "/pay"); got != http.StatusMethodNotAllowed {
		t.Errorf("POST to the class that now accepts only GET: got status %d, want 405", got)
	}
	if got := sendRequest(t, f.listen, http.MethodGet, "/look"); got != http.StatusNotFound {
		t.Errorf("request of a dropped class: got status %d, want 404", got)
	}
	if sendRequest(t, f.listen, http.MethodGet, "/seen"); received.Load() < 2 {
		t.Errorf("request of an added class: got %d requests at the server so far, want at least 2", received.Load())
	}
	p.reloadConfig(t, f, text)
	if got := sendRequest(t, f.listen, http.MethodGet, "/seen"); got != http.StatusNotFound {
		t.Errorf("request of a class that was added and dropped: got status %d, want 404", got)
	}
	if n := p.metric(t, `responses{kind="pay",result="errors"}`); n != 1 {
		t.Errorf("got %v failed requests of the class pay in the metrics, want 1", n)
	}
}

// TestBrokenFileChangesNothing checks that a reload rejects an invalid configuration file
// completely: the error names the field that is wrong, and requests are served as before.
func TestBrokenFileChangesNothing(t *testing.T) {
	f := newFixture(t, 256)
	p := f.startProcess()
	p.waitReady(t)
	good := f.configText(t)
	inForce, err := loadConfig(f.getenv)
	if err != nil {
		t.Fatal(err)
	}
	deadline, attempts := `"hardLimitUs":20000000,"effect":"once"`, `"attemptsCap":3`
	for n, invalid := range []struct{ text, wantError string }{
		{"", "JSON"},
		{good[:len(good)/2], "JSON"},
		{"[]", "JSON"},
		{mustReplace(t, good, `"seed":"1f",`, ""), "seed"},
		{mustReplace(t, good, `"seed":"1f",`, `"seed":"1f","known":5,`), "known"},
		{mustReplace(t, good, `"limits":{"cores":4,"memory_mb":512,"sockets":256},`, ""), "limits"},
		{mustReplace(t, good, `"sockets":256`, `"sockets":2`), "sockets"},
		{mustReplace(t, good, attempts+",", ""), "attemptsCap"},
		{mustReplace(t, good, attempts, `"attemptsCap":0`), "attemptsCap"},
		{mustReplace(t, good, attempts, `"attemptsCap":-1`), "attemptsCap"},
		{mustReplace(t, good, attempts, `"attemptsCap":2.5`), "attemptsCap"},
		{mustReplace(t, good, attempts, `"attemptsCap":null`), "attemptsCap"},
		{mustReplace(t, good, attempts, `"attemptsCap":"4"`), "attemptsCap"},
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
		p.reloadConfig(t, f, invalid.text)
		if got := p.metric(t, "config_rejected"); got != float64(n+1) {
			t.Fatalf("case %d: got config_rejected %v after the reload, want %d; file: %s", n, got, n+1, invalid.text)
		}
		if _, err := reloadConfig(f.getenv, inForce); err == nil || !strings.Contains(err.Error(), invalid.wantError) {
			t.Errorf("case %d: got error %v, want one that contains %q", n, err, invalid.wantError)
		}
		for _, path := range []string{"/look", "/pay"} {
			method := map[string]string{"/look": http.MethodGet, "/pay": http.MethodPost}[path]
			if got := sendRequest(t, f.listen, method, path); got != http.StatusOK {
				t.Errorf("case %d: %s %s after the rejected reload: got status %d, want 200", n, method, path, got)
			}
		}
	}
	if n := p.metric(t, "config_applied"); n != 0 {
		t.Errorf("got config_applied %v after reloads of invalid files only, want 0", n)
	}
}

// TestReloadAndStop checks that a sidecar follows the discovery that a new file names, although the
// environment still has the address of the old one, and that no request fails meanwhile. A file
// that can't be parsed changes nothing. At a stop, requests that are open are answered.
func TestReloadAndStop(t *testing.T) {
	arrived, hold := make(chan struct{}, 1), make(chan struct{})
	first := oneServerDiscovery(t, 50, "s1", startNamedServer(t, "one", arrived, hold))
	second := oneServerDiscovery(t, 3, "s2", startNamedServer(t, "two", arrived, hold))
	s := startInProcess(t, fmt.Sprintf(testConfigFormat, first), first)
	eventually(t, "the sidecar to be ready", func() bool { status, _ := s.send("GET", "/_health"); return status == http.StatusOK })
	eventually(t, "an answer of the first server", func() bool { _, body := s.send("GET", "/look"); return body == "one" })
	if got := s.configHash(); got != sha256Hex(fmt.Sprintf(testConfigFormat, first)) {
		t.Errorf("hash of the configuration in the health response: got %s, want that of the first file", got)
	}

	s.reload("{")
	eventually(t, "the reload of an invalid file to start", func() bool { return len(s.hangup) == 0 })
	if status, body := s.send("GET", "/look"); status != http.StatusOK || body != "one" {
		t.Errorf("GET /look after the reload of an invalid file: got %d %q, want 200 \"one\"", status, body)
	}
	if got := s.configHash(); got != sha256Hex(fmt.Sprintf(testConfigFormat, first)) {
		t.Errorf("hash of the configuration after the reload of an invalid file: got %s, want that of the first file", got)
	}

	s.reload(fmt.Sprintf(testConfigFormat, second))
	eventually(t, "an answer of the second server", func() bool {
		status, body := s.send("GET", "/look")
		if status != http.StatusOK {
			t.Errorf("GET /look during the reload: got %d %q, want status 200", status, body)
		}
		return body == "two"
	})
	if got := s.configHash(); got != sha256Hex(fmt.Sprintf(testConfigFormat, second)) {
		t.Errorf("hash of the configuration after the reload: got %s, want that of the second file", got)
	}

	s.stopWithOpenRequest(arrived, hold)
}

// stopWithOpenRequest terminates the sidecar while the second server holds a request, and checks
// that the request is answered and that the sidecar ends.
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
	case <-time.After(eventTimeout):
		s.t.Fatalf("the request did not reach the server within %v", eventTimeout)
	}
	s.terminate <- time.Now()
	eventually(s.t, "the sidecar to start its shutdown", func() bool { return len(s.terminate) == 0 })
	close(hold)
	if got := <-answers; got != (answer{http.StatusOK, "two"}) {
		s.t.Errorf("request open at the stop: got %v, want status 200 and body \"two\"", got)
	}
	select {
	case err := <-s.exited:
		if err != nil {
			s.t.Errorf("run returned %v, want nil", err)
		}
	case <-time.After(eventTimeout):
		s.t.Errorf("the sidecar did not end within %v", eventTimeout)
	}
}
