package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// TestMain lets the test's program be a sidecar, so that processes can hand over.
func TestMain(m *testing.M) {
	if os.Getenv("MARTENDRUM_TEST_CHILD") != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// shop is what the processes of one sidecar share.
type shop struct {
	t      *testing.T
	dir    string // TMPDIR
	config string
	listen string

	discovery string
}

// process is one sidecar process.
type process struct {
	*exec.Cmd
	mgmt string
	log  *safeBuffer
	done chan error
}

type safeBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *safeBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *safeBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

// freeAddrs counts the addresses given out.
var freeAddrs atomic.Uint32

// freeAddr is an address at which nobody listens, each time on an IP of its own: one that
// is given out and not used yet is no other test's, and nobody's for a way out.
func freeAddr(t testing.TB) string {
	t.Helper()
	n := freeAddrs.Add(1)
	ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+os.Getpid()%250, n>>8&0xff, n&0xff))
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

func newShop(t *testing.T, sockets int) *shop {
	t.Helper()
	return newShopBefore(t, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "one") }, sockets)
}

// newShopBefore is newShop before a server of the test's, its configuration changed.
func newShopBefore(t *testing.T, server http.HandlerFunc, sockets int, changes ...string) *shop {
	t.Helper()
	at := httptest.NewServer(server)
	t.Cleanup(at.Close)
	s := &shop{t: t, dir: t.TempDir()}
	s.config, s.listen, s.discovery = configured(t, at.Listener.Addr().String(), sockets, changes...)
	return s
}

// configured writes the configuration of a sidecar at a free address before one server,
// with further changes to its text, each what is there and what comes in its place.
func configured(t testing.TB, server string, sockets int, changes ...string) (path, listen, discovery string) {
	t.Helper()
	path, listen, discovery = filepath.Join(t.TempDir(), "config.json"), freeAddr(t), registry(t, 1, "s1", server)
	changes = append(changes, `"listen":"127.0.0.1:0"`, fmt.Sprintf(`"listen":%q`, listen), `"sockets":256`, fmt.Sprintf(`"sockets":%d`, sockets))
	text := strings.NewReplacer(changes...).Replace(fmt.Sprintf(configForm, discovery))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path, listen, discovery
}

// start starts a process; its end is seen to.
func (s *shop) start() *process {
	s.t.Helper()
	self, err := os.Executable()
	if err != nil {
		s.t.Fatal(err)
	}
	p := &process{Cmd: exec.Command(self), mgmt: freeAddr(s.t), log: new(safeBuffer), done: make(chan error, 1)}
	p.Env = append(os.Environ(), "MARTENDRUM_TEST_CHILD=1", "GORACE=atexit_sleep_ms=0", "TMPDIR="+s.dir, "BALANCER_CONFIG="+s.config, "BALANCER_MGMT="+p.mgmt, "BALANCER_LISTEN=", "BALANCER_DISCOVERY=")
	p.Stderr = p.log
	if err := p.Start(); err != nil {
		s.t.Fatal(err)
	}
	go func() { p.done <- p.Wait() }()
	s.t.Cleanup(func() {
		p.Process.Kill()
		if s.t.Failed() {
			s.t.Logf("process %d:\n%s", p.Process.Pid, p.log)
		}
	})
	return p
}

// running starts a process and waits until it takes clients.
func (s *shop) running() *process {
	s.t.Helper()
	p := s.start()
	p.ready(s.t)
	return p
}

func (p *process) status(path string) int {
	c := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + p.mgmt + path)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// quota is how many descriptors the process may hold, by its own word.
func (p *process) quota() (n int) {
	c := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + p.mgmt + "/api/telemetry")
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	if _, rest, ok := strings.Cut(string(text), `edge_balancer_share{of="sockets"} `); ok {
		fmt.Sscan(rest, &n)
	}
	return n
}

func (p *process) holds(t *testing.T, sockets int) {
	t.Helper()
	eventually(t, fmt.Sprint("a share of descriptors of ", sockets), func() bool { return p.quota() == sockets })
}

func (p *process) ready(t *testing.T) {
	t.Helper()
	eventually(t, "a process that takes clients", func() bool { return p.status("/api/ready") == http.StatusOK })
}

// ends waits for the process's end.
func (p *process) ends(t *testing.T) error {
	t.Helper()
	select {
	case err := <-p.done:
		p.done <- err
		return err
	case <-time.After(patience):
		t.Fatal("the process did not end")
		return nil
	}
}

// sockets is how many descriptors are open, 0 after its end.
func (p *process) sockets() int {
	names, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.Process.Pid))
	return len(names)
}

// clientGroup is clients that ask without a pause, some on connections that they keep, the
// others on ever new ones.
type clientGroup struct {
	stop     chan struct{}
	once     sync.Once
	wait     sync.WaitGroup
	good     atomic.Int64
	failures sync.Map // what went wrong, with a count
}

var requests atomic.Int64

// visit makes one request.
func visit(c *http.Client, addr string) error {
	method, path := http.MethodGet, "/look"
	n := requests.Add(1)
	var body io.Reader
	if n%2 == 0 {
		method, path, body = http.MethodPost, "/pay", strings.NewReader("card")
	}
	r, err := http.NewRequest(method, "http://"+addr+path, body)
	if err != nil {
		return err
	}
	r.GetBody = nil // nothing is sent again unseen
	r.Header.Set("Req-Id", fmt.Sprint("u", n))
	resp, err := c.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if text, err := io.ReadAll(resp.Body); err != nil || resp.StatusCode != 200 || string(text) != "one" {
		return fmt.Errorf("%s %s: %q, %v", method, resp.Status, text, err)
	}
	return nil
}

func flock(t *testing.T, addr string, clients, kept int) *clientGroup {
	t.Helper()
	c := &clientGroup{stop: make(chan struct{})}
	t.Cleanup(c.halt)
	for n := range clients {
		c.wait.Go(func() {
			client := &http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: n >= kept}}
			defer client.CloseIdleConnections()
			for {
				select {
				case <-c.stop:
					return
				default:
				}
				if err := visit(client, addr); err != nil {
					c.failures.Store(err.Error(), true)
				} else {
					c.good.Add(1)
				}
				time.Sleep(time.Millisecond)
			}
		})
	}
	return c
}

func (c *clientGroup) halt() {
	c.once.Do(func() { close(c.stop) })
	c.wait.Wait()
}

func (c *clientGroup) end(t *testing.T) {
	t.Helper()
	c.halt()
	c.failures.Range(func(what, _ any) bool {
		t.Errorf("a client met: %v", what)
		return true
	})
	if c.good.Load() == 0 {
		t.Error("nobody was served")
	}
}

// more waits until as many more requests have been served.
func (c *clientGroup) more(t *testing.T, n int64) {
	t.Helper()
	from := c.good.Load()
	eventually(t, "requests to be served", func() bool { return c.good.Load() >= from+n })
}

// succeed replaces old by a new process under load and terminates old. The new one has what the
// old one had learned, and the full limits in the end.
func (s *shop) succeed(old *process, c *clientGroup) *process {
	s.t.Helper()
	c.more(s.t, 50)
	next := s.running()
	c.more(s.t, 50)
	old.Process.Signal(syscall.SIGTERM)
	c.more(s.t, 50)
	if err := old.ends(s.t); err != nil {
		s.t.Errorf("the old process ended with %v", err)
	}
	next.holds(s.t, 256)
	if !strings.Contains(next.log.String(), "warm start") {
		s.t.Error("the new process knows nothing of the old one")
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
			s := newShopBefore(t, func(w http.ResponseWriter, r *http.Request) {
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
			p := s.running()
			clients := flock(t, s.listen, c.clients, c.kept)
			for range c.upgrades {
				p = s.succeed(p, clients)
			}
			clients.more(t, 50)
			clients.halt()
			if !c.lossless {
				clients.failures.Clear()
			}
			clients.end(t)
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
			s := newShop(t, 256)
			old := s.running()
			clients := flock(t, s.listen, 8, 4)
			clients.more(t, 50)
			old.Process.Signal(syscall.SIGSTOP)
			next := s.running()
			next.holds(t, 128)
			if c.asleep {
				old.Process.Signal(syscall.SIGTERM)
			}
			old.Process.Signal(syscall.SIGCONT)
			eventually(t, "a hand-over after all", func() bool { return strings.Contains(next.log.String(), "runs again and hands over") })
			if !c.asleep {
				clients.more(t, 50)
				old.Process.Signal(syscall.SIGTERM)
			}
			if err := old.ends(t); err != nil {
				t.Errorf("the old process ended with %v", err)
			}
			next.holds(t, 256)
			s.succeed(next, clients)
			clients.more(t, 50)
			clients.end(t)
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
	s := newShop(t, sockets)
	old := s.running()
	var open []net.Conn
	defer func() {
		for _, c := range open {
			c.Close()
		}
	}()
	crowded := func() {
		for range 100 {
			if c, err := net.Dial("tcp", s.listen); err == nil {
				fmt.Fprintf(c, "GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")
				open = append(open, c)
			}
		}
	}
	crowded()
	next := s.start()
	next.ready(t)
	for range 5 {
		crowded()
		if a, b := old.sockets(), next.sockets(); a+b > sockets {
			t.Errorf("%d and %d descriptors of %d", a, b, sockets)
		}
	}
	old.Process.Signal(syscall.SIGTERM)
	old.ends(t)
	next.holds(t, sockets)
	for _, c := range open {
		c.Close()
	}
	eventually(t, "room for clients", func() bool {
		return visit(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, s.listen) == nil
	})
}

// A request id that one of two processes has open, or had a moment ago, is known to the other: a
// request with the same id is rejected and reaches no server, whichever process gets it.
func TestUpgradeSharesIDs(t *testing.T) {
	var came atomic.Int64
	hold := make(chan struct{})
	s := newShopBefore(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Req-Id") == "same" {
			came.Add(1)
			<-hold
		}
		io.WriteString(w, "one")
	}, 256)
	old := s.running()
	pay := func() int { return sendRequestAs(t, "same", s.listen, http.MethodPost, "/pay") }
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
	next := s.running()
	turnedAway("while both serve")
	old.Process.Signal(syscall.SIGTERM)
	eventually(t, "the old process's leaving", func() bool { return old.status("/api/ready") != http.StatusOK })
	turnedAway("while the old one ends")
	close(hold)
	if got := <-owner; got != http.StatusOK {
		t.Errorf("the owner was answered %d", got)
	}
	old.ends(t)
	turnedAway("after the answer")
	if n := came.Load(); n != 1 {
		t.Errorf("%d requests under one id came to the server", n)
	}
	next.holds(t, 256)
	if err := visit(http.DefaultClient, s.listen); err != nil {
		t.Error(err)
	}
}

// A process that starts soon after a stop knows what the one before knew; a damaged
// file is left aside.
func TestWarmRestart(t *testing.T) {
	s := newShop(t, 256)
	first := s.start()
	first.ready(t)
	for range 10 {
		if err := visit(http.DefaultClient, s.listen); err != nil {
			t.Fatal(err)
		}
	}
	first.Process.Signal(syscall.SIGTERM)
	first.ends(t)
	second := s.start()
	second.ready(t)
	if log := second.log.String(); !strings.Contains(log, "warm start") || !strings.Contains(log, "servers=1") {
		t.Errorf("no warm start:\n%s", log)
	}
	second.Process.Kill()
	second.ends(t)
	names, _ := filepath.Glob(filepath.Join(s.dir, "sidecar-*.snap"))
	if len(names) != 1 {
		t.Fatal(names)
	}
	if err := os.WriteFile(names[0], []byte("what is this"), 0o600); err != nil {
		t.Fatal(err)
	}
	third := s.start()
	third.ready(t)
	log := third.log.String()
	for until := time.Now().Add(patience); !strings.Contains(log, "cold start") && time.Now().Before(until); log = third.log.String() {
		time.Sleep(time.Millisecond) // what it wrote before it was ready may still be on its way
	}
	if !strings.Contains(log, "cold start") || !strings.Contains(log, "damaged") {
		t.Errorf("no word on a damaged file:\n%s", log)
	}
}

// Whichever process fails at whichever step, clients are served.
func TestUpgradeFailures(t *testing.T) {
	client := func() *http.Client {
		return &http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}
	}
	served := func(t *testing.T, s *shop) {
		t.Helper()
		for range 20 {
			if err := visit(client(), s.listen); err != nil {
				t.Errorf("not served: %v", err)
			}
		}
	}
	t.Run("a killed process leaves its files", func(t *testing.T) {
		s := newShop(t, 256)
		old := s.running()
		old.Process.Kill()
		old.ends(t)
		next := s.running()
		served(t, s)
		next.holds(t, 256)
		third := s.start() // and can hand over itself
		third.ready(t)
		third.holds(t, 128)
	})
	t.Run("the old one hangs", func(t *testing.T) {
		s := newShop(t, 256)
		old := s.running()
		old.Process.Signal(syscall.SIGSTOP)
		next := s.running()
		next.holds(t, 128)
		old.Process.Kill()
		old.ends(t)
		next.holds(t, 256)
		served(t, s)
	})
	t.Run("the old one is killed in the midst", func(t *testing.T) {
		s := newShop(t, 256)
		old := s.running()
		next := s.start()
		eventually(t, "an offer", func() bool { return strings.Contains(next.log.String(), "sockets=128") })
		old.Process.Kill()
		old.ends(t)
		next.ready(t)
		next.holds(t, 256)
		served(t, s)
	})
	t.Run("the new one dies after its yes", func(t *testing.T) {
		s := newShop(t, 256)
		old := s.running()
		next := s.running()
		next.Process.Kill()
		next.ends(t)
		old.holds(t, 256)
		served(t, s)
	})
	t.Run("the new one's configuration is broken", func(t *testing.T) {
		s := newShop(t, 256)
		s.running()
		s.configure(t, "{")
		next := s.start()
		if next.ends(t) == nil {
			t.Error("it started")
		}
		served(t, s)
	})
	t.Run("two new ones at once", func(t *testing.T) {
		s := newShop(t, 256)
		old := s.running()
		one := s.start()
		one.ready(t)
		two := s.start()
		if two.ends(t) == nil || !strings.Contains(two.log.String(), "another new process") {
			t.Errorf("the second one: %s", two.log)
		}
		served(t, s)
		old.Process.Signal(syscall.SIGTERM)
		old.ends(t)
		served(t, s)
	})
	t.Run("a file in the way", func(t *testing.T) {
		s := newShop(t, 256)
		old := s.running()
		names, err := filepath.Glob(filepath.Join(s.dir, "sidecar-*.lock"))
		if err != nil || len(names) != 1 {
			t.Fatal(names, err)
		}
		old.Process.Kill()
		old.ends(t)
		os.Remove(names[0])
		if err := os.Mkdir(names[0], 0o700); err != nil {
			t.Fatal(err)
		}
		next := s.running()
		served(t, s)
		if !strings.Contains(next.log.String(), "on its own") {
			t.Error("nothing was said about it")
		}
	})
}
