package main

import (
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
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
	force, err := load(f.getenv)
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
		if _, err := reload(f.getenv, force); err == nil || !strings.Contains(err.Error(), c.names) {
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

// A reload moves to the discovery that the file names now, though the environment
// still names the old one, and no request is lost by it; a file that can't be read
// changes nothing. A stop answers what was taken.
func TestReloadAndStop(t *testing.T) {
	came, hold := make(chan struct{}, 1), make(chan struct{})
	first := oneServerDiscovery(t, 50, "s1", backend(t, "one", came, hold))
	second := oneServerDiscovery(t, 3, "s2", backend(t, "two", came, hold))
	path := filepath.Join(t.TempDir(), "config.json")
	write := func(text string) {
		t.Helper()
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(fmt.Sprintf(testConfigFormat, first))
	t.Setenv("BALANCER_CONFIG", path)
	t.Setenv("BALANCER_DISCOVERY", first)
	t.Setenv("BALANCER_LISTEN", "")
	c, err := load(os.Getenv)
	if err != nil {
		t.Fatal(err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	term, hup, done := make(chan time.Time, 1), make(chan os.Signal, 1), make(chan error, 1)
	r := &resources{config: c, listeners: []*net.TCPListener{ln.(*net.TCPListener)}}
	r.Limit(c.fullQuota())
	go func() { done <- run(c, r, nil, nil, signals{terminate: term, reload: hup}) }()

	client := &http.Client{Timeout: patience, Transport: &http.Transport{}}
	id := 0
	ask := func(method, path string) (int, string) {
		id++
		var body io.Reader
		if method == http.MethodPost {
			body = strings.NewReader("card")
		}
		r, err := http.NewRequest(method, "http://"+ln.Addr().String()+path, body)
		if err != nil {
			return 0, err.Error()
		}
		r.Header.Set("Req-Id", fmt.Sprint(id))
		resp, err := client.Do(r)
		if err != nil {
			return 0, err.Error()
		}
		defer resp.Body.Close()
		b, _ := io.ReadAll(resp.Body)
		return resp.StatusCode, string(b)
	}
	eventually(t, "ready", func() bool { s, _ := ask("GET", "/_health"); return s == http.StatusOK })
	eventually(t, "an answer of the first server", func() bool { _, b := ask("GET", "/look"); return b == "one" })

	// The health response names the file in force.
	told := func() string {
		r, err := client.Get("http://" + ln.Addr().String() + "/_health")
		if err != nil {
			return err.Error()
		}
		r.Body.Close()
		return r.Header.Get(healthConfigHash)
	}
	sumOf := func(text string) string { return fmt.Sprintf("%x", sha256.Sum256([]byte(text))) }
	if got := told(); got != sumOf(fmt.Sprintf(testConfigFormat, first)) {
		t.Errorf("the configuration in force is told to be %s", got)
	}

	write("{")
	hup <- syscall.SIGHUP
	eventually(t, "the reload of a bad file", func() bool { return len(hup) == 0 })
	if s, b := ask("GET", "/look"); s != http.StatusOK || b != "one" {
		t.Errorf("after a bad file: %d %q", s, b)
	}
	if got := told(); got != sumOf(fmt.Sprintf(testConfigFormat, first)) {
		t.Errorf("after a bad file the configuration in force is told to be %s", got)
	}

	write(fmt.Sprintf(testConfigFormat, second))
	hup <- syscall.SIGHUP
	eventually(t, "an answer of the second server", func() bool {
		s, b := ask("GET", "/look")
		if s != http.StatusOK {
			t.Errorf("a request failed at the reload: %d %q", s, b)
		}
		return b == "two"
	})

	if got := told(); got != sumOf(fmt.Sprintf(testConfigFormat, second)) {
		t.Errorf("after the reload the configuration in force is told to be %s", got)
	}

	type answer struct {
		status int
		body   string
	}
	answers := make(chan answer, 1)
	go func() {
		s, b := ask("POST", "/pay")
		answers <- answer{s, b}
	}()
	select {
	case <-came:
	case <-time.After(patience):
		t.Fatal("the request never came to the server")
	}
	term <- time.Now()
	eventually(t, "the stop", func() bool { return len(term) == 0 })
	close(hold)
	if a := <-answers; a != (answer{http.StatusOK, "two"}) {
		t.Errorf("the request open at the stop was answered %v", a)
	}
	select {
	case err := <-done:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(patience):
		t.Error("it did not end")
	}
}
