package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// writeTestConfig writes the configuration of a sidecar at a free address with one server. changes
// are pairs of a text to replace in it and the replacement.
func writeTestConfig(t testing.TB, server string, sockets int, changes ...string) (path, listen, discovery string) {
	t.Helper()
	path, listen, discovery = filepath.Join(t.TempDir(), "config.json"), freeAddr(t), oneServerDiscovery(t, 1, "s1", server)
	changes = append(changes, `"listen":"127.0.0.1:0"`, fmt.Sprintf(`"listen":%q`, listen), `"sockets":256`, fmt.Sprintf(`"sockets":%d`, sockets))
	text := strings.NewReplacer(changes...).Replace(fmt.Sprintf(testConfigFormat, discovery))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path, listen, discovery
}

// testConfigFormat is a configuration file; its argument is the address of discovery.
const testConfigFormat = `{"listen":"127.0.0.1:0","discovery":%q,"seed":"1f","limits":{"cores":4,"memory_mb":512,"sockets":256},
	"settings":{"replicasOfMe":1,"registryMode":"automatic",
	"caps":{"attemptsCap":3,"connIdleUs":30000000,"dialTimeoutUs":5000000,"mostHeld":100},
	"guarantees":{"drainGraceUs":2000000,"coldFrom":1},
	"classes":[{"name":"look","promiseUs":20000000,"hardLimitUs":20000000,"effect":"repeatable"},
	{"name":"pay","promiseUs":20000000,"hardLimitUs":20000000,"effect":"once"}]}}`

// mustReplace replaces the first occurrence of old, which must exist.
func mustReplace(t *testing.T, text, old, by string) string {
	t.Helper()
	if !strings.Contains(text, old) {
		t.Fatalf("no %q to replace", old)
	}
	return strings.Replace(text, old, by, 1)
}

// withPolledDiscovery returns the configuration changed so that discovery is polled.
func withPolledDiscovery(t *testing.T, text string) string {
	t.Helper()
	text = mustReplace(t, text, `"registryMode":"automatic"`, `"registryMode":"subscribe"`)
	return mustReplace(t, text, `"drainGraceUs":2000000`, `"drainGraceUs":2000000,"askWithinUs":10000000`)
}

// fixture is what the consecutive processes of one sidecar share.
type fixture struct {
	t          *testing.T
	dir        string // TMPDIR
	configPath string
	listen     string

	discoveryAddr string
}

// newFixture prepares a sidecar with one server that answers "one".
func newFixture(t *testing.T, sockets int) *fixture {
	t.Helper()
	return newFixtureWithServer(t, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "one") }, sockets)
}

// newFixtureWithServer is newFixture with another server and changes to the configuration, as for
// writeTestConfig.
func newFixtureWithServer(t *testing.T, server http.HandlerFunc, sockets int, changes ...string) *fixture {
	t.Helper()
	s := httptest.NewServer(server)
	t.Cleanup(s.Close)
	f := &fixture{t: t, dir: t.TempDir()}
	f.configPath, f.listen, f.discoveryAddr = writeTestConfig(t, s.Listener.Addr().String(), sockets, changes...)
	return f
}

// startProcess starts a process, which is killed when the test ends.
func (f *fixture) startProcess() *process {
	f.t.Helper()
	self, err := os.Executable()
	if err != nil {
		f.t.Fatal(err)
	}
	p := &process{Cmd: exec.Command(self), adminAddr: freeAddr(f.t), log: new(synchronizedBuffer), exited: make(chan error, 1)}
	p.Env = append(os.Environ(), "MARTENDRUM_TEST_CHILD=1", "GORACE=atexit_sleep_ms=0", "TMPDIR="+f.dir, "BALANCER_CONFIG="+f.configPath, "BALANCER_MGMT="+p.adminAddr, "BALANCER_LISTEN=", "BALANCER_DISCOVERY=")
	p.Stderr = p.log
	if err := p.Start(); err != nil {
		f.t.Fatal(err)
	}
	go func() { p.exited <- p.Wait() }()
	f.t.Cleanup(func() {
		p.Process.Kill()
		if f.t.Failed() {
			f.t.Logf("process %d:\n%s", p.Process.Pid, p.log)
		}
	})
	return p
}

// startReadyProcess starts a process and waits until it accepts clients.
func (f *fixture) startReadyProcess() *process {
	f.t.Helper()
	p := f.startProcess()
	p.waitReady(f.t)
	return p
}

// writeConfig replaces the configuration file.
func (f *fixture) writeConfig(t *testing.T, text string) {
	t.Helper()
	if err := os.WriteFile(f.configPath, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

func (f *fixture) configText(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile(f.configPath)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func (f *fixture) getenv(name string) string {
	return map[string]string{"BALANCER_CONFIG": f.configPath}[name]
}
