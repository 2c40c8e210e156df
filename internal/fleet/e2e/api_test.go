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

// errorCode returns the code of an error of the agent API, "" for any other error.
func errorCode(err error) string {
	if e, ok := errors.AsType[*api.Error](err); ok {
		return e.Code
	}
	return ""
}

// An agent answers an invalid call with an error that has the right code and names the cause.
func TestErrorsOfTheAPI(t *testing.T) {
	s := simulate(t, 1, 1, time.Millisecond, time.Millisecond, nil)
	ctx, a := context.Background(), s.fleet.Agents[0]
	inst := s.allInstances.Targets[0].Instance
	op := s.newOperation(api.ActRestart)
	unknownAction := op
	unknownAction.Action = "explode"
	noReadyTime := op
	noReadyTime.ReadyTimeout = 0
	otherHost := op
	otherHost.Targets = []api.Target{{Host: "sim-9", Instance: "x"}}
	unknownTarget := op
	unknownTarget.Targets = []api.Target{{Host: "sim-0", Instance: "x"}}
	upgrade := op
	upgrade.Action, upgrade.Release = api.ActUpgrade, strings.Repeat("ab", 32)
	for name, c := range map[string]struct {
		method      string
		in          any
		wantCode    string
		wantMessage string // part of the error's message
	}{
		"unknown method":                  {"explode", api.Empty{}, api.NoMethod, "explode"},
		"unknown instance":                {api.Inspect, &api.InstanceIn{Instance: "x"}, api.NoInstance, inst},
		"unknown operation":               {api.OpStatus, &api.StatusIn{Op: "x"}, api.NoOperation, "x"},
		"parameter of a wrong type":       {api.Inspect, map[string]any{"instance": 7}, api.InvalidParams, "InstanceIn"},
		"parameters that are no map":      {api.Inspect, "x", api.InvalidParams, "InstanceIn"},
		"unknown action":                  {api.OpOpen, &api.OpenIn{Operation: unknownAction, LeaseHolder: "me", TTL: time.Second}, api.InvalidParams, "explode"},
		"no time to become ready":         {api.OpOpen, &api.OpenIn{Operation: noReadyTime, LeaseHolder: "me", TTL: time.Second}, api.InvalidParams, "ready"},
		"no lease holder":                 {api.OpOpen, &api.OpenIn{Operation: op, TTL: time.Second}, api.InvalidParams, "holder"},
		"lease that is too long":          {api.OpOpen, &api.OpenIn{Operation: op, LeaseHolder: "me", TTL: time.Hour}, api.InvalidParams, "lease"},
		"target on another host":          {api.OpOpen, &api.OpenIn{Operation: otherHost, LeaseHolder: "me", TTL: time.Second}, api.InvalidParams, "no instance"},
		"target that does not exist":      {api.OpOpen, &api.OpenIn{Operation: unknownTarget, LeaseHolder: "me", TTL: time.Second}, api.NoInstance, "x"},
		"unknown release":                 {api.OpOpen, &api.OpenIn{Operation: upgrade, LeaseHolder: "me", TTL: time.Second}, api.NoRelease, "abab"},
		"status of an invalid hash":       {api.ReleaseStat, &api.ReleaseIn{Release: "../../etc"}, api.InvalidParams, "hash"},
		"upload with a path as hash":      {api.ReleaseWrite, &api.ChunkIn{Release: "../../etc", File: "sidecar"}, api.InvalidRelease, "hash"},
		"upload of a file with a path":    {api.ReleaseWrite, &api.ChunkIn{Release: strings.Repeat("ab", 32), File: "../x"}, api.InvalidRelease, "../x"},
		"upload that leaves a gap":        {api.ReleaseWrite, &api.ChunkIn{Release: strings.Repeat("ab", 32), File: "sidecar", Offset: 9}, api.InvalidRelease, "at 9"},
		"release completed before upload": {api.ReleaseDone, &api.ReleaseIn{Release: strings.Repeat("cd", 32)}, api.InvalidRelease, "not there"},
	} {
		err := a.Call(ctx, c.method, c.in, nil)
		if errorCode(err) != c.wantCode || !strings.Contains(err.Error(), c.wantMessage) {
			t.Errorf("%s: got error %v with code %q, want code %q and a message that contains %q", name, err, errorCode(err), c.wantCode, c.wantMessage)
		}
	}
	if n := len(s.hosts[0].Launches()); n != 1 {
		t.Errorf("%d launches after the invalid calls, want 1: the initial one", n)
	}
	// A release that was corrupted in transit is rejected.
	hash := strings.Repeat("ab", 32)
	if err := a.Call(ctx, api.ReleaseWrite, &api.ChunkIn{Release: hash, File: "sidecar", Data: []byte("spoilt")}, nil); err != nil {
		t.Fatalf("uploading a chunk of a release: %v", err)
	}
	if err := a.Call(ctx, api.ReleaseDone, &api.ReleaseIn{Release: hash}, nil); errorCode(err) != api.InvalidRelease || !strings.Contains(err.Error(), "damaged") {
		t.Errorf("completing a release with another hash: got error %v, want code %s and \"damaged\"", err, api.InvalidRelease)
	}
}

// An agent rejects any call before the handshake, and answers a client without a common version of
// the API with an error about the versions.
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
	remoteError := func(err error) (e api.Error) {
		if r, ok := errors.AsType[*msgpackrpc.RemoteError](err); ok {
			msgpack.Unmarshal(r.Value, &e)
		}
		return e
	}
	c := dial()
	if e := remoteError(c.Call(ctx, api.List, []any{api.Empty{}}, nil)); e.Code != api.HelloRequired {
		t.Errorf("list before hello: got error %+v, want code %s", e, api.HelloRequired)
	}
	for _, v := range []api.HelloIn{{Oldest: api.Version + 1, Version: api.Version + 3}, {Oldest: 0, Version: api.Oldest - 1}} {
		if e := remoteError(c.Call(ctx, api.Hello, []any{v}, nil)); e.Code != api.UnsupportedVersion || !strings.Contains(e.Message, "versions") {
			t.Errorf("hello with %+v: got error %+v, want code %s and \"versions\"", v, e, api.UnsupportedVersion)
		}
	}
	var out api.HelloOut
	if err := c.Call(ctx, api.Hello, []any{api.HelloIn{Oldest: 1, Version: api.Version + 5, Client: "newer"}}, &out); err != nil || out.Version != api.Version {
		t.Errorf("hello of a newer client that supports the agent's version: got %+v, error %v, want version %d", out, err, api.Version)
	}
	// An unknown field of a newer client is ignored.
	if err := c.Call(ctx, api.List, []any{map[string]any{"later": 1}}, nil); err != nil {
		t.Errorf("list with an unknown field: got error %v, want none", err)
	}
	if e := remoteError(c.Call(ctx, api.List, []any{1, 2}, nil)); e.Code != api.InvalidParams {
		t.Errorf("list with two parameters: got error %+v, want code %s", e, api.InvalidParams)
	}
}

// A viewer may not change anything, a client without a certificate of the fleet's CA is rejected,
// and a client rejects an agent whose certificate has another name than the inventory gives.
func TestRolesOverTLS(t *testing.T) {
	dir, now := t.TempDir(), time.Now()
	file := tlsAgentFiles(t, dir, now)
	cfg, err := agent.LoadConfig(file)
	if err != nil {
		t.Fatalf("loading the agent's configuration: %v", err)
	}
	a, err := agent.New(cfg, simhost.New(0, 0), func(p string) (store.Store, error) { return sqlite.Open(p, 1<<20) })
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	if _, err := agent.New(cfg, simhost.New(0, 0), func(p string) (store.Store, error) { return sqlite.Open(p, 1<<20) }); err == nil || !strings.Contains(err.Error(), "another agent") {
		t.Errorf("second agent on the same state directory: got error %v, want one that contains \"another agent\"", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	addr, done := make(chan string, 1), make(chan error, 1)
	go func() { done <- a.Serve(ctx, func(as []net.Addr) { addr <- as[0].String() }) }()
	defer func() {
		cancel()
		<-done
	}()
	address := <-addr
	dial := func(ca, operator, name string) *client.Agent { return tlsClient(t, dir, address, ca, operator, name) }
	abortUnknown := func(a *client.Agent) error {
		return a.Call(ctx, api.OpAbort, &api.AbortIn{Op: "x"}, nil)
	}
	if err := abortUnknown(dial("ca", "sari", "host")); errorCode(err) != api.NoOperation {
		t.Errorf("abort by an operator: got error %v, want code %s", err, api.NoOperation)
	}
	viewer := dial("ca", "budi", "host")
	if err := abortUnknown(viewer); errorCode(err) != api.Forbidden || !strings.Contains(err.Error(), "operate") {
		t.Errorf("abort by a viewer: got error %v, want code %s and the role \"operate\"", err, api.Forbidden)
	}
	if err := viewer.Call(ctx, api.List, api.Empty{}, nil); err != nil {
		t.Errorf("list by a viewer: got error %v, want none", err)
	}
	if err := dial("ca", "nobody", "host").Call(ctx, api.List, api.Empty{}, nil); errorCode(err) != api.Forbidden {
		t.Errorf("list with a certificate without a role: got error %v, want code %s", err, api.Forbidden)
	}
	if err := dial("foreign", "sari", "host").Call(ctx, api.List, api.Empty{}, nil); !errors.As(err, new(*client.UnreachableError)) {
		t.Errorf("list with a certificate of another CA: got error %v, want an UnreachableError", err)
	}
	if err := dial("ca", "sari", "other").Call(ctx, api.List, api.Empty{}, nil); err == nil || !strings.Contains(err.Error(), "inventory is wrong") {
		t.Errorf("list from an agent under another host's name: got error %v, want one that contains \"inventory is wrong\"", err)
	}
	pem, _ := os.ReadFile(filepath.Join(dir, "ca", "ca.crt"))
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(pem)
	if nc, err := tls.Dial("tcp", address, &tls.Config{RootCAs: pool}); err == nil {
		nc.SetDeadline(now.Add(eventuallyTimeout))
		if _, err := nc.Read(make([]byte, 1)); err == nil {
			t.Error("the agent answered a client without a certificate, want it to reject the connection")
		}
		nc.Close()
	}
}

// tlsAgentFiles writes a CA with certificates of an agent and three operators, a foreign CA with
// one operator, and the configuration of the agent. It returns the path of that configuration.
func tlsAgentFiles(t *testing.T, dir string, now time.Time) (file string) {
	t.Helper()
	for _, err := range []error{
		pki.Init(filepath.Join(dir, "ca"), now), pki.Agent(filepath.Join(dir, "ca"), "host", []string{"127.0.0.1"}, now),
		pki.Operator(filepath.Join(dir, "ca"), "sari", api.Operate, now), pki.Operator(filepath.Join(dir, "ca"), "budi", api.View, now),
		pki.Operator(filepath.Join(dir, "ca"), "nobody", "", now),
		pki.Init(filepath.Join(dir, "foreign"), now), pki.Operator(filepath.Join(dir, "foreign"), "sari", api.Operate, now),
	} {
		if err != nil {
			t.Fatalf("writing certificates: %v", err)
		}
	}
	if err := pki.Init(filepath.Join(dir, "ca"), now); err == nil {
		t.Error("pki.Init in the folder of a CA succeeded, want an error")
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

// tlsClient returns an operator's client of the agent at an address. name is the agent's name in
// the client's inventory; ca is the folder of the CA that issued the operator's certificate.
func tlsClient(t *testing.T, dir, address, ca, operator, name string) *client.Agent {
	t.Helper()
	inv := &inventory.Inventory{Timeout: quantity.Duration(5 * time.Second), Hosts: []inventory.Host{{Name: name, Address: "tls:" + address}}}
	inv.TLS.CA = filepath.Join(dir, "ca", "ca.crt")
	inv.TLS.Cert, inv.TLS.Key = filepath.Join(dir, ca, operator+".crt"), filepath.Join(dir, ca, operator+".key")
	f, err := client.New(inv, operator)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f.Agents[0]
}

// The example files in deploy/ load without an error, and an invalid agent configuration gives an
// error that names the file and the invalid setting.
func TestExampleFilesLoadAndBrokenAgentFileIsRejected(t *testing.T) {
	if _, err := inventory.Load("../../../deploy/fleet.toml"); err != nil {
		t.Errorf("loading deploy/fleet.toml: %v", err)
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
	example := string(text)
	if err := load(example); err != nil {
		t.Fatalf("loading deploy/agent.toml: %v", err)
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
		{`unix = `, `#`, "no program could reach the agent"},
		{`unix = `, "plain = \"10.0.0.1:1\"\nunix = ", "loopback"},
		{`unix = `, "tls = \"10.0.0.1:1\"\nunix = ", "martendrum ca"},
		{`unix = `, "plain_role = \"root\"\nunix = ", "plain_role"},
		{`[limits]`, `[limits`, ":"},
	} {
		if !strings.Contains(example, c.old) {
			t.Fatalf("deploy/agent.toml does not contain %q", c.old)
		}
		err := load(strings.Replace(example, c.old, c.new, 1))
		if err == nil || !strings.Contains(err.Error(), c.want) || !strings.Contains(err.Error(), "agent.toml") {
			t.Errorf("agent.toml with %q in place of %q: got error %v, want one that contains %q and \"agent.toml\"", c.new, c.old, err, c.want)
		}
	}
}

// An invalid inventory gives an error that names the file and the fault.
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
			t.Errorf("loading the inventory %q: got error %v, want one that contains %q and the file's path", text, err, want)
		}
	}
}
