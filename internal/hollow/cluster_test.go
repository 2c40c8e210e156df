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

// relayAddress is the loopback address of the relays. Outgoing connections use another address, so
// that none of them can occupy the port of a stopped relay.
const relayAddress = "127.0.0.2"

// Timeouts of operations on a cluster.
const (
	startTimeout = 30 * time.Second
	callTimeout  = 10 * time.Second
	stopTimeout  = 15 * time.Second
)

// processorLimit is the environment setting that bounds how many processors a relay or a worker
// uses at once: all of them share one machine.
const processorLimit = "GOMAXPROCS=2"

// process is a child process of the test.
type process struct {
	command *exec.Cmd
	end     chan struct{} // closed when the process has ended
}

// startProcess starts a command whose standard error is appended to a file.
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

// stop ends the process by a signal, and by SIGKILL if it still runs after stopTimeout.
func (p *process) stop(signal syscall.Signal) {
	p.command.Process.Signal(signal)
	select {
	case <-p.end:
		return
	case <-time.After(stopTimeout):
	}
	p.command.Process.Kill()
	<-p.end
}

// relay is an agent's process that distributes settings.
type relay struct {
	distribution.Relay
	config  string   // path of its configuration file
	process *process // nil: not running
}

// cluster is a set of relays, and an operator's connection to the first of them, which is the
// writer.
type cluster struct {
	t         testing.TB
	folder    string
	program   string // path of martendrum
	profiles  string // folder for profiles; "": no profiles
	authority *Authority
	relays    []*relay
	operator  *tls.Config
	writer    connect.Caller
}

// newCluster writes the configurations of the given number of relays, starts them and connects to
// the writer. Each relay accepts at most maxSubscribers subscribers. The relays end with the test.
func newCluster(t testing.TB, relays, maxSubscribers int, profiles string) *cluster {
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
	c.configureRelays(relays, maxSubscribers)
	t.Cleanup(c.close)
	c.startAll()
	c.connect()
	return c
}

// must fails the test if err is not nil.
func (c *cluster) must(err error) {
	c.t.Helper()
	if err != nil {
		c.t.Fatal(err)
	}
}

// path returns the path of a file in the cluster's folder.
func (c *cluster) path(name string) string { return filepath.Join(c.folder, name) }

// addresses returns the list of relays that subscribers are configured with.
func (c *cluster) addresses() []distribution.Relay {
	var addresses []distribution.Relay
	for _, relay := range c.relays {
		addresses = append(addresses, relay.Relay)
	}
	return addresses
}

// configureRelays chooses free addresses for the relays, which it spreads over the zones, and
// writes their configurations.
func (c *cluster) configureRelays(count, maxSubscribers int) {
	c.t.Helper()
	for n := range count {
		zone := n * Regions * ZonesPerRegion / count
		entry := distribution.Relay{Name: fmt.Sprintf("relay-%02d", n), Address: "tls:" + c.freeAddress(),
			Region: RegionName(zone / ZonesPerRegion), Zone: ZoneName(zone)}
		c.relays = append(c.relays, &relay{Relay: entry, config: c.path(entry.Name + ".toml")})
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
			maxSubscribers, c.relays[0].Name, list.String())
		c.must(os.WriteFile(relay.config, []byte(text), 0o600))
	}
}

// freeAddress returns an address at which no process listens.
func (c *cluster) freeAddress() string {
	c.t.Helper()
	listener, err := net.Listen("tcp", relayAddress+":0")
	c.must(err)
	defer listener.Close()
	return listener.Addr().String()
}

// start starts a relay. With profiles, the relay runs in the test's own binary, which writes them.
func (c *cluster) start(relay *relay) {
	c.t.Helper()
	command := exec.Command(c.program, "agent", "--config", relay.config)
	command.Env = append(os.Environ(), processorLimit)
	if c.profiles != "" {
		command = exec.Command(os.Args[0])
		command.Env = append(os.Environ(), processorLimit, agentVariable+"="+relay.config, profileVariable+"="+c.profiles)
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
func (c *cluster) stop(signal syscall.Signal, relays ...*relay) {
	var group sync.WaitGroup
	for _, relay := range relays {
		if relay.process != nil {
			group.Go(func() { relay.process.stop(signal) })
		}
	}
	group.Wait()
	for _, relay := range relays {
		relay.process = nil
	}
}

// connect opens the operator's connection to the writer, and waits until the writer accepts it.
func (c *cluster) connect() {
	c.t.Helper()
	c.disconnect()
	first := c.relays[0]
	target := connect.Target{Agent: first.Name, Address: first.Address, TLS: c.operator}
	eventually(c.t, startTimeout, "a connection to the writer", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		client, err := connect.Dial(ctx, target, "scale test", msgpackrpc.Limits{Message: maxMessage})
		if err != nil {
			return false
		}
		c.writer = connect.Caller{Client: client}
		return true
	})
}

// disconnect closes the operator's connection, if there is one.
func (c *cluster) disconnect() {
	if c.writer.Client != nil {
		c.writer.Close()
		c.writer.Client = nil
	}
}

// publish publishes a change, and returns it with the time at which the writer acknowledged it.
func (c *cluster) publish(put distribution.Put) (Change, time.Time) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var out api.SettingsPutOut
	c.must(c.writer.Call(ctx, api.SettingsPut, &put, &out))
	return Change{Name: put.Name, Revision: out.Resource.Revision}, time.Now()
}

// status asks the writer at how many hosts a revision is in force; the zero revision stands for the
// latest.
func (c *cluster) status(revision distribution.Revision) distribution.Status {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var out api.SettingsStatusOut
	c.must(c.writer.Call(ctx, api.SettingsStatus, &api.SettingsStatusIn{Revision: revision}, &out))
	return out.Status
}

// close ends the relays and, if the test failed, logs the last 1,000 bytes of each relay's log.
func (c *cluster) close() {
	c.disconnect()
	c.stop(syscall.SIGTERM, c.relays...)
	if !c.t.Failed() {
		return
	}
	for _, relay := range c.relays {
		log, _ := os.ReadFile(relay.config + ".log")
		c.t.Logf("end of the log of %s: %s", relay.Name, log[max(0, len(log)-1000):])
	}
}

// eventually waits until a condition holds. It fails the test if that takes longer than limit.
func eventually(t testing.TB, limit time.Duration, what string, condition func() bool) {
	t.Helper()
	const pollInterval = 50 * time.Millisecond
	for deadline := time.Now().Add(limit); ; time.Sleep(pollInterval) {
		if condition() {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("timed out after %v waiting for %s", limit, what)
		}
	}
}
