package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// changing is a discovery that can go away, its open watches with it, and come back with
// another list.
type changing struct {
	mu    sync.Mutex
	list  string        // empty: it is away
	ended chan struct{} // closed when the list changes
}

func (c *changing) set(list string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended != nil {
		close(c.ended)
	}
	c.list, c.ended = list, make(chan struct{})
}

func (c *changing) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	list, ended := c.list, c.ended
	c.mu.Unlock()
	if list == "" {
		panic(http.ErrAbortHandler)
	}
	io.WriteString(w, list+"\n")
	w.(http.Flusher).Flush()
	select {
	case <-ended:
	case <-r.Context().Done():
	}
}

// Clients that say nothing, or rest after a request, may take all descriptors that there
// are for clients, also while discovery is away: it is followed again the moment it is
// back, servers are reached, and whoever comes with a request is answered.
func TestIdleClientsAreEvicted(t *testing.T) {
	const sockets = 64
	s := newShop(t, sockets)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "one") }))
	t.Cleanup(server.Close)
	list := func(index int, names ...string) string {
		var entries []string
		for _, name := range names {
			entries = append(entries, fmt.Sprintf(`{"name":%q,"address":%q,"status":"up","weight":1}`, name, server.Listener.Addr()))
		}
		return fmt.Sprintf(`{"index":%d,"snapshot":true,"endpoints":[%s]}`, index, strings.Join(entries, ","))
	}
	disco := new(changing)
	disco.set(list(1, "s1"))
	at := httptest.NewServer(disco)
	t.Cleanup(func() { disco.set(""); at.Close() })
	text := replace(t, s.text(t), s.discovery, at.Listener.Addr().String())
	s.configure(t, text)
	p := s.running()
	if err := unix.Prlimit(p.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: sockets, Max: sockets}, nil); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the list", func() bool { return p.metric(t, "pool_size") == 1 })
	disco.set("")
	for n := range 200 {
		c, err := net.Dial("tcp", s.listen)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		if n%2 == 0 {
			continue // says nothing
		}
		c.SetDeadline(time.Now().Add(patience))
		fmt.Fprintf(c, "GET /look HTTP/1.1\r\nHost: a\r\nReq-Id: rest%d\r\n\r\n", n)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatalf("client %d, which then rests: %v", n, err)
		}
		if resp.StatusCode != http.StatusOK {
			t.Errorf("client %d, which then rests: %s", n, resp.Status)
		}
	}
	disco.set(list(2, "s1", "s2"))
	back := time.Now()
	eventually(t, "the new list", func() bool { return p.metric(t, "pool_size") == 2 })
	if took := time.Since(back); took > 2*time.Second {
		t.Errorf("discovery was followed again after %v", took)
	}
	for n := range 20 {
		if got := sendRequest(t, s.listen, http.MethodGet, "/look"); got != http.StatusOK {
			t.Errorf("request %d was answered %d", n, got)
		}
	}
	if n := p.sockets(); n > sockets {
		t.Errorf("%d descriptors are open, %d may be", n, sockets)
	}
}

// Processes that start together are ready in time, also where discovery never answers and
// where a predecessor is stalled.
func TestReadyWithoutDependencies(t *testing.T) {
	silent := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	t.Cleanup(silent.Close)
	const maxReady = 10 * time.Second
	var all sync.WaitGroup
	for n := range 8 {
		s := newShop(t, 256)
		text := replace(t, s.text(t), s.discovery, silent.Listener.Addr().String())
		if n%2 == 1 {
			text = asking(t, text)
		}
		s.configure(t, text)
		if n >= 4 {
			old := s.running()
			old.Process.Signal(syscall.SIGSTOP)
		}
		all.Go(func() {
			began := time.Now()
			s.running()
			if took := time.Since(began); took > maxReady {
				t.Errorf("process %d was ready after %v", n, took)
			}
		})
	}
	all.Wait()
}

// Clients that rest until the sidecar ends them, with a request that crosses its closing,
// see a plain end, and what crosses is not run.
func TestStopWithIdleClients(t *testing.T) {
	var ran sync.Map
	s := newShopBefore(t, func(w http.ResponseWriter, r *http.Request) {
		ran.Store(r.Header.Get("Req-Id"), true)
		io.WriteString(w, "one")
	}, 256)
	p := s.running()
	var wg sync.WaitGroup
	var ready sync.WaitGroup
	var ended atomic.Int64
	const clients = 20
	ready.Add(clients)
	for n := range clients {
		wg.Go(func() {
			c, err := net.Dial("tcp", s.listen)
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
	if err := p.ends(t); err != nil {
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
	s := newShopBefore(t, func(http.ResponseWriter, *http.Request) { hung <- struct{}{}; <-let }, 256,
		`"promiseUs":20000000,"hardLimitUs":20000000`, fmt.Sprintf(`"promiseUs":900000,"hardLimitUs":%d`, longest.Microseconds()))
	t.Cleanup(func() { close(let) })
	p := s.running()
	var wg sync.WaitGroup
	const clients = 8
	for n := range clients {
		method, path := http.MethodGet, "/look"
		if n%2 == 0 {
			method, path = http.MethodPost, "/pay"
		}
		wg.Go(func() {
			if got := sendRequest(t, s.listen, method, path); n%2 == 0 && got != http.StatusBadGateway || got < 500 {
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
	if err := p.ends(t); err != nil {
		t.Error(err)
	}
	if took := time.Since(began); took > longest+700*time.Millisecond {
		t.Errorf("it ended after %v", took)
	}
}
