package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// upgradeUnderLoad starts a new process under load, terminates the old one, and returns the new
// one. It checks that the old process exits with status 0, and that the new one starts with the
// learned state of the old one and has the full limits in the end.
func (f *fixture) upgradeUnderLoad(old *process, clients *clientGroup) *process {
	f.t.Helper()
	clients.waitServed(f.t, 50)
	next := f.startReadyProcess()
	clients.waitServed(f.t, 50)
	old.Process.Signal(syscall.SIGTERM)
	clients.waitServed(f.t, 50)
	if err := old.waitExit(f.t); err != nil {
		f.t.Errorf("exit of the old process after SIGTERM: got %v, want status 0", err)
	}
	next.waitSocketQuota(f.t, 256)
	next.awaitLog(f.t, "warm start")
	return next
}

// TestUpgradeLosesNothing checks that no request fails during consecutive upgrades under load, and
// that each predecessor exits after SIGTERM. This holds also if there are as many clients, each on
// a persistent connection, as requests may be in flight. If there are more clients than that,
// requests may fail, but the requests in flight of both processes together must stay within the
// limit.
func TestUpgradeLosesNothing(t *testing.T) {
	for _, load := range []upgradeLoad{
		{clients: 8, persistent: 4, maxInFlight: 100, upgrades: 3, lossless: true},
		{clients: 8, persistent: 8, maxInFlight: 8, upgrades: 20, lossless: true},
		{clients: 24, persistent: 24, maxInFlight: 8, upgrades: 3, lossless: false},
	} {
		t.Run(fmt.Sprintf("%d clients, %d requests in flight", load.clients, load.maxInFlight), load.test)
	}
}

// upgradeLoad is the load during consecutive upgrades, and what is expected of them.
type upgradeLoad struct {
	clients     int
	persistent  int  // number of the clients that keep their connections open
	maxInFlight int  // limit of requests in flight of both processes together
	upgrades    int  // number of consecutive upgrades
	lossless    bool // no request may fail
}

// test runs TestUpgradeLosesNothing with one load.
func (load upgradeLoad) test(t *testing.T) {
	var server concurrencyMeter
	f := newFixtureWithServer(t, server.serve, 256, `"mostHeld":100`, fmt.Sprintf(`"mostHeld":%d`, load.maxInFlight))
	p := f.startReadyProcess()
	clients := startClients(t, f.listen, load.clients, load.persistent)
	for range load.upgrades {
		p = f.upgradeUnderLoad(p, clients)
	}
	clients.waitServed(t, 50)
	clients.stopAll()
	if !load.lossless {
		clients.failures.Clear()
	}
	clients.checkServed(t)
	if n := server.peak.Load(); n == 0 || n > int64(load.maxInFlight) {
		t.Errorf("got a peak of %d concurrent requests at the server, want 1 to %d", n, load.maxInFlight)
	}
}

// concurrencyMeter is a server that measures the peak of its concurrent POST requests. These are
// not hedged, so that each is one request in flight.
type concurrencyMeter struct{ open, peak atomic.Int64 }

// serve answers "one" after 2 ms.
func (m *concurrencyMeter) serve(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		if n := m.open.Add(1); n > m.peak.Load() {
			m.peak.Store(n)
		}
	}
	time.Sleep(2 * time.Millisecond)
	if r.Method == http.MethodPost {
		m.open.Add(-1)
	}
	io.WriteString(w, "one")
}

// TestUpgradeOfAStalledProcess checks that a process that was suspended when its successor started
// hands over when it resumes. The successor has opened a listener of its own meanwhile and accepts
// from both. No request may fail in this upgrade or in the next one, which hands both listeners
// over.
func TestUpgradeOfAStalledProcess(t *testing.T) {
	for _, test := range []struct {
		name                     string
		terminatedWhileSuspended bool // SIGTERM arrives before SIGCONT, as an agent may send it
	}{{"terminated after it resumes", false}, {"terminated while suspended", true}} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, 256)
			old := f.startReadyProcess()
			clients := startClients(t, f.listen, 8, 4)
			clients.waitServed(t, 50)
			old.Process.Signal(syscall.SIGSTOP)
			next := f.startReadyProcess()
			next.waitSocketQuota(t, 128)
			if test.terminatedWhileSuspended {
				old.Process.Signal(syscall.SIGTERM)
			}
			old.Process.Signal(syscall.SIGCONT)
			eventually(t, "the hand-over of the resumed process", func() bool { return strings.Contains(next.log.String(), "runs again and hands over") })
			if !test.terminatedWhileSuspended {
				clients.waitServed(t, 50)
				old.Process.Signal(syscall.SIGTERM)
			}
			if err := old.waitExit(t); err != nil {
				t.Errorf("exit of the old process after SIGTERM: got %v, want status 0", err)
			}
			next.waitSocketQuota(t, 256)
			f.upgradeUnderLoad(next, clients)
			clients.waitServed(t, 50)
			clients.checkServed(t)
			if log := old.log.String() + next.log.String(); strings.Contains(log, "ERROR") {
				t.Error("the log of the old or the new process has an error message, want none")
			}
		})
	}
}

// TestUpgradeSharesLimits checks that two processes together use no more descriptors than one
// process may, however many clients connect, and that the new one gets the full quota when its
// predecessor has exited.
func TestUpgradeSharesLimits(t *testing.T) {
	const sockets = 128
	f := newFixture(t, sockets)
	old := f.startReadyProcess()
	var open []net.Conn
	defer func() {
		for _, c := range open {
			c.Close()
		}
	}()
	connectMany := func() {
		for range 100 {
			if c, err := net.Dial("tcp", f.listen); err == nil {
				fmt.Fprintf(c, "GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")
				open = append(open, c)
			}
		}
	}
	connectMany()
	next := f.startProcess()
	next.waitReady(t)
	for range 5 {
		connectMany()
		if ofOld, ofNext := old.openDescriptors(), next.openDescriptors(); ofOld+ofNext > sockets {
			t.Errorf("the old process has %d descriptors open and the new one %d, want at most %d together", ofOld, ofNext, sockets)
		}
	}
	old.Process.Signal(syscall.SIGTERM)
	old.waitExit(t)
	next.waitSocketQuota(t, sockets)
	for _, c := range open {
		c.Close()
	}
	eventually(t, "a request of a new client to be answered", func() bool {
		return sendAlternating(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, f.listen) == nil
	})
}

// TestUpgradeSharesIDs checks that two processes share the ids of open and recent requests: a
// request with an id in use is rejected and reaches no server, whichever of the processes receives
// it.
func TestUpgradeSharesIDs(t *testing.T) {
	var arrived atomic.Int64
	hold := make(chan struct{})
	f := newFixtureWithServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Req-Id") == "same" {
			arrived.Add(1)
			<-hold
		}
		io.WriteString(w, "one")
	}, 256)
	old := f.startReadyProcess()
	pay := func() int { return sendRequestAs(t, "same", f.listen, http.MethodPost, "/pay") }
	checkRejected := func(when string) {
		t.Helper()
		for n := range 20 { // each process receives some of them
			if got := pay(); got != http.StatusConflict {
				t.Errorf("%s: request %d with an id in use: got status %d, want 409", when, n, got)
			}
		}
	}
	firstStatus := make(chan int, 1)
	go func() { firstStatus <- pay() }()
	eventually(t, "the first request at the server", func() bool { return arrived.Load() == 1 })
	next := f.startReadyProcess()
	checkRejected("while both processes serve")
	old.Process.Signal(syscall.SIGTERM)
	eventually(t, "the old process to stop being ready", func() bool { return old.adminStatus("/api/ready") != http.StatusOK })
	checkRejected("while the old process stops")
	close(hold)
	if got := <-firstStatus; got != http.StatusOK {
		t.Errorf("first request with the id: got status %d, want 200", got)
	}
	old.waitExit(t)
	checkRejected("after the answer to the first request")
	if n := arrived.Load(); n != 1 {
		t.Errorf("the server received %d requests with the same id, want 1", n)
	}
	next.waitSocketQuota(t, 256)
	if err := sendAlternating(http.DefaultClient, f.listen); err != nil {
		t.Errorf("request with another id: %v", err)
	}
}
