// Package shop is stand-ins for what surrounds a sidecar, on loopback: activation
// servers that count what they run, and a discovery that lists them and keeps
// watches open. For tests and `martendrum dev`. It injects no faults of its own.
package shop

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Shop is servers and their discovery.
type Shop struct {
	Discovery string // its address

	mu          sync.Mutex
	runs        map[string]int // executions by Req-Id
	list        []endpoint
	index       int
	listChanged chan struct{} // closed at the next change of the list
	srvs        []*http.Server
	addrs       []string
	end         chan struct{}
	wg          sync.WaitGroup
}

// New starts n servers and a discovery. Each request takes the servers work.
func New(n int, work time.Duration) (*Shop, error) {
	return NewWith(n, func(s *Shop, name string, w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("Req-Id")
		io.Copy(io.Discard, r.Body)
		s.Ran(id)
		time.Sleep(work)
		fmt.Fprintf(w, "%s by %s", id, name)
	})
}

// endpoint is a server on the list.
type endpoint struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	Since   int64   `json:"since_ms"`
}

// completeList returns the list as a line, and a channel that is closed when it changes.
func (s *Shop) completeList() ([]byte, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	line, err := json.Marshal(map[string]any{"index": s.index, "snapshot": true, "endpoints": s.list})
	if err != nil {
		panic(err) // of this package's own making
	}
	return append(line, '\n'), s.listChanged
}

// Started notifies all watchers that every server has restarted at the time.
func (s *Shop) Started(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.list {
		s.list[i].Since = at.UnixMilli()
	}
	s.index++
	close(s.listChanged)
	s.listChanged = make(chan struct{})
}

// Ran counts an execution.
func (s *Shop) Ran(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[id]++
}

// Addrs are the servers' addresses.
func (s *Shop) Addrs() []string { return s.addrs }

// NewWith starts n servers that do with each request what serve says, which counts by
// Ran what it carries out.
func NewWith(n int, serve func(s *Shop, name string, w http.ResponseWriter, r *http.Request)) (*Shop, error) {
	s := &Shop{runs: make(map[string]int), end: make(chan struct{}), index: 1, listChanged: make(chan struct{})}
	for i := range n {
		name := fmt.Sprintf("activation-%d", i+1)
		addr, err := s.serve(func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("Req-Id") == "" {
				http.NotFound(w, r)
				return
			}
			serve(s, name, w, r)
		})
		if err != nil {
			s.Close()
			return nil, err
		}
		s.addrs = append(s.addrs, addr)
		s.list = append(s.list, endpoint{Name: name, Address: addr, Zone: "jakarta", Status: "up", Weight: 1})
	}
	var err error
	s.Discovery, err = s.serve(func(w http.ResponseWriter, r *http.Request) {
		line, moved := s.completeList()
		w.Write(line)
		if r.URL.Query().Get("watch") != "1" {
			return
		}
		t := time.NewTicker(time.Second)
		defer t.Stop()
		for {
			w.(http.Flusher).Flush()
			select {
			case <-t.C:
				io.WriteString(w, "\n")
			case <-moved:
				line, moved = s.completeList()
				w.Write(line)
			case <-r.Context().Done():
				return
			case <-s.end:
				return
			}
		}
	})
	if err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *Shop) serve(h http.HandlerFunc) (addr string, err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("shop: %w", err)
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 30 * time.Second}
	s.srvs = append(s.srvs, srv)
	s.wg.Go(func() { srv.Serve(ln) })
	return ln.Addr().String(), nil
}

// Runs is how often each request was carried out, by its id.
func (s *Shop) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.runs))
	for id, n := range s.runs {
		out[id] = n
	}
	return out
}

// Close ends all of it.
func (s *Shop) Close() {
	close(s.end)
	for _, srv := range s.srvs {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		if errors.Is(srv.Shutdown(ctx), context.DeadlineExceeded) {
			srv.Close()
		}
		cancel()
	}
	s.wg.Wait()
}

// FreeAddr returns an address for a sidecar to listen at: a free port of a loopback address
// that only this caller's n uses, so that no connection of
// others takes it meanwhile. n is 0 to 65,000.
func FreeAddr(n int) (string, error) {
	pid := os.Getpid()
	ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 64+n/250%128, 1+pid%250, 1+n%250))
	if err != nil {
		return "", fmt.Errorf("shop: %w", err)
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// Config writes a sidecar's configuration to a folder and returns its path and
// where the sidecar will listen.
func (s *Shop) Config(dir, name string, n int) (path, listen string, err error) {
	if listen, err = FreeAddr(n); err != nil {
		return "", "", err
	}
	door := listen
	for door == listen { // a second port on the same address
		if door, err = FreeAddr(n); err != nil {
			return "", "", err
		}
	}
	path = filepath.Join(dir, name+".json")
	return path, listen, os.WriteFile(path, fmt.Appendf(nil, form, name, listen, door, s.Discovery), 0o600)
}

const form = `{
 "name": %q, "listen": %q, "mgmt": %q, "discovery": %q, "seed": "1f",
 "limits": {"cores": 1, "memory_mb": 64, "sockets": 128},
 "settings": {
  "replicasOfMe": 3, "registryMode": "automatic", "zone": "jakarta",
  "caps": {"attemptsCap": 5, "mayCancel": true, "secondCopies": true, "connIdleUs": 30000000, "dialTimeoutUs": 1000000, "mostHeld": 200,
   "retryAfter": true, "maxRetryAfterUs": 2000000},
  "guarantees": {"drainGraceUs": 2000000, "coldFrom": 1},
  "classes": [
   {"name": "status-check", "promiseUs": 800000, "hardLimitUs": 3000000, "effect": "repeatable", "worth": 1},
   {"name": "id-register", "promiseUs": 1000000, "hardLimitUs": 2500000, "effect": "by_key", "repeatWindowUs": 1500000, "worth": 3},
   {"name": "activate", "promiseUs": 750000, "hardLimitUs": 2500000, "effect": "once", "worth": 10}]}
}
`
