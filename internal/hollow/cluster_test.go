package hollow

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"martendrum/internal/fleet/api"
	"martendrum/internal/fleet/connect"
	"martendrum/internal/fleet/distribution"
	"martendrum/internal/fleet/pki"
	"martendrum/internal/msgpackrpc"
)

// relayAddress is the loopback address of relays. Outgoing connections use another one, so that
// none of them takes the port of a relay that is down.
const relayAddress = "127.0.0.2"

// Bounds of waits in a cluster.
const (
	maxStart = 30 * time.Second
	maxCall  = 10 * time.Second
	maxStop  = 15 * time.Second
)

// processorsInterval bounds how many processors a relay or a worker uses at once: all run on one
// machine.
const processorsInterval = "GOMAXPROCS=2"

// process is a child of the test. end is closed when it has ended.
type process struct {
	command *exec.Cmd
	end     chan struct{}
}

// startProcess starts a command with its standard error in a file.
func startProcess(command *exec.Cmd, logPath string) (*process, error) {
	log, err := os.OpenFile(logPath, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	command.Stderr = log
	if err := command.Start(); err != nil {
		return nil, err
	}
	p := &process{command: command, end: make(chan struct{})}
	go func() {
		command.Wait()
		close(p.end)
	}()
	return p, nil
}

func (p *process) pid() int { return p.command.Process.Pid }

// stop ends the process by a signal, and by SIGKILL where that takes too long.
func (p *process) stop(how syscall.Signal) {
	p.command.Process.Signal(how)
	select {
	case <-p.end:
		return
	case <-time.After(maxStop):
	}
	p.command.Process.Kill()
	<-p.end
}

// relay is one host that serves settings.
type relay struct {
	distribution.Relay
	config  string
	process *process // nil: not running
}

// cluster is a set of relays, the first of which is the writer, with an operator's connection to
// it.
type cluster struct {
	t         testing.TB
	folder    string
	program   string
	profiles  string // folder, "" for none
	authority *Authority
	relays    []*relay
	operator  *tls.Config
	writer    connect.Caller
}

// newCluster writes the relays' configurations and starts them.
func newCluster(t testing.TB, relays, subscribers int, profiles string) *cluster {
	t.Helper()
	c := &cluster{t: t, folder: t.TempDir(), program: program(t), profiles: profiles}
	c.must(pki.Init(c.folder, time.Now()))
	c.must(pki.Operator(c.folder, "operator", api.Operate, time.Now()))
	var err error
	c.authority, err = LoadAuthority(c.folder)
	c.must(err)
	c.operator, err = pki.LoadTLS(c.path("ca.crt"), c.path("operator.crt"), c.path("operator.key"))
	c.must(err)
	// The agents have no instances, so the sidecar's program is never started.
	c.must(os.WriteFile(c.path("unused"), []byte("#!/bin/false\n"), 0o700))
	c.layRelays(relays, subscribers)
	t.Cleanup(c.close)
	c.startAll()
	c.connect()
	return c
}

func (c *cluster) must(err error) {
	c.t.Helper()
	if err != nil {
		c.t.Fatal(err)
	}
}

func (c *cluster) path(name string) string { return filepath.Join(c.folder, name) }

// addresses returns the relays' addresses, as subscribers are configured with them.
func (c *cluster) addresses() []distribution.Relay {
	var addresses []distribution.Relay
	for _, relay := range c.relays {
		addresses = append(addresses, relay.Relay)
	}
	return addresses
}

// layRelays chooses free addresses and writes the relays' configurations. Relays are spread
// over the zones.
func (c *cluster) layRelays(count, subscribers int) {
	c.t.Helper()
	for n := range count {
		zone := n * Regions * ZonesPerRegion / count
		place := distribution.Relay{Name: fmt.Sprintf("relay-%02d", n), Address: "tls:" + c.freeAddress(),
			Region: RegionName(zone / ZonesPerRegion), Zone: ZoneName(zone)}
		c.relays = append(c.relays, &relay{Relay: place, config: c.path(place.Name + ".toml")})
	}
	var list strings.Builder
	for _, relay := range c.relays {
		fmt.Fprintf(&list, "[[distribution.relay]]\nname = %q\naddress = %q\nregion = %q\nzone = %q\n", relay.Name, relay.Address, relay.Region, relay.Zone)
	}
	for n, relay := range c.relays {
		c.must(c.authority.WriteAgent(c.folder, relay.Name, int64(n+1), net.ParseIP(relayAddress), time.Now()))
		text := fmt.Sprintf("name = %q\nstate_dir = %q\n[listen]\ntls = %q\n[tls]\nca = \"ca.crt\"\ncert = %q\nkey = %q\n"+
			"[sidecar]\nbinary = \"unused\"\n[figures]\nslot = \"0s\"\n[relay]\nsubscribers = %d\n[distribution]\nwriter = %q\n%s",
			relay.Name, relay.Name, strings.TrimPrefix(relay.Address, "tls:"), relay.Name+".crt", relay.Name+".key",
			subscribers, c.relays[0].Name, list.String())
		c.must(os.WriteFile(relay.config, []byte(text), 0o600))
	}
}

func (c *cluster) freeAddress() string {
	c.t.Helper()
	listener, err := net.Listen("tcp", relayAddress+":0")
	c.must(err)
	defer listener.Close()
	return listener.Addr().String()
}

// start starts a relay.
func (c *cluster) start(relay *relay) {
	c.t.Helper()
	command := exec.Command(c.program, "agent", "--config", relay.config)
	command.Env = append(os.Environ(), processorsInterval)
	if c.profiles != "" {
		command = exec.Command(os.Args[0])
		command.Env = append(os.Environ(), processorsInterval, agentVariable+"="+relay.config, profileVariable+"="+c.profiles)
	}
	var err error
	relay.process, err = startProcess(command, relay.config+".log")
	c.must(err)
}

// startAll starts all relays that don't run.
func (c *cluster) startAll() {
	c.t.Helper()
	for _, relay := range c.relays {
		if relay.process == nil {
			c.start(relay)
		}
	}
}

// stop ends relays concurrently.
func (c *cluster) stop(how syscall.Signal, relays ...*relay) {
	var all sync.WaitGroup
	for _, relay := range relays {
		if relay.process != nil {
			all.Go(func() { relay.process.stop(how) })
		}
	}
	all.Wait()
	for _, relay := range relays {
		relay.process = nil
	}
}

// connect opens the operator's connection to the writer, as soon as that serves.
func (c *cluster) connect() {
	c.t.Helper()
	c.disconnect()
	first := c.relays[0]
	target := connect.Target{Agent: first.Name, Address: first.Address, TLS: c.operator}
	eventually(c.t, maxStart, "the writer answers", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), maxCall)
		defer cancel()
		client, err := connect.Dial(ctx, target, "scale test", msgpackrpc.Limits{Message: maxMessage})
		if err != nil {
			return false
		}
		c.writer = connect.Caller{Client: client}
		return true
	})
}

func (c *cluster) disconnect() {
	if c.writer.Client != nil {
		c.writer.Close()
		c.writer.Client = nil
	}
}

// publish publishes a change, and returns it with the time of its acknowledgement.
func (c *cluster) publish(put distribution.Put) (Change, time.Time) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), maxCall)
	defer cancel()
	var out api.SettingsPutOut
	c.must(c.writer.Call(ctx, api.SettingsPut, &put, &out))
	return Change{Name: put.Name, Revision: out.Resource.Revision}, time.Now()
}

// status queries the writer for a revision's progress; the zero revision is the latest.
func (c *cluster) status(revision distribution.Revision) distribution.Status {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), maxCall)
	defer cancel()
	var out api.SettingsStatusOut
	c.must(c.writer.Call(ctx, api.SettingsStatus, &api.SettingsStatusIn{Revision: revision}, &out))
	return out.Status
}

// close ends the relays and, where the test failed, shows the end of their logs.
func (c *cluster) close() {
	c.disconnect()
	c.stop(syscall.SIGTERM, c.relays...)
	if !c.t.Failed() {
		return
	}
	for _, relay := range c.relays {
		log, _ := os.ReadFile(relay.config + ".log")
		c.t.Logf("%s: %s", relay.Name, log[max(0, len(log)-1000):])
	}
}

// eventually waits until a condition holds, and fails the test at the limit.
func eventually(t testing.TB, limit time.Duration, what string, holds func() bool) {
	t.Helper()
	const pollInterval = 50 * time.Millisecond
	for until := time.Now().Add(limit); ; time.Sleep(pollInterval) {
		if holds() {
			return
		}
		if time.Now().After(until) {
			t.Fatalf("not after %v: %s", limit, what)
		}
	}
}
