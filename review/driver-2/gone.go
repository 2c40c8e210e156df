package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

// lateListener is a listener whose accept queue is full, so that connections come up only after open, when the
// system sends the SYN again.
type lateListener struct {
	net.Listener
	queued []net.Conn
}

// newLateListener returns a lateListener on a free port.
func newLateListener(r *rig) *lateListener {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	r.require(err == nil, "%v", err)
	file := os.NewFile(uintptr(fd), "late")
	defer file.Close()
	r.require(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}) == nil, "bind failed")
	r.require(syscall.Listen(fd, 0) == nil, "listen failed")
	listener, err := net.FileListener(file)
	r.require(err == nil, "%v", err)
	late := &lateListener{Listener: listener}
	for {
		conn, err := net.DialTimeout("tcp", listener.Addr().String(), 200*time.Millisecond)
		if err != nil {
			return late
		}
		late.queued = append(late.queued, conn)
		r.require(len(late.queued) < 10, "the accept queue does not fill")
	}
}

// open lets connections come up.
func (l *lateListener) open() {
	for _, conn := range l.queued {
		if accepted, err := l.Accept(); err == nil {
			accepted.Close()
		}
		conn.Close()
	}
}

// goneClient lets the connections to one of three servers come up late. Clients write a long body and close their
// connections meanwhile. No attempt may begin for them later than 0.1 s after the close.
func goneClient(r *rig) {
	var mu sync.Mutex
	began := make(map[string]time.Time)
	handler := func(name string) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			id := q.Header.Get("Req-Id")
			mu.Lock()
			began[id] = time.Now()
			mu.Unlock()
			r.note("%s: the first bytes of %s have come", name, id)
			n, err := io.Copy(io.Discard, q.Body)
			r.note("%s: %s has %d bytes, error %v", name, id, n, err)
			if err == nil {
				fmt.Fprintf(w, "done %s", id)
			}
		})
	}
	late := newLateListener(r)
	var list []endpoint
	for n := range 3 {
		e := endpoint{Name: fmt.Sprintf("s-%d", n), Zone: "jakarta", Type: "standard", Group: 1, Status: "up", Weight: 1}
		var listener net.Listener = late
		if n > 0 {
			var err error
			listener, err = net.Listen("tcp", "127.0.0.1:0")
			r.require(err == nil, "%v", err)
			go http.Serve(listener, handler(e.Name))
		}
		e.Address = listener.Addr().String()
		list = append(list, e)
	}
	c := startCatalog(r, list)
	listen := r.freeAddress(60501)
	config := r.write("n1.json", fmt.Sprintf(`{"name": "n1", "listen": %q, "discovery": %q, "seed": "8c1f30d27a5be964",
 "limits": {"cores": 1.0, "memory_mb": 128, "sockets": 512}, "settings": %s}`, listen, c.listener.Addr(), settingsText))
	r.start("sidecar", runSidecar("bin/sidecar"), "BALANCER_NAME=n1", "BALANCER_LISTEN="+listen, "BALANCER_CONFIG="+config, "TMPDIR="+r.temp)
	r.awaitReady(listen)
	time.Sleep(2 * time.Second)
	closed := make(map[string]time.Time)
	var clients sync.WaitGroup
	body := string(make([]byte, 2_000_000))
	for n := range 24 {
		id := fmt.Sprintf("c-%d", n)
		clients.Go(func() {
			q := request{method: http.MethodPost, path: "/activate", class: "activate", id: id, body: body, deadline: 2500 * time.Millisecond}
			if !r.trouble {
				r.send(listen, q)
				return
			}
			conn, err := dialSend(listen, q)
			if err != nil {
				r.note("client: %s: %v", id, err)
				return
			}
			at := time.Now()
			conn.Close()
			mu.Lock()
			closed[id] = at
			mu.Unlock()
			r.note("client: %s has written its request and closed its connection", id)
		})
		time.Sleep(30 * time.Millisecond)
	}
	time.Sleep(300 * time.Millisecond)
	late.open()
	go http.Serve(late, handler("s-0"))
	r.note("connections to s-0 come up from now on")
	clients.Wait()
	time.Sleep(4 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	for id, at := range closed {
		if begin, ok := began[id]; ok && begin.Sub(at) > 150*time.Millisecond {
			r.breaks("an attempt for %s began %v after its client had closed its connection; 0.1 s is allowed, and 50 ms more on sockets", id, begin.Sub(at).Round(time.Millisecond))
		}
	}
}
