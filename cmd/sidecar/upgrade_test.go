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

// upgradeUnderLoad replaces old by a new process under load and terminates old. The new one has what the
// old one had learned, and the full limits in the end.
func (f *fixture) upgradeUnderLoad(old *process, c *clientGroup) *process {
	f.t.Helper()
	c.waitServed(f.t, 50)
	next := f.startReadyProcess()
	c.waitServed(f.t, 50)
	old.Process.Signal(syscall.SIGTERM)
	c.waitServed(f.t, 50)
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
	for _, c := range []struct {
		clients, kept, limit, upgrades int
		lossless                       bool
	}{{8, 4, 100, 3, true}, {8, 8, 8, 20, true}, {24, 24, 8, 3, false}} {
		t.Run(fmt.Sprintf("%d clients of %d", c.clients, c.limit), func(t *testing.T) {
			var open, peak atomic.Int64
			f := newFixtureWithServer(t, func(w http.ResponseWriter, r *http.Request) {
				if r.Method == http.MethodPost { // these are not copied
					if n := open.Add(1); n > peak.Load() {
						peak.Store(n)
					}
				}
				time.Sleep(2 * time.Millisecond)
				if r.Method == http.MethodPost {
					open.Add(-1)
				}
				io.WriteString(w, "one")
			}, 256, `"mostHeld":100`, fmt.Sprintf(`"mostHeld":%d`, c.limit))
			p := f.startReadyProcess()
			clients := startClients(t, f.listen, c.clients, c.kept)
			for range c.upgrades {
				p = f.upgradeUnderLoad(p, clients)
			}
			clients.waitServed(t, 50)
			clients.stopAll()
			if !c.lossless {
				clients.failures.Clear()
			}
			clients.checkServed(t)
			if n := peak.Load(); n == 0 || n > int64(c.limit) {
				t.Errorf("%d requests at the server at once, %d may be held", n, c.limit)
			}
		})
	}
}

// An old process that was stopped hands over when it wakes: the new one has opened a
// socket of its own meanwhile, and goes on at both. No client meets anything but its
// answer, in this upgrade and in the next, which passes both sockets on.
func TestUpgradeOfAStalledProcess(t *testing.T) {
	for _, c := range []struct {
		name   string
		asleep bool // it gets SIGTERM before it runs again, as from an agent
	}{{"asked when awake", false}, {"asked while stopped", true}} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, 256)
			old := f.startReadyProcess()
			clients := startClients(t, f.listen, 8, 4)
			clients.waitServed(t, 50)
			old.Process.Signal(syscall.SIGSTOP)
			next := f.startReadyProcess()
			next.waitSocketQuota(t, 128)
			if c.asleep {
				old.Process.Signal(syscall.SIGTERM)
			}
			old.Process.Signal(syscall.SIGCONT)
			eventually(t, "a hand-over after all", func() bool { return strings.Contains(next.log.String(), "runs again and hands over") })
			if !c.asleep {
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
	crowded := func() {
		for range 100 {
			if c, err := net.Dial("tcp", f.listen); err == nil {
				fmt.Fprintf(c, "GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")
				open = append(open, c)
			}
		}
	}
	crowded()
	next := f.startProcess()
	next.waitReady(t)
	for range 5 {
		crowded()
		if a, b := old.openDescriptors(), next.openDescriptors(); a+b > sockets {
			t.Errorf("%d and %d descriptors of %d", a, b, sockets)
		}
	}
	old.Process.Signal(syscall.SIGTERM)
	old.waitExit(t)
	next.waitSocketQuota(t, sockets)
	for _, c := range open {
		c.Close()
	}
	eventually(t, "room for clients", func() bool {
		return sendAlternating(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, f.listen) == nil
	})
}

// A request id that one of two processes has open, or had a moment ago, is known to the other: a
// request with the same id is rejected and reaches no server, whichever process gets it.
func TestUpgradeSharesIDs(t *testing.T) {
	var came atomic.Int64
	hold := make(chan struct{})
	f := newFixtureWithServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Req-Id") == "same" {
			came.Add(1)
			<-hold
		}
		io.WriteString(w, "one")
	}, 256)
	old := f.startReadyProcess()
	pay := func() int { return sendRequestAs(t, "same", f.listen, http.MethodPost, "/pay") }
	turnedAway := func(when string) {
		t.Helper()
		for n := range 20 { // some come to each process
			if got := pay(); got != http.StatusConflict {
				t.Errorf("%s, request %d under another's id: answered %d", when, n, got)
			}
		}
	}
	owner := make(chan int, 1)
	go func() { owner <- pay() }()
	eventually(t, "the owner's request at the server", func() bool { return came.Load() == 1 })
	next := f.startReadyProcess()
	turnedAway("while both serve")
	old.Process.Signal(syscall.SIGTERM)
	eventually(t, "the old process's leaving", func() bool { return old.adminStatus("/api/ready") != http.StatusOK })
	turnedAway("while the old one ends")
	close(hold)
	if got := <-owner; got != http.StatusOK {
		t.Errorf("the owner was answered %d", got)
	}
	old.waitExit(t)
	turnedAway("after the answer")
	if n := came.Load(); n != 1 {
		t.Errorf("%d requests under one id came to the server", n)
	}
	next.waitSocketQuota(t, 256)
	if err := sendAlternating(http.DefaultClient, f.listen); err != nil {
		t.Error(err)
	}
}
