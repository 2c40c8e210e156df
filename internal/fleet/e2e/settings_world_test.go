package e2e

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"syscall"
	"testing"

	"martendrum/internal/fleet/control/client"
	"martendrum/internal/fleet/distribution"
	"martendrum/internal/standin/faultnet"
)

// settingsWorld is a fleet whose hosts receive distributed settings from relays. Each relay is a
// separate agent without sidecars. Each agent reaches each relay through a link of its own, on
// which a test can set faults.
type settingsWorld struct {
	*world
	layout settingsLayout
	relays []*host
	net    *faultnet.Net
	links  map[string]*faultnet.Link // by linkName
	admin  map[string]string         // address of each sidecar's admin endpoint, by instance
	// operator is a client of all agents, including the relays; world.fleet has only the agents
	// with sidecars.
	operator *client.Fleet
}

// writer returns the first relay, which is the writer in the first epoch.
func (w *settingsWorld) writer() *host { return w.relays[0] }

func linkName(from, relay *host) string { return from.name + " to " + relay.name }

// link returns the link through which an agent reaches a relay.
func (w *settingsWorld) link(from, relay *host) *faultnet.Link {
	return w.links[linkName(from, relay)]
}

// settingsLayout holds the size and the configuration of a settingsWorld.
type settingsLayout struct {
	relays, hosts, sidecarsPerHost int
	// regions, if above 0, is the number of regions, to which relays and hosts are assigned in
	// turn. A host polls the relay of its own region as long as that relay answers.
	regions int
	// relay holds additional lines for the [relay] section of each relay.
	relay string
}

// newSettingsWorld configures and starts relays and hosts, with the same number of sidecars on each
// host.
func newSettingsWorld(t testing.TB, relays, hosts, sidecarsPerHost int) *settingsWorld {
	t.Helper()
	w := configureSettings(t, settingsLayout{relays: relays, hosts: hosts, sidecarsPerHost: sidecarsPerHost})
	w.startRelays()
	w.startAll()
	return w
}

// newRegionalWorld configures and starts relays, each in a region of its own, and hosts with one
// sidecar each, which are spread over the regions.
func newRegionalWorld(t testing.TB, relays, hosts int) *settingsWorld {
	t.Helper()
	w := configureSettings(t, settingsLayout{relays: relays, hosts: hosts, sidecarsPerHost: 1, regions: relays})
	w.startRelays()
	w.startAll()
	return w
}

// configureSettings writes the configurations of relays and hosts and starts none of them.
// Instances have the labels that newWorld gives them, and the label service "even" or "odd" by the
// number of their host.
func configureSettings(t testing.TB, layout settingsLayout) *settingsWorld {
	t.Helper()
	w := &settingsWorld{world: newWorld(t, layout.hosts, layout.sidecarsPerHost), layout: layout, net: faultnet.New(1), links: make(map[string]*faultnet.Link)}
	t.Cleanup(w.net.Close)
	for n := range layout.relays {
		w.relays = append(w.relays, w.configureRelay(n))
	}
	for n, relay := range w.relays {
		w.configureDistribution(relay, n, "[relay]\nsubscribers = 50\n"+layout.relay)
	}
	for n, h := range w.hosts {
		w.labelService(h, n)
		w.configureDistribution(h, n, "")
	}
	w.addRelaysToInventory()
	w.operator = w.newClient("operator")
	t.Cleanup(w.operator.Close)
	w.admin = w.adminAddresses()
	t.Cleanup(func() {
		for _, relay := range w.relays {
			relay.kill()
		}
		if t.Failed() {
			w.logAgentLogs()
		}
	})
	return w
}

// startRelays starts all relays and waits until they answer.
func (w *settingsWorld) startRelays() {
	w.t.Helper()
	for _, relay := range w.relays {
		relay.start()
	}
	w.waitCopied(distribution.Revision{}, w.relays...)
}

// waitServing waits until the sidecars of the hosts answer with their metrics.
func (w *settingsWorld) waitServing(hosts ...*host) {
	w.t.Helper()
	eventually(w.t, "the metrics of all sidecars", func() bool {
		for _, name := range instanceNames(hosts...) {
			if w.bodyLimit(name) == 0 {
				return false
			}
		}
		return true
	})
}

// region returns the region of the n-th relay or host, "" if the layout has no regions.
func (w *settingsWorld) region(n int) string {
	if w.layout.regions == 0 {
		return ""
	}
	return fmt.Sprintf("region-%d", n%w.layout.regions)
}

// configureRelay writes the configuration of the n-th relay without its [relay] and [distribution]
// sections, which configureDistribution appends.
func (w *settingsWorld) configureRelay(n int) *host {
	w.t.Helper()
	relay := &host{world: w.world, name: fmt.Sprintf("%s-r%d", w.prefix, n)}
	dir := filepath.Join(w.dir, fmt.Sprint("r", n))
	if err := os.Mkdir(dir, 0o700); err != nil {
		w.t.Fatal(err)
	}
	relay.config = filepath.Join(dir, "agent.toml")
	text := fmt.Sprintf("name = %q\nstate_dir = \"s\"\n[listen]\nunix = \"a\"\n[sidecar]\nbinary = %q\n[figures]\nslot = \"0s\"\n",
		relay.name, filepath.Join(w.binaries, "sidecar"))
	if err := os.WriteFile(relay.config, []byte(text), 0o600); err != nil {
		w.t.Fatal(err)
	}
	return relay
}

// socket returns the address of the agent's Unix socket.
func (h *host) socket() string { return "unix:" + filepath.Join(filepath.Dir(h.config), "a") }

// configureDistribution appends the [distribution] section to the configuration of the n-th relay
// or host, with the address of a new link to each relay. relaySection is the [relay] section, ""
// for a host, which subscribes.
func (w *settingsWorld) configureDistribution(h *host, n int, relaySection string) {
	w.t.Helper()
	var text strings.Builder
	text.WriteString(relaySection)
	fmt.Fprintf(&text, "[distribution]\nsubscribe = %v\nwriter = %q\ncoalesce = \"200ms\"\nregion = %q\n", relaySection == "", w.writer().name, w.region(n))
	for r, relay := range w.relays {
		address := relay.socket()
		if relay != h {
			link, err := w.net.TCP(linkName(h, relay), relay.socket())
			if err != nil {
				w.t.Fatalf("creating the link %s: %v", linkName(h, relay), err)
			}
			w.links[linkName(h, relay)] = link
			address = "tcp:" + link.Addr()
		}
		fmt.Fprintf(&text, "[[distribution.relay]]\nname = %q\naddress = %q\nregion = %q\n", relay.name, address, w.region(r))
	}
	appendFile(w.t, h.config, text.String())
}

// labelService gives the instances of the n-th host the label service "even" or "odd".
func (w *settingsWorld) labelService(h *host, n int) {
	w.t.Helper()
	text, err := os.ReadFile(h.config)
	if err != nil {
		w.t.Fatal(err)
	}
	service := []string{"even", "odd"}[n%2]
	labelled := strings.ReplaceAll(string(text), "labels = {", fmt.Sprintf("labels = {service = %q, ", service))
	if err := os.WriteFile(h.config, []byte(labelled), 0o600); err != nil {
		w.t.Fatal(err)
	}
}

// addRelaysToInventory appends the relays to the inventory file.
func (w *settingsWorld) addRelaysToInventory() {
	w.t.Helper()
	var text strings.Builder
	for _, relay := range w.relays {
		fmt.Fprintf(&text, "[[host]]\nname = %q\naddress = %q\nlabels = {relay = \"true\"}\n", relay.name, relay.socket())
	}
	appendFile(w.t, w.inventoryPath, text.String())
}

// appendFile appends text to an existing file.
func appendFile(t testing.TB, path, text string) {
	t.Helper()
	f, err := os.OpenFile(path, os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	if _, err := f.WriteString(text); err != nil {
		t.Fatalf("appending to %s: %v", path, err)
	}
}

// logAgentLogs prints the end of each agent's log.
func (w *settingsWorld) logAgentLogs() {
	for _, h := range slices.Concat(w.relays, w.hosts) {
		log, _ := os.ReadFile(h.config + ".log")
		w.t.Logf("end of the log of %s: %s", h.name, log[max(0, len(log)-2000):])
	}
}

// adminPattern matches the address of the admin endpoint in a sidecar's configuration.
var adminPattern = regexp.MustCompile(`"mgmt": "([^"]+)"`)

// adminAddresses reads the address of each sidecar's admin endpoint from its configuration.
func (w *settingsWorld) adminAddresses() map[string]string {
	w.t.Helper()
	addresses := make(map[string]string)
	for _, h := range w.hosts {
		for _, name := range h.instances {
			text, err := os.ReadFile(filepath.Join(filepath.Dir(h.config), name+".json"))
			if err != nil {
				w.t.Fatal(err)
			}
			addresses[name] = string(adminPattern.FindSubmatch(text)[1])
		}
	}
	return addresses
}

// memoryLimit returns an overlay that sets a sidecar's memory limit. A sidecar applies it at
// SIGHUP, and bodyLimit then returns another value.
func memoryLimit(megabytes int) string { return fmt.Sprintf(`{"limits":{"memory_mb":%d}}`, megabytes) }

// instanceNames returns the names of all instances of the hosts.
func instanceNames(hosts ...*host) (names []string) {
	for _, h := range hosts {
		names = append(names, h.instances...)
	}
	return names
}

// publish publishes a change of a resource by martendrum change publish, with additional arguments
// of the command, and returns its revision.
func (w *settingsWorld) publish(name, content string, arguments ...string) distribution.Revision {
	w.t.Helper()
	file := filepath.Join(w.t.(interface{ TempDir() string }).TempDir(), "overlay.json")
	if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
		w.t.Fatal(err)
	}
	out, errs, code := w.command(append([]string{"change", "publish", name, "--file", file}, arguments...)...)
	if code != 0 {
		w.t.Fatalf("martendrum change publish %s: exit code %d, want 0\n%s%s", name, code, out, errs)
	}
	var revision string
	if _, err := fmt.Sscanf(out, name+" is at revision %s", &revision); err != nil {
		w.t.Fatalf("martendrum change publish %s printed %q, want the new revision: %v", name, out, err)
	}
	parsed, err := distribution.ParseRevision(strings.TrimSuffix(revision, ";"))
	if err != nil {
		w.t.Fatalf("martendrum change publish %s: parsing the revision %q: %v", name, revision, err)
	}
	return parsed
}

// setLinks sets a fault on the links from each of the agents to each other relay. An empty fault
// heals them.
func (w *settingsWorld) setLinks(agents, relays []*host, fault faultnet.Fault) {
	for _, from := range agents {
		for _, relay := range relays {
			if from != relay {
				w.link(from, relay).Set(fault)
			}
		}
	}
}

// killSidecar kills the process of an instance and waits until a new one is ready.
func (w *settingsWorld) killSidecar(h *host, instance string) {
	w.t.Helper()
	before := w.inspect(h, instance).Instance.PID
	if err := syscall.Kill(before, syscall.SIGKILL); err != nil {
		w.t.Fatalf("killing process %d of %s: %v", before, instance, err)
	}
	eventually(w.t, "a new process of "+instance+" to be ready", func() bool {
		now := w.inspect(h, instance).Instance
		return now.PID != 0 && now.PID != before && now.State == "ready"
	})
}
