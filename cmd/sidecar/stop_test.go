package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// After SIGTERM clients continue to send on every open connection, and on new ones for longer
// than the platform's clients do. Each request is answered, or its connection closes before
// anything of it was forwarded.
func TestStopOnIdleConnections(t *testing.T) {
	var ran sync.Map
	f := newFixtureWithServer(t, func(w http.ResponseWriter, r *http.Request) {
		ran.Store(r.Header.Get("Req-Id"), true)
		io.WriteString(w, "one")
	}, 256)
	p := f.startReadyProcess()
	var wg sync.WaitGroup
	var answered atomic.Int64
	for n := range 8 {
		wg.Go(func() {
			c := &http.Client{Timeout: patience, Transport: &http.Transport{MaxConnsPerHost: 1}}
			defer c.CloseIdleConnections()
			for i := 0; ; i++ {
				id := fmt.Sprintf("k%d-%d", n, i)
				r, err := http.NewRequest(http.MethodPost, "http://"+f.listen+"/pay", strings.NewReader("card"))
				if err != nil {
					t.Error(err)
					return
				}
				r.GetBody = nil // nothing is sent again unseen
				r.Header.Set("Req-Id", id)
				resp, err := c.Do(r)
				if err == nil {
					_, err = io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
				}
				if err != nil {
					if _, did := ran.Load(id); did {
						t.Errorf("%s has run and was not answered: %v", id, err)
					}
					return // the connection is closed, and nobody listens any more
				}
				answered.Add(1)
			}
		})
	}
	eventually(t, "clients that are served", func() bool { return answered.Load() > 100 })
	before := answered.Load()
	p.Process.Signal(syscall.SIGTERM)
	wg.Wait()
	if err := p.waitExit(t); err != nil {
		t.Error(err)
	}
	if answered.Load() == before {
		t.Error("nobody was answered after SIGTERM: the test shows nothing")
	}
}

// Clients that rest until the sidecar ends them, with a request that crosses its closing,
// see a plain end, and what crosses is not run.
func TestStopWithIdleClients(t *testing.T) {
	var ran sync.Map
	f := newFixtureWithServer(t, func(w http.ResponseWriter, r *http.Request) {
		ran.Store(r.Header.Get("Req-Id"), true)
		io.WriteString(w, "one")
	}, 256)
	p := f.startReadyProcess()
	var wg sync.WaitGroup
	var ready sync.WaitGroup
	var ended atomic.Int64
	const clients = 20
	ready.Add(clients)
	for n := range clients {
		wg.Go(func() {
			c, err := net.Dial("tcp", f.listen)
			if err != nil {
				t.Error(err)
				ready.Done()
				return
			}
			defer c.Close()
			c.SetDeadline(time.Now().Add(patience))
			br := bufio.NewReader(c)
			first := true
			for i := 0; ; i++ {
				id := fmt.Sprintf("r%d-%d", n, i)
				fmt.Fprintf(c, "POST /pay HTTP/1.1\r\nHost: a\r\nReq-Id: %s\r\nContent-Length: 4\r\n\r\ncard", id)
				resp, err := http.ReadResponse(br, nil)
				if err == nil {
					_, err = io.Copy(io.Discard, resp.Body)
				}
				if first {
					first = false
					ready.Done()
				}
				if err != nil { // the request crossed the closing
					if _, did := ran.Load(id); did {
						t.Errorf("%s has run and was not answered: %v", id, err)
					}
					break
				}
				if n%2 == 0 { // rests, and sends in the moment of the closing
					if _, err := br.Peek(1); err != nil {
						fmt.Fprintf(c, "POST /pay HTTP/1.1\r\nHost: a\r\nReq-Id: %s-late\r\nContent-Length: 4\r\n\r\ncard", id)
						if err != io.EOF {
							t.Errorf("%s: a resting connection ended with %v", id, err)
						}
						io.Copy(io.Discard, br)
						if _, did := ran.Load(id + "-late"); did {
							t.Errorf("%s was sent after the closing and has run", id)
						}
						break
					}
				}
			}
			ended.Add(1)
		})
	}
	ready.Wait()
	p.Process.Signal(syscall.SIGTERM)
	wg.Wait()
	if err := p.waitExit(t); err != nil {
		t.Error(err)
	}
	if ended.Load() != clients {
		t.Errorf("%d clients of %d saw the end", ended.Load(), clients)
	}
}

// Servers hang while the sidecar gets two signals to terminate and a reload: every accepted
// request is answered by its deadline, and the process exits before it would be killed.
func TestStopWhileServersHang(t *testing.T) {
	const longest = time.Second
	hung := make(chan struct{}, 100)
	let := make(chan struct{})
	f := newFixtureWithServer(t, func(http.ResponseWriter, *http.Request) { hung <- struct{}{}; <-let }, 256,
		`"promiseUs":20000000,"hardLimitUs":20000000`, fmt.Sprintf(`"promiseUs":900000,"hardLimitUs":%d`, longest.Microseconds()))
	t.Cleanup(func() { close(let) })
	p := f.startReadyProcess()
	var wg sync.WaitGroup
	const clients = 8
	for n := range clients {
		method, path := http.MethodGet, "/look"
		if n%2 == 0 {
			method, path = http.MethodPost, "/pay"
		}
		wg.Go(func() {
			if got := sendRequest(t, f.listen, method, path); n%2 == 0 && got != http.StatusBadGateway || got < 500 {
				t.Errorf("%s was answered %d", path, got)
			}
		})
	}
	for range clients {
		<-hung
	}
	began := time.Now()
	for _, sig := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM} {
		p.Process.Signal(sig)
	}
	wg.Wait()
	if err := p.waitExit(t); err != nil {
		t.Error(err)
	}
	if took := time.Since(began); took > longest+700*time.Millisecond {
		t.Errorf("it ended after %v", took)
	}
}
