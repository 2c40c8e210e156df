package capacity

import "strings"

// Measurement is a benchmark that is run for the page. Its raw results are in
// results/NAME.txt.
type Measurement struct {
	Name    string
	Title   string
	Package string   // of the benchmark, below the module's root
	Bench   string   // the benchmark's name
	Flags   []string // of `go test`, besides -run and -bench
	Cores   int      // GOMAXPROCS of the benchmark's own process; 0: all
	Metrics []Metric
}

// Metric is one value of a measurement and the size that it depends on.
type Metric struct {
	Name   string
	Unit   string            // of the raw results
	Size   string            // the parameter of the benchmark's name that is the size
	Only   map[string]string // other parameters that a result must have
	From   float64           // smaller sizes are left out of the fit
	Shown  string            // unit that the page shows; empty: Unit
	Factor float64           // from Unit to Shown; 0: 1
	NoFit  string            // why no curve is drawn through it; empty: one is
}

func (m Metric) scale() float64 {
	if m.Factor == 0 {
		return 1
	}
	return m.Factor
}

// unit is what the page shows.
func (m Metric) unit() string {
	if m.Shown == "" {
		return m.Unit
	}
	return m.Shown
}

// fits reports whether a sample has the metric's other parameters.
func (m Metric) fits(sample Sample) bool {
	for key, value := range m.Only {
		if sample.Parameters[key] != value {
			return false
		}
	}
	return true
}

// MeasurementByName returns a measurement of the page, nil if there is none of that name.
func MeasurementByName(name string) *Measurement {
	for _, measurement := range Measurements {
		if measurement.Name == name {
			return measurement
		}
	}
	return nil
}

// Arguments returns those of the go command that runs the benchmark.
func (m *Measurement) Arguments() []string {
	target := "."
	if m.Package != "" {
		target = "./" + m.Package
	}
	arguments := []string{"test", target, "-run", "^$", "-bench", "^" + m.Bench + "$"}
	return append(arguments, m.Flags...)
}

// Command returns the command line that runs the benchmark.
func (m *Measurement) Command() string {
	words := []string{"go"}
	if m.Cores > 0 {
		words = []string{"GOMAXPROCS=" + formatNumber(float64(m.Cores)), "go"}
	}
	for _, word := range m.Arguments() {
		if strings.ContainsAny(word, "^$") {
			word = "'" + word + "'"
		}
		words = append(words, word)
	}
	return strings.Join(words, " ")
}

// measurementCores bounds the processor time of most measurements, so that they can run
// together with other work.
const measurementCores = 3

// The names of the measurements, which are those of their files.
const (
	Decision         = "decision"
	ServerList       = "server-list"
	CompleteList     = "whole-list"
	RepeatedList     = "repeated-list"
	ListChange       = "list-change"
	SidecarList      = "sidecar-list"
	Chain            = "chain"
	CallRate         = "call-rate"
	Membership       = "membership"
	MembershipChange = "membership-change"
	MembershipMemory = "membership-memory"
	Agent            = "agent"
	SettingsChange   = "settings-change"
	CommandReload    = "command-reload"
	CommandList      = "command-list"
	CommandBytes     = "command-bytes"
	Keys             = "keys"
	PowerReturn      = "power-return"
	Distribution     = "distribution"
)

// What seconds, the unit of Go's results, are multiplied by to be shown.
const (
	microseconds = 1e6
	milliseconds = 1e3
	mebibytes    = 1.0 / (1 << 20) // from bytes
)

var (
	notChanging = map[string]string{"changing": "false"}
	changing    = map[string]string{"changing": "true"}
)

// Measurements are all that the page shows, in its order.
var Measurements = []*Measurement{
	{
		Name: Decision, Title: "All decisions about one request, by servers on the list", Bench: "BenchmarkDecisionCapacity",
		Flags: []string{"-count", "5"}, Cores: measurementCores,
		Metrics: []Metric{{Name: "processor time", Unit: "sec/op", Size: "servers", Shown: "us", Factor: microseconds}},
	},
	{
		Name: ServerList, Title: "A whole server list taken by the decision module", Bench: "BenchmarkServerListCapacity",
		Flags: []string{"-count", "5"}, Cores: measurementCores,
		Metrics: []Metric{
			{Name: "processor time", Unit: "sec/op", Size: "servers", Shown: "ms", Factor: milliseconds},
			{Name: "heap of a server", Unit: "heap-B/server", Size: "servers", From: 300, Shown: "B"},
		},
	},
	{
		Name: CompleteList, Title: "A whole server list read, and taken by decisions and connection pool", Package: "internal/sidecar",
		Bench: "BenchmarkWholeListCapacity", Flags: []string{"-count", "5"}, Cores: measurementCores,
		Metrics: []Metric{
			{Name: "processor time", Unit: "sec/op", Size: "servers", Shown: "ms", Factor: milliseconds},
			{Name: "heap of a server", Unit: "heap-B/server", Size: "servers", From: 300, Shown: "B"},
			{Name: "bytes of a server on the wire", Unit: "wire-B/server", Size: "servers", From: 300, Shown: "B"},
		},
	},
	{
		Name: RepeatedList, Title: "The same whole list taken once more", Package: "internal/sidecar",
		Bench: "BenchmarkRepeatedListCapacity", Flags: []string{"-count", "5"}, Cores: measurementCores,
		Metrics: []Metric{{Name: "processor time", Unit: "sec/op", Size: "servers", Shown: "ms", Factor: milliseconds}},
	},
	{
		Name: ListChange, Title: "One changed server read, and taken by decisions and connection pool", Package: "internal/sidecar",
		Bench: "BenchmarkListChangeCapacity", Flags: []string{"-count", "5"}, Cores: measurementCores,
		Metrics: []Metric{
			{Name: "processor time", Unit: "sec/op", Size: "servers", Shown: "us", Factor: microseconds},
			{Name: "bytes on the wire", Unit: "wire-B/change", Size: "servers", Shown: "B"},
		},
	},
	{
		Name: SidecarList, Title: "A sidecar process without traffic, by servers on its list; `changing`: ten changes a second",
		Package: "internal/fleet/e2e", Bench: "BenchmarkSidecarListCapacity",
		Flags: []string{"-benchtime", "1x", "-count", "3", "-timeout", "60m"}, Cores: measurementCores,
		Metrics: []Metric{
			{Name: "processor time at rest", Unit: "sidecar-%core", Size: "servers", Only: notChanging, Shown: "% of a core"},
			{Name: "processor time at ten changes a second", Unit: "sidecar-%core", Size: "servers", Only: changing, Shown: "% of a core"},
			{Name: "resident memory", Unit: "sidecar-MiB", Size: "servers", Only: notChanging, Shown: "MiB"},
			{Name: "descriptors", Unit: "sidecar-descriptors", Size: "servers", Only: notChanging, Shown: "descriptors"},
		},
	},
	{
		Name: Chain, Title: "A chain of seven sidecars at 62 calls a second, by servers on their lists", Package: "internal/fleet/e2e",
		Bench: "BenchmarkChainCapacity", Flags: []string{"-benchtime", "1x", "-count", "3", "-timeout", "60m", "-chain-servers", "30,300,3000,21000"},
		Cores: measurementCores,
		Metrics: []Metric{
			{Name: "median, through sidecars", Unit: "sidecars-p50-ms", Size: "servers", Shown: "ms"},
			{Name: "99th percentile, through sidecars", Unit: "sidecars-p99-ms", Size: "servers", Shown: "ms"},
			{Name: "median, direct", Unit: "direct-p50-ms", Size: "servers", Shown: "ms"},
			{Name: "99th percentile, direct", Unit: "direct-p99-ms", Size: "servers", Shown: "ms"},
			{Name: "difference of the 99th percentiles", Unit: "added-p99-ms", Size: "servers", Shown: "ms"},
			{Name: "calls that reach the last server, for each made", Unit: "runs/call", Size: "servers", Shown: "calls"},
			{Name: "resident memory of a sidecar", Unit: "sidecar-MiB", Size: "servers", Shown: "MiB"},
			{Name: "processor time of a sidecar", Unit: "sidecar-%core", Size: "servers", Shown: "% of a core"},
			{Name: "descriptors of a sidecar", Unit: "sidecar-descriptors", Size: "servers", From: 300, Shown: "descriptors"},
		},
	},
	{
		Name: CallRate, Title: "One sidecar with 300 servers on its list, by calls a second", Package: "internal/fleet/e2e",
		Bench: "BenchmarkCallRateCapacity", Flags: []string{"-benchtime", "1x", "-count", "3", "-timeout", "60m", "-chain-window", "30s"},
		Cores: measurementCores,
		Metrics: []Metric{
			{Name: "difference of the 99th percentiles", Unit: "added-p99-ms", Size: "rate", Shown: "ms"},
			{Name: "processor time", Unit: "sidecar-%core", Size: "rate", Shown: "% of a core"},
			{Name: "resident memory", Unit: "sidecar-MiB", Size: "rate", Shown: "MiB"},
			{Name: "descriptors", Unit: "sidecar-descriptors", Size: "rate", Shown: "descriptors"},
		},
	},
	{
		Name: Membership, Title: "All sidecars start at once: simulated time until nine in ten know 99 in 100 of the others",
		Package: "internal/fleetsim", Bench: "BenchmarkMembershipCapacity",
		Flags: []string{"-benchtime", "1x", "-timeout", "60m", "-capacity-sizes", "50,100,150,200,300,400,600", "-capacity-seeds", "2"},
		Cores: measurementCores,
		Metrics: []Metric{
			{Name: "time to converge", Unit: "s-to-converge", Size: "size", From: 300, Shown: "s"},
			{Name: "bytes a second and sidecar", Unit: "sent-B/s", Size: "size", From: 300, Shown: "B/s"},
			{Name: "processor time a second and sidecar", Unit: "cpu-us/s", Size: "size", From: 300, Shown: "us/s"},
		},
	},
	{
		Name: MembershipChange, Title: "Changes in a membership that has converged: simulated time until nine in ten know",
		Package: "internal/fleetsim", Bench: "BenchmarkMembershipChangeCapacity",
		Flags: []string{"-benchtime", "1x", "-timeout", "60m", "-capacity-sizes", "50,100,150,200,300,400,600", "-capacity-seeds", "3", "-capacity-limit", "30m"},
		Cores: measurementCores,
		Metrics: []Metric{
			{Name: "one restart", Unit: "s-restart", Size: "size", Shown: "s"},
			{Name: "a zone (one in 27) lost", Unit: "s-zone-lost", Size: "size", Shown: "s"},
			{Name: "the zone back", Unit: "s-zone-returned", Size: "size", Shown: "s", NoFit: "it jumps where the news of a zone don't fit into one round"},
		},
	},
	{
		Name: MembershipMemory, Title: "Heap of one membership node that knows of nobody yet", Package: "internal/fleetsim",
		Bench: "BenchmarkMemberCapacity", Flags: []string{"-benchtime", "1x", "-count", "3"}, Cores: measurementCores,
		Metrics: []Metric{{Name: "heap of a node", Unit: "heap-B/node", Size: "size", Shown: "B"}},
	},
	{
		Name: Agent, Title: "An agent and its sidecars at rest, by sidecars", Package: "internal/fleet/e2e", Bench: "BenchmarkAgentCapacity",
		Flags: []string{"-benchtime", "1x", "-count", "3", "-timeout", "60m"}, Cores: measurementCores,
		Metrics: []Metric{
			{Name: "processor time of the agent", Unit: "agent-%core", Size: "sidecars", Shown: "% of a core"},
			{Name: "resident memory of the agent", Unit: "agent-MiB", Size: "sidecars", Shown: "MiB"},
			{Name: "descriptors of the agent", Unit: "agent-descriptors", Size: "sidecars", Shown: "descriptors"},
			{Name: "processor time of a sidecar", Unit: "sidecar-%core", Size: "sidecars", Shown: "% of a core"},
			{Name: "resident memory of a sidecar", Unit: "sidecar-MiB", Size: "sidecars", Shown: "MiB"},
		},
	},
	{
		Name: SettingsChange, Title: "An agent with one sidecar, by reloads a minute", Package: "internal/fleet/e2e",
		Bench: "BenchmarkSettingsChangeCapacity", Flags: []string{"-benchtime", "1x", "-count", "2", "-timeout", "60m", "-capacity-window", "1m"},
		Cores: measurementCores,
		Metrics: []Metric{
			{Name: "processor time of the agent", Unit: "agent-%core", Size: "changes", Shown: "% of a core"},
			{Name: "processor time of the sidecar", Unit: "sidecar-%core", Size: "changes", Shown: "% of a core"},
			{Name: "resident memory of the agent", Unit: "agent-MiB", Size: "changes", Shown: "MiB"},
		},
	},
	{
		Name: CommandReload, Title: "One command reloads one instance on each host, by hosts", Package: "internal/fleet/e2e",
		Bench: "BenchmarkReloadCapacity", Flags: []string{"-benchtime", "1x", "-count", "3", "-timeout", "60m", "-capacity-hosts", "50,100,200,400,800,1600"},
		Cores: measurementCores,
		Metrics: []Metric{
			{Name: "elapsed time", Unit: "s-elapsed", Size: "hosts", Shown: "s"},
			{Name: "processor time of the command", Unit: "s-cpu", Size: "hosts", Shown: "s"},
			{Name: "peak memory of the command", Unit: "MiB-peak", Size: "hosts", Shown: "MiB"},
			{Name: "descriptors of the command", Unit: "descriptors", Size: "hosts"},
		},
	},
	{
		Name: CommandList, Title: "One command asks all agents for their instances, by hosts", Package: "internal/fleet/e2e",
		Bench: "BenchmarkListCapacity", Flags: []string{"-benchtime", "1x", "-count", "5", "-timeout", "60m", "-capacity-hosts", "50,100,200,400,800"},
		Cores: measurementCores,
		Metrics: []Metric{
			{Name: "elapsed time", Unit: "s-elapsed", Size: "hosts", Shown: "s"},
			{Name: "processor time of the command", Unit: "s-cpu", Size: "hosts", Shown: "s"},
			{Name: "peak memory of the command", Unit: "MiB-peak", Size: "hosts", Shown: "MiB"},
			{Name: "descriptors of the command", Unit: "descriptors", Size: "hosts"},
		},
	},
	{
		Name: CommandBytes, Title: "Bytes of one reload command to and from each host, by hosts", Package: "internal/fleet/e2e",
		Bench: "BenchmarkReloadBytesCapacity", Flags: []string{"-benchtime", "1x", "-count", "3", "-timeout", "60m", "-capacity-hosts", "25,50,100,200,400"},
		Cores: measurementCores,
		Metrics: []Metric{
			{Name: "sent to a host", Unit: "sent-B/host", Size: "hosts", Shown: "B"},
			{Name: "received from a host", Unit: "received-B/host", Size: "hosts", Shown: "B"},
		},
	},
	{
		Name: Keys, Title: "The record of keys in SQLite, by keys", Package: "internal/idempotency/sqlite", Bench: "BenchmarkKeysCapacity",
		Flags: []string{"-benchtime", "200x", "-count", "3", "-timeout", "60m"}, Cores: measurementCores,
		Metrics: []Metric{
			{Name: "file bytes of a key", Unit: "file-B/key", Size: "keys", Shown: "B"},
			{Name: "one key's three commits", Unit: "sec/op", Size: "keys", Shown: "ms", Factor: milliseconds},
			{Name: "time to open", Unit: "ms-to-open", Size: "keys", Shown: "ms"},
		},
	},
	{
		Name: PowerReturn, Title: "Return from a loss of power in the model, by sidecars; `share`: sidecars tell each other",
		Package: "internal/fleetsim", Bench: "BenchmarkReturnCapacity",
		Flags: []string{"-benchtime", "1x", "-timeout", "60m", "-capacity-sizes", "75,150,300,600", "-capacity-seeds", "3"}, Cores: measurementCores,
		Metrics: []Metric{
			{Name: "nine tenths of the worth served, alone", Unit: "s-to-nine-tenths", Size: "size", Only: map[string]string{"share": "false"}, Shown: "s"},
			{Name: "nine tenths of the worth served, sharing", Unit: "s-to-nine-tenths", Size: "size", Only: map[string]string{"share": "true"}, Shown: "s"},
			{Name: "bytes a second and sidecar, sharing", Unit: "sent-B/s", Size: "size", Only: map[string]string{"share": "true"}, Shown: "B/s"},
		},
	},
	{
		Name: Distribution, Title: "Settings by a writer and 16 relays, by subscribers", Package: "internal/hollow", Bench: "BenchmarkDistribution",
		Metrics: []Metric{
			{Name: "change for all, 999 in 1,000", Unit: "s-999", Size: "subscribers", Only: inCase("change-all"), Shown: "s"},
			{Name: "change for all, all", Unit: "s-all", Size: "subscribers", Only: inCase("change-all"), Shown: "s"},
			{Name: "change for all, known at the writer", Unit: "s-known", Size: "subscribers", Only: inCase("change-all"), Shown: "s"},
			{Name: "change for one service, all", Unit: "s-all", Size: "subscribers", Only: inCase("change-service"), Shown: "s"},
			{Name: "ten times the rate, worst, all", Unit: "worst-s-all", Size: "subscribers", Only: inCase("rate-tenfold"), Shown: "s"},
			{Name: "two relays killed, worst, all", Unit: "worst-s-all", Size: "subscribers", Only: inCase("relays-killed"), Shown: "s"},
			{Name: "a ninth back after a cut, all", Unit: "s-all-after-return", Size: "subscribers", Only: inCase("region-cut"), Shown: "s"},
			{Name: "all start at once, all", Unit: "s-all", Size: "subscribers", Only: inCase("start"), Shown: "s"},
			{Name: "after a loss of power, all", Unit: "s-all", Size: "subscribers", Only: inCase("power-loss"), Shown: "s"},
			{Name: "received by a subscriber at rest", Unit: "received-B/s", Size: "subscribers", Only: inCase("rest-subscriber"), Shown: "B/s"},
			{Name: "sent by a subscriber at rest", Unit: "sent-B/s", Size: "subscribers", Only: inCase("rest-subscriber"), Shown: "B/s"},
			{Name: "received by a subscriber at ten times the rate", Unit: "received-B/s", Size: "subscribers", Only: inCase("rate-tenfold-subscriber"), Shown: "B/s"},
			{Name: "processor time of a subscriber at ten times the rate", Unit: "%core", Size: "subscribers", Only: inCase("rate-tenfold-subscriber"), Shown: "% of a core"},
			{Name: "memory of a subscriber", Unit: "resident-B", Size: "subscribers", Only: inCase("rest-subscriber"), Shown: "MiB", Factor: mebibytes},
			{Name: "processor time of the busiest relay at ten times the rate", Unit: "max-%core", Size: "subscribers", Only: inCase("rate-tenfold-relay"), Shown: "% of a core"},
			{Name: "memory of the largest relay at ten times the rate", Unit: "max-resident-B", Size: "subscribers", Only: inCase("rate-tenfold-relay"), Shown: "MiB", Factor: mebibytes},
			{Name: "descriptors of the fullest relay", Unit: "max-descriptors", Size: "subscribers", Only: inCase("rest-relay"), Shown: "descriptors"},
		},
	},
}

// inCase are the parameters of a case of the scale test.
func inCase(name string) map[string]string { return map[string]string{"case": name} }
