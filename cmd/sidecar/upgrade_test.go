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

// upgradeUnderLoad starts a new process under load and terminates the old one. The new one has
// what the old one had learned, and in the end the full limits.
func (f *fixture) upgradeUnderLoad(old *process, clients *clientGroup) *process {
	f.t.Helper()
	clients.waitServed(f.t, 50)
	next := f.startReadyProcess()
	clients.waitServed(f.t, 50)
	old.Process.Signal(syscall.SIGTERM)
	clients.waitServed(f.t, 50)
	if err := old.waitExit(f.t); err != nil {
		f.t.Errorf("the old process ended with %v", err)
	}
	next.waitSocketQuota(f.t, 256)
	if !strings.Contains(next.log.String(), "warm start") {
		f.t.Error("the new process knows nothing of the old one")
	}
	return next
}

// Consecutive versions under load: each client gets its answers and nothing else, and each
// predecessor exits without a kill. The same holds where as many clients come as requests may
// be in flight, each on a connection that it keeps open; with more clients than that, the
// requests in flight of both processes together stay within the limit.
func TestUpgradeLosesNothing(t *testing.T) {
	for _, load := range []upgradeLoad{
		{clients: 8, persistent: 4, maxInFlight: 100, upgrades: 3, lossless: true},
		{clients: 8, persistent: 8, maxInFlight: 8, upgrades: 20, lossless: true},
		{clients: 24, persistent: 24, maxInFlight: 8, upgrades: 3, lossless: false},
	} {
		t.Run(fmt.Sprintf("%d clients, %d requests in flight", load.clients, load.maxInFlight), load.test)
	}
}

// upgradeLoad is what happens during consecutive upgrades.
type upgradeLoad struct {
	clients     int
	persistent  int // clients that keep their connections open
	maxInFlight int // limit of both processes together
	upgrades    int
	lossless    bool // no request may fail
}

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
		t.Errorf("%d requests at the server at once, %d may be in flight", n, load.maxInFlight)
	}
}

// concurrencyMeter is a server that measures how many POST requests it has at once. These are
// not hedged, so that each is one request in flight.
type concurrencyMeter struct{ open, peak atomic.Int64 }

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

// An old process that was suspended hands over when it resumes. The new one has opened a listening
// socket of its own meanwhile, and goes on with both. Each client gets its answer, in this upgrade
// and in the next, which hands both sockets over.
func TestUpgradeOfAStalledProcess(t *testing.T) {
	for _, c := range []struct {
		name                     string
		terminatedWhileSuspended bool // SIGTERM comes before SIGCONT, as from an agent
	}{{"terminated after it resumes", false}, {"terminated while suspended", true}} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, 256)
			old := f.startReadyProcess()
			clients := startClients(t, f.listen, 8, 4)
			clients.waitServed(t, 50)
			old.Process.Signal(syscall.SIGSTOP)
			next := f.startReadyProcess()
			next.waitSocketQuota(t, 128)
			if c.terminatedWhileSuspended {
				old.Process.Signal(syscall.SIGTERM)
			}
			old.Process.Signal(syscall.SIGCONT)
			eventually(t, "a hand-over after all", func() bool { return strings.Contains(next.log.String(), "runs again and hands over") })
			if !c.terminatedWhileSuspended {
				clients.waitServed(t, 50)
				old.Process.Signal(syscall.SIGTERM)
			}
			if err := old.waitExit(t); err != nil {
				t.Errorf("the old process ended with %v", err)
			}
			next.waitSocketQuota(t, 256)
			f.upgradeUnderLoad(next, clients)
			clients.waitServed(t, 50)
			clients.checkServed(t)
			if log := old.log.String() + next.log.String(); strings.Contains(log, "ERROR") {
				t.Error("a hand-over went wrong")
			}
		})
	}
}

// The two processes together use no more descriptors than one may, however many clients
// connect, and the new one gets the rest when the predecessor has exited.
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
			t.Errorf("%d and %d descriptors of %d", ofOld, ofNext, sockets)
		}
	}
	old.Process.Signal(syscall.SIGTERM)
	old.waitExit(t)
	next.waitSocketQuota(t, sockets)
	for _, c := range open {
		c.Close()
	}
	eventually(t, "capacity for clients", func() bool {
		return sendAlternating(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, f.listen) == nil
	})
}

// A request id that one of two processes has open, or had a moment ago, is known to the other: a
// request with the same id is rejected and reaches no server, whichever process gets it.
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
		for n := range 20 { // some come to each process
			if got := pay(); got != http.StatusConflict {
				t.Errorf("%s, request %d under another's id: answered %d", when, n, got)
			}
		}
	}
	owner := make(chan int, 1)
	go func() { owner <- pay() }()
	eventually(t, "the owner's request at the server", func() bool { return arrived.Load() == 1 })
	next := f.startReadyProcess()
	checkRejected("while both serve")
	old.Process.Signal(syscall.SIGTERM)
	eventually(t, "the old process to stop being ready", func() bool { return old.adminStatus("/api/ready") != http.StatusOK })
	checkRejected("while the old one ends")
	close(hold)
	if got := <-owner; got != http.StatusOK {
		t.Errorf("the owner was answered %d", got)
	}
	old.waitExit(t)
	checkRejected("after the answer")
	if n := arrived.Load(); n != 1 {
		t.Errorf("%d requests under one id came to the server", n)
	}
	next.waitSocketQuota(t, 256)
	if err := sendAlternating(http.DefaultClient, f.listen); err != nil {
		t.Error(err)
	}
}
