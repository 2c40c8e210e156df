package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Clients that send nothing, or idle after a request, may take all descriptors that there are
// for clients, also while discovery is unavailable. Its list is followed again as soon as it is
// available, servers are reached, and a client with a request is answered.
func TestIdleClientsAreEvicted(t *testing.T) {
	const sockets = 64
	f := newFixture(t, sockets)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "one") }))
	t.Cleanup(server.Close)
	list := func(index int, names ...string) string {
		var entries []string
		for _, name := range names {
			entries = append(entries, fmt.Sprintf(`{"name":%q,"address":%q,"status":"up","weight":1}`, name, server.Listener.Addr()))
		}
		return fmt.Sprintf(`{"index":%d,"snapshot":true,"endpoints":[%s]}`, index, strings.Join(entries, ","))
	}
	disco := new(changingDiscovery)
	disco.set(list(1, "s1"))
	at := httptest.NewServer(disco)
	t.Cleanup(func() { disco.set(""); at.Close() })
	text := mustReplace(t, f.configText(t), f.discoveryAddr, at.Listener.Addr().String())
	f.writeConfig(t, text)
	p := f.startReadyProcess()
	if err := unix.Prlimit(p.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: sockets, Max: sockets}, nil); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the list", func() bool { return p.metric(t, "pool_size") == 1 })
	disco.set("")
	for n := range 200 {
		c, err := net.Dial("tcp", f.listen)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		if n%2 == 0 {
			continue // sends nothing
		}
		c.SetDeadline(time.Now().Add(patience))
		fmt.Fprintf(c, "GET /look HTTP/1.1\r\nHost: a\r\nReq-Id: rest%d\r\n\r\n", n)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatalf("client %d, which then idles: %v", n, err)
		}
		if resp.StatusCode != http.StatusOK {
			t.Errorf("client %d, which then idles: %s", n, resp.Status)
		}
	}
	disco.set(list(2, "s1", "s2"))
	back := time.Now()
	eventually(t, "the new list", func() bool { return p.metric(t, "pool_size") == 2 })
	if took := time.Since(back); took > 2*time.Second {
		t.Errorf("discovery was followed again after %v", took)
	}
	for n := range 20 {
		if got := sendRequest(t, f.listen, http.MethodGet, "/look"); got != http.StatusOK {
			t.Errorf("request %d was answered %d", n, got)
		}
	}
	if n := p.openDescriptors(); n > sockets {
		t.Errorf("%d descriptors are open, %d may be", n, sockets)
	}
}
