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

// settingsWorld is a fleet whose hosts follow relays: each relay is an agent of its own
// without sidecars, and each way between two agents is a link that a test can break.
type settingsWorld struct {
	*world
	layout settingsLayout
	relays []*host
	net    *faultnet.Net
	links  map[string]*faultnet.Link // "ASKER to RELAY", by the names of linkName
	admin  map[string]string         // of each sidecar, where its figures are asked for
	// operator sees the relays too; fleet, of world, sees the hosts with sidecars alone.
	operator *client.Fleet
}

// writer is the first relay, which writes in the first epoch.
func (w *settingsWorld) writer() *host { return w.relays[0] }

func linkName(asker, relay *host) string { return asker.name + " to " + relay.name }

// link is the way from an agent to a relay.
func (w *settingsWorld) link(asker, relay *host) *faultnet.Link {
	return w.links[linkName(asker, relay)]
}

// settingsLayout is the size of a settingsWorld and what its configurations say.
type settingsLayout struct {
	relays, hosts, sidecarsPerHost int
	// regions, where above 0, puts relays and hosts into so many regions in turn: a host asks
	// the relay of its own region as long as that one answers.
	regions int
	// relay is further lines of the [relay] sections.
	relay string
}

// newSettingsWorld lays out relays and hosts with so many sidecars each, and starts them all.
func newSettingsWorld(t testing.TB, relays, hosts, each int) *settingsWorld {
	t.Helper()
	w := layOutSettings(t, settingsLayout{relays: relays, hosts: hosts, sidecarsPerHost: each})
	w.startRelays()
	w.startAll()
	return w
}

// newRegionalWorld has a region for each relay, with the hosts spread over them, and starts all.
func newRegionalWorld(t testing.TB, relays, hosts int) *settingsWorld {
	t.Helper()
	w := layOutSettings(t, settingsLayout{relays: relays, hosts: hosts, sidecarsPerHost: 1, regions: relays})
	w.startRelays()
	w.startAll()
	return w
}

// layOutSettings writes the configurations of relays and hosts; none of them runs yet.
// Instances have the labels of world and the service "even" or "odd" by their host's number.
func layOutSettings(t testing.TB, layout settingsLayout) *settingsWorld {
	t.Helper()
	w := &settingsWorld{world: newWorld(t, layout.hosts, layout.sidecarsPerHost), layout: layout, net: faultnet.New(1), links: make(map[string]*faultnet.Link)}
	t.Cleanup(w.net.Close)
	for n := range layout.relays {
		w.relays = append(w.relays, w.layRelay(n))
	}
	for n, relay := range w.relays {
		w.follow(relay, n, "[relay]\nsubscribers = 50\n"+layout.relay)
	}
	for n, h := range w.hosts {
		w.label(h, n)
		w.follow(h, n, "")
	}
	w.listRelays()
	w.operator = w.open("operator")
	t.Cleanup(w.operator.Close)
	w.admin = w.adminAddresses()
	t.Cleanup(func() {
		for _, relay := range w.relays {
			relay.kill()
		}
		if t.Failed() {
			w.logs()
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
	w.copied(distribution.Revision{}, w.relays...)
}

// serving waits until a host's sidecars answer with their figures.
func (w *settingsWorld) serving(hosts ...*host) {
	w.t.Helper()
	eventually(w.t, "sidecars that answer", func() bool {
		for _, name := range instances(hosts...) {
			if w.bodyLimit(name) == 0 {
				return false
			}
		}
		return true
	})
}

// region is that of the n-th relay or host, "" where there are none.
func (w *settingsWorld) region(n int) string {
	if w.layout.regions == 0 {
		return ""
	}
	return fmt.Sprintf("region-%d", n%w.layout.regions)
}

// layRelay writes the beginning of a relay's configuration.
func (w *settingsWorld) layRelay(n int) *host {
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

// socket is where an agent listens.
func (h *host) socket() string { return "unix:" + filepath.Join(filepath.Dir(h.config), "a") }

// follow appends the distribution to the configuration of the n-th relay or host, with a link
// to each relay. more is the [relay] section, "" for a host that subscribes.
func (w *settingsWorld) follow(h *host, n int, more string) {
	w.t.Helper()
	var text strings.Builder
	text.WriteString(more)
	fmt.Fprintf(&text, "[distribution]\nsubscribe = %v\nwriter = %q\ncoalesce = \"200ms\"\nregion = %q\n", more == "", w.writer().name, w.region(n))
	for r, relay := range w.relays {
		address := relay.socket()
		if relay != h {
			link, err := w.net.TCP(linkName(h, relay), relay.socket())
			if err != nil {
				w.t.Fatal(err)
			}
			w.links[linkName(h, relay)] = link
			address = "tcp:" + link.Addr()
		}
		fmt.Fprintf(&text, "[[distribution.relay]]\nname = %q\naddress = %q\nregion = %q\n", relay.name, address, w.region(r))
	}
	appendFile(w.t, h.config, text.String())
}

// label gives a host's instances a service.
func (w *settingsWorld) label(h *host, n int) {
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

// listRelays adds the relays to the inventory.
func (w *settingsWorld) listRelays() {
	w.t.Helper()
	var text strings.Builder
	for _, relay := range w.relays {
		fmt.Fprintf(&text, "[[host]]\nname = %q\naddress = %q\nlabels = {relay = \"true\"}\n", relay.name, relay.socket())
	}
	appendFile(w.t, w.inventoryPath, text.String())
}

func appendFile(t testing.TB, path, text string) {
	t.Helper()
	f, err := os.OpenFile(path, os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	if _, err := f.WriteString(text); err != nil {
		t.Fatal(err)
	}
}

// logs prints the end of each agent's log.
func (w *settingsWorld) logs() {
	for _, h := range slices.Concat(w.relays, w.hosts) {
		log, _ := os.ReadFile(h.config + ".log")
		w.t.Logf("%s: %s", h.name, log[max(0, len(log)-2000):])
	}
}

var adminForm = regexp.MustCompile(`"mgmt": "([^"]+)"`)

// adminAddresses reads where each sidecar's figures are from its configuration.
func (w *settingsWorld) adminAddresses() map[string]string {
	w.t.Helper()
	addresses := make(map[string]string)
	for _, h := range w.hosts {
		for _, name := range h.instances {
			text, err := os.ReadFile(filepath.Join(filepath.Dir(h.config), name+".json"))
			if err != nil {
				w.t.Fatal(err)
			}
			addresses[name] = string(adminForm.FindSubmatch(text)[1])
		}
	}
	return addresses
}

// memoryLimit returns an overlay that a sidecar takes over at SIGHUP, and bodyLimit what its own
// figures show then.
func memoryLimit(megabytes int) string { return fmt.Sprintf(`{"limits":{"memory_mb":%d}}`, megabytes) }

// instances are all sidecars of the hosts.
func instances(hosts ...*host) (names []string) {
	for _, h := range hosts {
		names = append(names, h.instances...)
	}
	return names
}

// publish makes a change by the command, and returns its revision.
func (w *settingsWorld) publish(name, content string, more ...string) distribution.Revision {
	w.t.Helper()
	file := filepath.Join(w.t.(interface{ TempDir() string }).TempDir(), "overlay.json")
	if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
		w.t.Fatal(err)
	}
	out, errs, code := w.command(append([]string{"change", "publish", name, "--file", file}, more...)...)
	if code != 0 {
		w.t.Fatalf("publish %s: exit %d: %s%s", name, code, out, errs)
	}
	var revision string
	if _, err := fmt.Sscanf(out, name+" is at revision %s", &revision); err != nil {
		w.t.Fatalf("publish %s: %s", name, out)
	}
	parsed, err := distribution.ParseRevision(strings.TrimSuffix(revision, ";"))
	if err != nil {
		w.t.Fatal(err)
	}
	return parsed
}

// setLinks sets a fault on the links from each asker to each relay.
func (w *settingsWorld) setLinks(askers, relays []*host, fault faultnet.Fault) {
	for _, asker := range askers {
		for _, relay := range relays {
			if asker != relay {
				w.link(asker, relay).Set(fault)
			}
		}
	}
}

// killSidecar kills the process of an instance and waits until another one runs.
func (w *settingsWorld) killSidecar(h *host, instance string) {
	w.t.Helper()
	before := w.inspect(h, instance).Instance.PID
	if err := syscall.Kill(before, syscall.SIGKILL); err != nil {
		w.t.Fatal(err)
	}
	eventually(w.t, "another process of "+instance, func() bool {
		now := w.inspect(h, instance).Instance
		return now.PID != 0 && now.PID != before && now.State == "ready"
	})
}
