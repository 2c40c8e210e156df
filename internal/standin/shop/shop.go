// Package shop provides stand-ins for the servers and the discovery service that a sidecar uses, on
// loopback, for tests and `martendrum dev`. The activation servers count the requests that they
// run; the discovery service lists the servers and supports watches. The package injects no faults.
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

// Shop is a group of servers and the discovery service that lists them. Its methods may be called from
// several goroutines, except for Close, which may be called once.
type Shop struct {
	Discovery string // the discovery service's address, host:port

	mu          sync.Mutex
	runs        map[string]int // executions by Req-Id
	list        []endpoint
	index       int           // version of the list, counted from 1
	listChanged chan struct{} // closed at the next change of the list
	srvs        []*http.Server
	addrs       []string
	end         chan struct{} // closed by Close
	wg          sync.WaitGroup
}

// New starts n servers and a discovery service. The servers take the time work to handle a request, and
// answer with its Req-Id and their name.
func New(n int, work time.Duration) (*Shop, error) {
	return NewWith(n, func(s *Shop, name string, w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("Req-Id")
		io.Copy(io.Discard, r.Body)
		s.CountRun(id)
		time.Sleep(work)
		fmt.Fprintf(w, "%s by %s", id, name)
	})
}

// endpoint is a server in the discovery service's list.
type endpoint struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	Since   int64   `json:"since_ms"`
}

// completeList returns the complete list as a line of JSON, and a channel that is closed when the list
// changes.
func (s *Shop) completeList() ([]byte, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	line, err := json.Marshal(map[string]any{"index": s.index, "snapshot": true, "endpoints": s.list})
	if err != nil {
		panic(err) // can't happen: the values are this package's own
	}
	return append(line, '\n'), s.listChanged
}

// SetStartTime sets the time at which all servers were started, and sends the changed list to the watchers.
// It does not restart the servers.
func (s *Shop) SetStartTime(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.list {
		s.list[i].Since = at.UnixMilli()
	}
	s.index++
	close(s.listChanged)
	s.listChanged = make(chan struct{})
}

// CountRun counts an execution of the request with the given Req-Id.
func (s *Shop) CountRun(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[id]++
}

// Addrs returns the servers' addresses, host:port.
func (s *Shop) Addrs() []string { return s.addrs }

// NewWith starts n servers that handle each request by calling serve with the server's name, and a
// discovery service. serve calls CountRun for each request that it executes. Requests without a Req-Id
// header are answered with status 404 and not passed to serve.
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
		line, changed := s.completeList()
		w.Write(line)
		if r.URL.Query().Get("watch") != "1" {
			return
		}
		ticker := time.NewTicker(time.Second)
		defer ticker.Stop()
		for {
			w.(http.Flusher).Flush()
			select {
			case <-ticker.C:
				io.WriteString(w, "\n")
			case <-changed:
				line, changed = s.completeList()
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

// serve starts an HTTP server on a free port and returns its address. Close stops the server.
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

// Runs returns the number of executions of each request, by its Req-Id.
func (s *Shop) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.runs))
	for id, n := range s.runs {
		out[id] = n
	}
	return out
}

// Close stops the servers and the discovery service. It waits up to a second for each of them to complete its
// requests, and then closes its connections.
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

// FreeAddr returns a loopback address, host:port, at which a sidecar can listen. The port is free now.
// The IP address is derived from n and the process ID, so that within a process it is used only by the
// callers with this n, and no other connection takes the port before the sidecar listens. n is 0 to
// 65,000; n and n+32,000 give the same IP address.
func FreeAddr(n int) (string, error) {
	pid := os.Getpid()
	ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 64+n/250%128, 1+pid%250, 1+n%250))
	if err != nil {
		return "", fmt.Errorf("shop: %w", err)
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// Config writes a sidecar's configuration to the file name.json in a folder. It returns the file's path
// and the address at which the sidecar will listen, which FreeAddr derives from n.
func (s *Shop) Config(dir, name string, n int) (path, listen string, err error) {
	if listen, err = FreeAddr(n); err != nil {
		return "", "", err
	}
	adminAddr := listen
	for adminAddr == listen { // a second port on the same IP address
		if adminAddr, err = FreeAddr(n); err != nil {
			return "", "", err
		}
	}
	path = filepath.Join(dir, name+".json")
	return path, listen, os.WriteFile(path, fmt.Appendf(nil, configTemplate, name, listen, adminAddr, s.Discovery), 0o600)
}

// configTemplate is a sidecar's configuration; the values to fill in are the sidecar's name, its address,
// the address of its admin endpoint and the discovery service's address.
const configTemplate = `{
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
