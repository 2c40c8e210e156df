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

// TestIdleClientsAreEvicted checks that clients that send nothing, or are idle after a request,
// don't block the sidecar although they would use up all descriptors. They connect while discovery
// is unavailable. As soon as discovery is available again, the sidecar must follow its list, and it
// must still have descriptors to connect to servers and to accept and answer a client with a
// request.
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
	discovery := new(changingDiscovery)
	discovery.set(list(1, "s1"))
	discoveryServer := httptest.NewServer(discovery)
	t.Cleanup(func() { discovery.set(""); discoveryServer.Close() })
	text := mustReplace(t, f.configText(t), f.discoveryAddr, discoveryServer.Listener.Addr().String())
	f.writeConfig(t, text)
	p := f.startReadyProcess()
	if err := unix.Prlimit(p.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: sockets, Max: sockets}, nil); err != nil {
		t.Fatalf("limiting the descriptors of the process: %v", err)
	}
	eventually(t, "the first list of discovery to be applied", func() bool { return p.metric(t, "pool_size") == 1 })
	discovery.set("")
	for n := range 200 {
		c, err := net.Dial("tcp", f.listen)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		if n%2 == 0 {
			continue // this client sends nothing
		}
		c.SetDeadline(time.Now().Add(eventTimeout))
		fmt.Fprintf(c, "GET /look HTTP/1.1\r\nHost: a\r\nReq-Id: rest%d\r\n\r\n", n)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatalf("client %d: reading the answer to its only request: %v", n, err)
		}
		if resp.StatusCode != http.StatusOK {
			t.Errorf("client %d: got status %s for its only request, want 200", n, resp.Status)
		}
	}
	discovery.set(list(2, "s1", "s2"))
	available := time.Now()
	eventually(t, "the second list of discovery to be applied", func() bool { return p.metric(t, "pool_size") == 2 })
	if took := time.Since(available); took > 2*time.Second {
		t.Errorf("the list was applied %v after discovery was available again, want at most 2s", took)
	}
	for n := range 20 {
		if got := sendRequest(t, f.listen, http.MethodGet, "/look"); got != http.StatusOK {
			t.Errorf("request %d beside idle clients: got status %d, want 200", n, got)
		}
	}
	if n := p.openDescriptors(); n > sockets {
		t.Errorf("the process has %d descriptors open, want at most %d", n, sockets)
	}
}
