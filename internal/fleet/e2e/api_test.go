package e2e

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/control/client"
	"martendrum/internal/fleet/control/inventory"
	"martendrum/internal/fleet/host/agent"
	"martendrum/internal/fleet/pki"
	"martendrum/internal/fleet/store"
	"martendrum/internal/fleet/store/sqlite"
	"martendrum/internal/msgpackrpc"
	"martendrum/internal/quantity"
	"martendrum/internal/standin/simhost"
)

func code(err error) string {
	if e, ok := errors.AsType[*api.Error](err); ok {
		return e.Code
	}
	return ""
}

// An agent answers a call that it can't serve with an error that names the cause.
func TestErrorsOfTheAPI(t *testing.T) {
	s := simulate(t, 1, 1, time.Millisecond, time.Millisecond, nil)
	ctx, a := context.Background(), s.fleet.Agents[0]
	inst := s.allInstances.Targets[0].Instance
	op := s.op(api.ActRestart)
	bad := op
	bad.Action = "explode"
	unready := op
	unready.Ready = 0
	elsewhere := op
	elsewhere.Targets = []api.Target{{Host: "sim-9", Instance: "x"}}
	none := op
	none.Targets = []api.Target{{Host: "sim-0", Instance: "x"}}
	upgrade := op
	upgrade.Action, upgrade.Release = api.ActUpgrade, strings.Repeat("ab", 32)
	for name, c := range map[string]struct {
		method string
		in     any
		code   string
		says   string
	}{
		"unknown method":    {"explode", api.Empty{}, api.NoMethod, "explode"},
		"unknown instance":  {api.Inspect, &api.InstanceIn{Instance: "x"}, api.NoInstance, inst},
		"unknown operation": {api.OpStatus, &api.StatusIn{Op: "x"}, api.NoOperation, "x"},
		"wrong type":        {api.Inspect, map[string]any{"instance": 7}, api.InvalidParams, "InstanceIn"},
		"no map":            {api.Inspect, "x", api.InvalidParams, "InstanceIn"},
		"unknown action":    {api.OpOpen, &api.OpenIn{Operation: bad, LeaseHolder: "me", TTL: time.Second}, api.InvalidParams, "explode"},
		"no time":           {api.OpOpen, &api.OpenIn{Operation: unready, LeaseHolder: "me", TTL: time.Second}, api.InvalidParams, "ready"},
		"no holder":         {api.OpOpen, &api.OpenIn{Operation: op, TTL: time.Second}, api.InvalidParams, "holder"},
		"long lease":        {api.OpOpen, &api.OpenIn{Operation: op, LeaseHolder: "me", TTL: time.Hour}, api.InvalidParams, "lease"},
		"another's":         {api.OpOpen, &api.OpenIn{Operation: elsewhere, LeaseHolder: "me", TTL: time.Second}, api.InvalidParams, "no instance"},
		"no such instance":  {api.OpOpen, &api.OpenIn{Operation: none, LeaseHolder: "me", TTL: time.Second}, api.NoInstance, "x"},
		"no such release":   {api.OpOpen, &api.OpenIn{Operation: upgrade, LeaseHolder: "me", TTL: time.Second}, api.NoRelease, "abab"},
		"no hash":           {api.ReleaseStat, &api.ReleaseIn{Release: "../../etc"}, api.InvalidParams, "hash"},
		"a path as hash":    {api.ReleaseWrite, &api.ChunkIn{Release: "../../etc", File: "sidecar"}, api.InvalidRelease, "hash"},
		"another file":      {api.ReleaseWrite, &api.ChunkIn{Release: strings.Repeat("ab", 32), File: "../x"}, api.InvalidRelease, "../x"},
		"a gap":             {api.ReleaseWrite, &api.ChunkIn{Release: strings.Repeat("ab", 32), File: "sidecar", Offset: 9}, api.InvalidRelease, "at 9"},
		"not whole":         {api.ReleaseDone, &api.ReleaseIn{Release: strings.Repeat("cd", 32)}, api.InvalidRelease, "not there"},
	} {
		err := a.Call(ctx, c.method, c.in, nil)
		if code(err) != c.code || !strings.Contains(err.Error(), c.says) {
			t.Errorf("%s: %v (%s); want %s that says %q", name, err, code(err), c.code, c.says)
		}
	}
	if n := len(s.hosts[0].Launches()); n != 1 {
		t.Errorf("%d launches", n)
	}
	// A release that was corrupted in transit is rejected.
	hash := strings.Repeat("ab", 32)
	if err := a.Call(ctx, api.ReleaseWrite, &api.ChunkIn{Release: hash, File: "sidecar", Data: []byte("spoilt")}, nil); err != nil {
		t.Fatal(err)
	}
	if err := a.Call(ctx, api.ReleaseDone, &api.ReleaseIn{Release: hash}, nil); code(err) != api.InvalidRelease || !strings.Contains(err.Error(), "damaged") {
		t.Error(err)
	}
}

// The handshake has to be the first call, and a client without a common version gets an error that
// says so.
func TestHandshake(t *testing.T) {
	s := simulate(t, 1, 1, time.Millisecond, time.Millisecond, nil)
	dial := func() *msgpackrpc.Client {
		nc, err := net.Dial("tcp", strings.TrimPrefix(s.fleet.Agents[0].Host.Address, "tcp:"))
		if err != nil {
			t.Fatal(err)
		}
		c := msgpackrpc.NewClient(nc, msgpackrpc.Limits{}, nil)
		t.Cleanup(func() { c.Close() })
		return c
	}
	ctx, cancel := context.WithTimeout(context.Background(), eventuallyTimeout)
	defer cancel()
	said := func(err error) (e api.Error) {
		if r, ok := errors.AsType[*msgpackrpc.RemoteError](err); ok {
			msgpack.Unmarshal(r.Value, &e)
		}
		return e
	}
	c := dial()
	if e := said(c.Call(ctx, api.List, []any{api.Empty{}}, nil)); e.Code != api.NotWelcomed {
		t.Errorf("list before hello: %+v", e)
	}
	for _, v := range []api.HelloIn{{Oldest: api.Version + 1, Version: api.Version + 3}, {Oldest: 0, Version: api.Oldest - 1}} {
		if e := said(c.Call(ctx, api.Hello, []any{v}, nil)); e.Code != api.UnsupportedVersion || !strings.Contains(e.Message, "versions") {
			t.Errorf("%+v: %+v", v, e)
		}
	}
	var out api.HelloOut
	if err := c.Call(ctx, api.Hello, []any{api.HelloIn{Oldest: 1, Version: api.Version + 5, Client: "newer"}}, &out); err != nil || out.Version != api.Version {
		t.Errorf("a newer client that still speaks ours: %+v %v", out, err)
	}
	// An unknown field of a newer client is ignored.
	if err := c.Call(ctx, api.List, []any{map[string]any{"later": 1}}, nil); err != nil {
		t.Error(err)
	}
	if e := said(c.Call(ctx, api.List, []any{1, 2}, nil)); e.Code != api.InvalidParams {
		t.Errorf("two parameters: %+v", e)
	}
}

// A viewer changes nothing, a client without a certificate of the fleet's CA is rejected, and an
// agent whose certificate has another name than the inventory is not talked to.
func TestRolesOverTLS(t *testing.T) {
	dir, now := t.TempDir(), time.Now()
	file := tlsAgentFiles(t, dir, now)
	cfg, err := agent.LoadConfig(file)
	if err != nil {
		t.Fatal(err)
	}
	a, err := agent.New(cfg, simhost.New(0, 0), func(p string) (store.Store, error) { return sqlite.Open(p, 1<<20) })
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	if _, err := agent.New(cfg, simhost.New(0, 0), func(p string) (store.Store, error) { return sqlite.Open(p, 1<<20) }); err == nil || !strings.Contains(err.Error(), "another agent") {
		t.Errorf("a second agent on the same folder: %v", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	addr, done := make(chan string, 1), make(chan error, 1)
	go func() { done <- a.Serve(ctx, func(as []net.Addr) { addr <- as[0].String() }) }()
	defer func() {
		cancel()
		<-done
	}()
	at := <-addr
	open := func(ca, who, name string) *client.Agent { return tlsClient(t, dir, at, ca, who, name) }
	open1 := func(a *client.Agent) error {
		return a.Call(ctx, api.OpAbort, &api.AbortIn{Op: "x"}, nil)
	}
	if err := open1(open("ca", "sari", "host")); code(err) != api.NoOperation {
		t.Errorf("an operator: %v", err)
	}
	view := open("ca", "budi", "host")
	if err := open1(view); code(err) != api.Forbidden || !strings.Contains(err.Error(), "operate") {
		t.Errorf("a viewer who changes: %v", err)
	}
	if err := view.Call(ctx, api.List, api.Empty{}, nil); err != nil {
		t.Errorf("a viewer who looks: %v", err)
	}
	if err := open("ca", "nobody", "host").Call(ctx, api.List, api.Empty{}, nil); code(err) != api.Forbidden {
		t.Errorf("a certificate without a role: %v", err)
	}
	if err := open("foreign", "sari", "host").Call(ctx, api.List, api.Empty{}, nil); !errors.As(err, new(*client.UnreachableError)) {
		t.Errorf("another CA's certificate: %v", err)
	}
	if err := open("ca", "sari", "other").Call(ctx, api.List, api.Empty{}, nil); err == nil || !strings.Contains(err.Error(), "inventory is wrong") {
		t.Errorf("another host's agent: %v", err)
	}
	pem, _ := os.ReadFile(filepath.Join(dir, "ca", "ca.crt"))
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(pem)
	if nc, err := tls.Dial("tcp", at, &tls.Config{RootCAs: pool}); err == nil {
		nc.SetDeadline(now.Add(eventuallyTimeout))
		if _, err := nc.Read(make([]byte, 1)); err == nil {
			t.Error("no certificate, and answered")
		}
		nc.Close()
	}
}

// tlsAgentFiles makes a CA with an agent and three operators, a foreign CA with one operator, and
// the configuration of an agent, whose path it returns.
func tlsAgentFiles(t *testing.T, dir string, now time.Time) (file string) {
	t.Helper()
	for _, err := range []error{
		pki.Init(filepath.Join(dir, "ca"), now), pki.Agent(filepath.Join(dir, "ca"), "host", []string{"127.0.0.1"}, now),
		pki.Operator(filepath.Join(dir, "ca"), "sari", api.Operate, now), pki.Operator(filepath.Join(dir, "ca"), "budi", api.View, now),
		pki.Operator(filepath.Join(dir, "ca"), "nobody", "", now),
		pki.Init(filepath.Join(dir, "foreign"), now), pki.Operator(filepath.Join(dir, "foreign"), "sari", api.Operate, now),
	} {
		if err != nil {
			t.Fatal(err)
		}
	}
	if err := pki.Init(filepath.Join(dir, "ca"), now); err == nil {
		t.Error("a CA was overwritten")
	}
	os.WriteFile(filepath.Join(dir, "sidecar"), []byte("x"), 0o700)
	os.WriteFile(filepath.Join(dir, "i.json"), []byte(`{"listen":"127.0.0.1:1"}`), 0o600)
	file = filepath.Join(dir, "agent.toml")
	os.WriteFile(file, []byte(`name = "host"
state_dir = "s"
[listen]
tls = "127.0.0.1:0"
[tls]
ca = "ca/ca.crt"
cert = "ca/host.crt"
key = "ca/host.key"
[sidecar]
binary = "sidecar"
[[instance]]
name = "i"
config = "i.json"
`), 0o600)
	return file
}

// tlsClient returns an operator's view of the agent at an address, under the name that the
// inventory gives it.
func tlsClient(t *testing.T, dir, address, ca, who, name string) *client.Agent {
	t.Helper()
	inv := &inventory.Inventory{Timeout: quantity.Duration(5 * time.Second), Hosts: []inventory.Host{{Name: name, Address: "tls:" + address}}}
	inv.TLS.CA = filepath.Join(dir, "ca", "ca.crt")
	inv.TLS.Cert, inv.TLS.Key = filepath.Join(dir, ca, who+".crt"), filepath.Join(dir, ca, who+".key")
	f, err := client.New(inv, who)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f.Agents[0]
}

// The examples in deploy/ are read, and a broken configuration of an agent gets an error that
// names the place.
func TestExampleFilesLoadAndBrokenAgentFileIsRejected(t *testing.T) {
	if _, err := inventory.Load("../../../deploy/fleet.toml"); err != nil {
		t.Error(err)
	}
	text, err := os.ReadFile("../../../deploy/agent.toml")
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	os.WriteFile(filepath.Join(dir, "sidecar"), []byte("x"), 0o700)
	load := func(text string) error {
		file := filepath.Join(dir, "agent.toml")
		os.WriteFile(file, []byte(text), 0o600)
		_, err := agent.LoadConfig(file)
		return err
	}
	for _, n := range []string{"n1", "n2"} {
		os.MkdirAll(filepath.Join(dir, "instances"), 0o700)
		os.WriteFile(filepath.Join(dir, "instances", n+".json"), []byte(`{"listen":"127.0.0.1:80`+n[1:]+`"}`), 0o600)
	}
	good := string(text)
	if err := load(good); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ old, new, want string }{
		{`kill_after = "5s"`, `kill_after = 5`, "kill_after"},
		{`kill_after = "5s"`, `kill_after = "5"`, "with its unit"},
		{`kill_after = "5s"`, `kill_after = "1s"`, "3.7s"},
		{`kill_after = "5s"`, `kil_after = "5s"`, `unknown key "limits.kil_after"`},
		{`log = "8MiB"`, `log = "8"`, "MiB"},
		{`log = "8MiB"`, `log = "1KiB"`, "64KiB"},
		{`name = "n2"`, `name = "n1"`, "twice"},
		{`n2.json`, `n3.json`, "n3.json"},
		{`n2.json`, `n1.json`, "both listen"},
		{`name = "n2"`, `name = "a/b"`, "letters"},
		{`unix = `, `#`, "nobody could ask"},
		{`unix = `, "plain = \"10.0.0.1:1\"\nunix = ", "loopback"},
		{`unix = `, "tls = \"10.0.0.1:1\"\nunix = ", "martendrum ca"},
		{`unix = `, "plain_role = \"root\"\nunix = ", "plain_role"},
		{`[limits]`, `[limits`, ":"},
	} {
		if !strings.Contains(good, c.old) {
			t.Fatalf("deploy/agent.toml has no %q", c.old)
		}
		err := load(strings.Replace(good, c.old, c.new, 1))
		if err == nil || !strings.Contains(err.Error(), c.want) || !strings.Contains(err.Error(), "agent.toml") {
			t.Errorf("%q in place of %q: %v; want it to say %q", c.new, c.old, err, c.want)
		}
	}
}

// A broken inventory gets an error that names the file and what is wrong in it.
func TestBrokenInventoryIsRejected(t *testing.T) {
	dir := t.TempDir()
	for text, want := range map[string]string{
		"": "no [[host]]", "[[host]]\nname = \"a\"\naddress = \"ftp:x\"\n": "want unix:PATH",
		"[[host]]\nname = \"a\"\naddress = \"tls:h:1\"\n": "martendrum ca",
		"[[host]]\nname = \"a\"\naddress = \"tcp:h\"\n":   "address",
		"[[host]]\naddress = \"tcp:h:1\"\n":               "name",
		"timeout = \"1s\"\nhosts = 3\n":                   ":2: unknown key",
	} {
		file := filepath.Join(dir, "fleet.toml")
		os.WriteFile(file, []byte(text), 0o600)
		if _, err := inventory.Load(file); err == nil || !strings.Contains(err.Error(), want) || !strings.Contains(err.Error(), file) {
			t.Errorf("%q: %v; want it to say %q", text, err, want)
		}
	}
}
