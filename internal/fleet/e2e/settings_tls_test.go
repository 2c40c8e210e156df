package e2e

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/control/client"
	"martendrum/internal/fleet/control/inventory"
	"martendrum/internal/fleet/distribution"
	"martendrum/internal/fleet/host/agent"
	"martendrum/internal/fleet/pki"
	"martendrum/internal/fleet/store"
	"martendrum/internal/fleet/store/sqlite"
	"martendrum/internal/quantity"
	"martendrum/internal/standin/simhost"
)

// tlsWorld is a relay and a host that communicate over mutual TLS. Both agents run in this process.
type tlsWorld struct {
	t       *testing.T
	dir     string
	address string // address of the relay
}

// newTLSWorld writes certificates and starts two agents: a relay named "relay", and a subscriber
// named "host" with a simulated sidecar.
func newTLSWorld(t *testing.T) *tlsWorld {
	t.Helper()
	w := &tlsWorld{t: t, dir: t.TempDir()}
	ca, now := filepath.Join(w.dir, "ca"), time.Now()
	local := []string{"127.0.0.1"}
	for _, err := range []error{
		pki.Init(ca, now), pki.Agent(ca, "relay", local, now), pki.Agent(ca, "host", local, now), pki.Agent(ca, "other", local, now),
		pki.Operator(ca, "operator", api.Operate, now), pki.Operator(ca, "viewer", api.View, now),
		os.WriteFile(filepath.Join(w.dir, "sidecar"), []byte("x"), 0o700),
		os.WriteFile(filepath.Join(w.dir, "instance.json"), []byte(`{"listen":"127.0.0.1:1"}`), 0o600),
	} {
		if err != nil {
			t.Fatalf("writing the files of the test: %v", err)
		}
	}
	// A relay does not connect to itself, so its own entry needs no valid address.
	w.address = w.serve("relay", "[relay]\n", "tls:127.0.0.1:1", "")
	w.serve("host", "", w.address, "[[instance]]\nname = \"instance\"\nconfig = \"instance.json\"\n")
	return w
}

// serve runs an agent until the test ends and returns the agent's address. The arguments are parts
// of its configuration: the [relay] section, "" for a subscriber; the relay's address; and the
// instances.
func (w *tlsWorld) serve(name, relay, address, instance string) string {
	w.t.Helper()
	text := fmt.Sprintf(`name = %q
state_dir = "state-%s"
[listen]
tls = "127.0.0.1:0"
[tls]
ca = "ca/ca.crt"
cert = "ca/%s.crt"
key = "ca/%s.key"
[sidecar]
binary = "sidecar"
%s[distribution]
subscribe = %v
writer = "relay"
coalesce = "10ms"
[[distribution.relay]]
name = "relay"
address = %q
%s`, name, name, name, name, relay, relay == "", address, instance)
	file := filepath.Join(w.dir, name+".toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		w.t.Fatal(err)
	}
	cfg, err := agent.LoadConfig(file)
	if err != nil {
		w.t.Fatalf("loading the configuration of agent %s: %v", name, err)
	}
	served, err := agent.New(cfg, simhost.New(0, 0), func(path string) (store.Store, error) { return sqlite.Open(path, 1<<20) })
	if err != nil {
		w.t.Fatalf("creating agent %s: %v", name, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	listening, ended := make(chan string, 1), make(chan error, 1)
	go func() { ended <- served.Serve(ctx, func(at []net.Addr) { listening <- at[0].String() }) }()
	w.t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			w.t.Errorf("agent %s ended with error: %v", name, err)
		}
		served.Close()
	})
	return "tls:" + <-listening
}

// clientAs returns a client of the relay that authenticates with the named certificate.
func (w *tlsWorld) clientAs(certificate string) *client.Agent {
	w.t.Helper()
	inv := &inventory.Inventory{Timeout: quantity.Duration(5 * time.Second), Hosts: []inventory.Host{{Name: "relay", Address: w.address}}}
	inv.TLS.CA = filepath.Join(w.dir, "ca", "ca.crt")
	inv.TLS.Cert = filepath.Join(w.dir, "ca", certificate+".crt")
	inv.TLS.Key = filepath.Join(w.dir, "ca", certificate+".key")
	fleet, err := client.New(inv, certificate)
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(fleet.Close)
	return fleet.Agents[0]
}

// Over mutual TLS a host subscribes to a relay with its agent's certificate. No other certificate
// may act as that host or as a relay, and a viewer can neither publish a change nor promote a
// relay.
func TestSettingsOverTLS(t *testing.T) {
	w := newTLSWorld(t)
	ctx := context.Background()
	operator, viewer, other := w.clientAs("operator"), w.clientAs("viewer"), w.clientAs("other")
	put := &distribution.Put{Name: "limits/all", Content: []byte(memoryLimit(80))}
	var published api.SettingsPutOut
	if err := operator.Call(ctx, api.SettingsPut, put, &published); err != nil {
		t.Fatalf("publishing a change as an operator: %v", err)
	}
	eventually(t, "the change to be in force, in the status that a viewer reads", func() bool {
		var out api.SettingsStatusOut
		err := viewer.Call(ctx, api.SettingsStatus, &api.SettingsStatusIn{Revision: published.Resource.Revision}, &out)
		return err == nil && out.Complete && out.Status.Hosts == 1 && out.Status.InForce == 1
	})

	interest := &distribution.Interest{Host: "host"}
	writer := &api.SettingsWriter{Writer: "relay", Epoch: 9}
	watch := &api.SettingsWatchIn{Host: "host", Session: time.Now().UnixMicro(), Interest: interest, State: &distribution.HostState{}}
	ack := &api.SettingsAckIn{Host: "host", State: distribution.HostState{Settled: true}}
	for _, attempt := range []struct {
		caller string
		client *client.Agent
		method string
		in     any
	}{
		{"a viewer", viewer, api.SettingsPut, put},
		{"a viewer", viewer, api.SettingsPromote, &api.Empty{}},
		{"a host", other, api.SettingsPut, put},
		{"a host", other, api.SettingsPromote, &api.Empty{}},
		{"a host", other, api.SettingsGet, &api.SettingsGetIn{}},
		{"another host", other, api.SettingsWatch, watch},
		{"another host", other, api.SettingsAck, ack},
		{"an operator that acts as a host", operator, api.SettingsWatch, watch},
		{"an operator that acts as a host", operator, api.SettingsAck, ack},
		{"a host that acts as a relay", other, api.SettingsFollow, &api.SettingsFollowIn{Relay: "relay", Writer: "relay", Epoch: 1}},
		{"a host that acts as a relay", other, api.SettingsReport, &api.SettingsReportIn{Relay: "relay", Epoch: 1}},
		{"a host that is no relay", other, api.SettingsFollow, &api.SettingsFollowIn{Relay: "other", Writer: "relay", Epoch: 1}},
		{"a host that is no relay", other, api.SettingsExchangeWriter, writer},
		{"an operator", operator, api.SettingsExchangeWriter, writer},
	} {
		if err := attempt.client.Call(ctx, attempt.method, attempt.in, nil); errorCode(err) != api.Forbidden {
			t.Errorf("call by %s of %s: got error %v, want code %s", attempt.caller, attempt.method, err, api.Forbidden)
		}
	}
	otherInterest := &api.SettingsWatchIn{Host: "other", Session: watch.Session, Interest: interest, State: watch.State}
	if err := other.Call(ctx, api.SettingsWatch, otherInterest, nil); errorCode(err) != api.InvalidParams {
		t.Errorf("watch by a host with the interest of another host: got error %v, want code %s", err, api.InvalidParams)
	}
	var out api.SettingsStatusOut
	if err := viewer.Call(ctx, api.SettingsStatus, &api.SettingsStatusIn{}, &out); err != nil || out.Writer.Epoch != 1 || out.Status.Hosts != 1 {
		t.Errorf("status after the rejected calls = %+v, error %v; want epoch 1 and 1 host", out, err)
	}
}
