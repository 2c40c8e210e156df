package capacity

import "strings"

// Measurement is a benchmark whose results the page shows. Its raw results are in
// results/NAME.txt.
type Measurement struct {
	Name      string   // also the name of the result file, without .txt
	Title     string   // shown on the page and by the collect command
	Package   string   // directory of the benchmark's package below the module's root; empty: the root
	Benchmark string   // name of the benchmark function
	Flags     []string // flags of `go test`, besides -run and -bench
	Cores     int      // GOMAXPROCS of the benchmark's own process; 0: all cores
	Metrics   []Metric
}

// Metric is one value that a measurement reports, and the size that it depends on.
type Metric struct {
	Name          string            // shown on the page; the estimates refer to the metric by it
	Unit          string            // unit in the raw results
	SizeParameter string            // parameter of the benchmark's name that holds the size
	Parameters    map[string]string // values of further parameters that a sample must have
	MinSize       float64           // samples with a smaller size are left out of the fit
	PageUnit      string            // unit on the page; empty: Unit
	Factor        float64           // what a value in Unit is multiplied by to get PageUnit; 0: 1
	NoFitReason   string            // why no curve is fitted to the metric; empty: one is fitted
}

// scale returns the factor from Unit to the unit on the page.
func (m Metric) scale() float64 {
	if m.Factor == 0 {
		return 1
	}
	return m.Factor
}

// pageUnit returns the unit in which the page shows the metric.
func (m Metric) pageUnit() string {
	if m.PageUnit == "" {
		return m.Unit
	}
	return m.PageUnit
}

// matches reports whether a sample has the values that the metric requires of its parameters.
func (m Metric) matches(sample Sample) bool {
	for key, value := range m.Parameters {
		if sample.Parameters[key] != value {
			return false
		}
	}
	return true
}

// MeasurementByName returns the measurement with this name, or nil if there is none.
func MeasurementByName(name string) *Measurement {
	for _, measurement := range Measurements {
		if measurement.Name == name {
			return measurement
		}
	}
	return nil
}

// Arguments returns the arguments of the go command that runs the benchmark.
func (m *Measurement) Arguments() []string {
	packagePath := "."
	if m.Package != "" {
		packagePath = "./" + m.Package
	}
	arguments := []string{"test", packagePath, "-run", "^$", "-bench", "^" + m.Benchmark + "$"}
	return append(arguments, m.Flags...)
}

// Command returns the command line that runs the benchmark, with its regular expressions in
// quotes for a shell.
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

// measurementCores is the GOMAXPROCS of most measurements. It leaves cores for other work that runs
// at the same time.
const measurementCores = 3

// The names of the measurements. They are also the names of the result files, without .txt.
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

// Factors from the units of raw results to the units of the page.
const (
	microsecondsPerSecond = 1e6
	millisecondsPerSecond = 1e3
	mebibytesPerByte      = 1.0 / (1 << 20)
)

// The parameters of the samples in which the server list does not change, or changes, during the
// measurement.
var (
	unchangedList = map[string]string{"changing": "false"}
	changingList  = map[string]string{"changing": "true"}
)

// Measurements are all measurements of the page, in the order in which it shows them.
var Measurements = []*Measurement{
	{
		Name: Decision, Title: "All decisions about one request, by servers on the list", Benchmark: "BenchmarkDecisionCapacity",
		Flags: []string{"-count", "5"}, Cores: measurementCores,
		Metrics: []Metric{{Name: "processor time", Unit: "sec/op", SizeParameter: "servers", PageUnit: "us", Factor: microsecondsPerSecond}},
	},
	{
		Name: ServerList, Title: "A whole server list taken by the decision module", Benchmark: "BenchmarkServerListCapacity",
		Flags: []string{"-count", "5"}, Cores: measurementCores,
		Metrics: []Metric{
			{Name: "processor time", Unit: "sec/op", SizeParameter: "servers", PageUnit: "ms", Factor: millisecondsPerSecond},
			{Name: "heap of a server", Unit: "heap-B/server", SizeParameter: "servers", MinSize: 300, PageUnit: "B"},
		},
	},
	{
		Name: CompleteList, Title: "A whole server list read, and taken by decisions and connection pool", Package: "internal/sidecar",
		Benchmark: "BenchmarkWholeListCapacity", Flags: []string{"-count", "5"}, Cores: measurementCores,
		Metrics: []Metric{
			{Name: "processor time", Unit: "sec/op", SizeParameter: "servers", PageUnit: "ms", Factor: millisecondsPerSecond},
			{Name: "heap of a server", Unit: "heap-B/server", SizeParameter: "servers", MinSize: 300, PageUnit: "B"},
			{Name: "bytes of a server on the wire", Unit: "wire-B/server", SizeParameter: "servers", MinSize: 300, PageUnit: "B"},
		},
	},
	{
		Name: RepeatedList, Title: "The same whole list taken once more", Package: "internal/sidecar",
		Benchmark: "BenchmarkRepeatedListCapacity", Flags: []string{"-count", "5"}, Cores: measurementCores,
		Metrics: []Metric{{Name: "processor time", Unit: "sec/op", SizeParameter: "servers", PageUnit: "ms", Factor: millisecondsPerSecond}},
	},
	{
		Name: ListChange, Title: "One changed server read, and taken by decisions and connection pool", Package: "internal/sidecar",
		Benchmark: "BenchmarkListChangeCapacity", Flags: []string{"-count", "5"}, Cores: measurementCores,
		Metrics: []Metric{
			{Name: "processor time", Unit: "sec/op", SizeParameter: "servers", PageUnit: "us", Factor: microsecondsPerSecond},
			{Name: "bytes on the wire", Unit: "wire-B/change", SizeParameter: "servers", PageUnit: "B"},
		},
	},
	{
		Name: SidecarList, Title: "A sidecar process without traffic, by servers on its list; `changing`: ten changes a second",
		Package: "internal/fleet/e2e", Benchmark: "BenchmarkSidecarListCapacity",
		Flags: []string{"-benchtime", "1x", "-count", "3", "-timeout", "60m"}, Cores: measurementCores,
		Metrics: []Metric{
			{Name: "processor time at rest", Unit: "sidecar-%core", SizeParameter: "servers", Parameters: unchangedList, PageUnit: "% of a core"},
			{Name: "processor time at ten changes a second", Unit: "sidecar-%core", SizeParameter: "servers", Parameters: changingList, PageUnit: "% of a core"},
			{Name: "resident memory", Unit: "sidecar-MiB", SizeParameter: "servers", Parameters: unchangedList, PageUnit: "MiB"},
			{Name: "descriptors", Unit: "sidecar-descriptors", SizeParameter: "servers", Parameters: unchangedList, PageUnit: "descriptors"},
		},
	},
	{
		Name: Chain, Title: "A chain of seven sidecars at 62 calls a second, by servers on their lists", Package: "internal/fleet/e2e",
		Benchmark: "BenchmarkChainCapacity", Flags: []string{"-benchtime", "1x", "-count", "3", "-timeout", "60m", "-chain-servers", "30,300,3000,21000"},
		Cores: measurementCores,
		Metrics: []Metric{
			{Name: "median, through sidecars", Unit: "sidecars-p50-ms", SizeParameter: "servers", PageUnit: "ms"},
			{Name: "99th percentile, through sidecars", Unit: "sidecars-p99-ms", SizeParameter: "servers", PageUnit: "ms"},
			{Name: "median, direct", Unit: "direct-p50-ms", SizeParameter: "servers", PageUnit: "ms"},
			{Name: "99th percentile, direct", Unit: "direct-p99-ms", SizeParameter: "servers", PageUnit: "ms"},
			{Name: "difference of the 99th percentiles", Unit: "added-p99-ms", SizeParameter: "servers", PageUnit: "ms"},
			{Name: "calls that reach the last server, for each made", Unit: "runs/call", SizeParameter: "servers", PageUnit: "calls"},
			{Name: "resident memory of a sidecar", Unit: "sidecar-MiB", SizeParameter: "servers", PageUnit: "MiB"},
			{Name: "processor time of a sidecar", Unit: "sidecar-%core", SizeParameter: "servers", PageUnit: "% of a core"},
			{Name: "descriptors of a sidecar", Unit: "sidecar-descriptors", SizeParameter: "servers", MinSize: 300, PageUnit: "descriptors"},
		},
	},
	{
		Name: CallRate, Title: "One sidecar with 300 servers on its list, by calls a second", Package: "internal/fleet/e2e",
		Benchmark: "BenchmarkCallRateCapacity", Flags: []string{"-benchtime", "1x", "-count", "3", "-timeout", "60m", "-chain-window", "30s"},
		Cores: measurementCores,
		Metrics: []Metric{
			{Name: "difference of the 99th percentiles", Unit: "added-p99-ms", SizeParameter: "rate", PageUnit: "ms"},
			{Name: "processor time", Unit: "sidecar-%core", SizeParameter: "rate", PageUnit: "% of a core"},
			{Name: "resident memory", Unit: "sidecar-MiB", SizeParameter: "rate", PageUnit: "MiB"},
			{Name: "descriptors", Unit: "sidecar-descriptors", SizeParameter: "rate", PageUnit: "descriptors"},
		},
	},
	{
		Name: Membership, Title: "All sidecars start at once: simulated time until nine in ten know 99 in 100 of the others",
		Package: "internal/fleetsim", Benchmark: "BenchmarkMembershipCapacity",
		Flags: []string{"-benchtime", "1x", "-timeout", "60m", "-capacity-sizes", "50,100,150,200,300,400,600", "-capacity-seeds", "2"},
		Cores: measurementCores,
		Metrics: []Metric{
			{Name: "time to converge", Unit: "s-to-converge", SizeParameter: "size", MinSize: 300, PageUnit: "s"},
			{Name: "bytes a second and sidecar", Unit: "sent-B/s", SizeParameter: "size", MinSize: 300, PageUnit: "B/s"},
			{Name: "processor time a second and sidecar", Unit: "cpu-us/s", SizeParameter: "size", MinSize: 300, PageUnit: "us/s"},
		},
	},
	{
		Name: MembershipChange, Title: "Changes in a membership that has converged: simulated time until nine in ten know",
		Package: "internal/fleetsim", Benchmark: "BenchmarkMembershipChangeCapacity",
		Flags: []string{"-benchtime", "1x", "-timeout", "60m", "-capacity-sizes", "50,100,150,200,300,400,600", "-capacity-seeds", "3", "-capacity-limit", "30m"},
		Cores: measurementCores,
		Metrics: []Metric{
			{Name: "one restart", Unit: "s-restart", SizeParameter: "size", PageUnit: "s"},
			{Name: "a zone (one in 27) lost", Unit: "s-zone-lost", SizeParameter: "size", PageUnit: "s"},
			{Name: "the zone back", Unit: "s-zone-returned", SizeParameter: "size", PageUnit: "s", NoFitReason: "it jumps where the news of a zone don't fit into one round"},
		},
	},
	{
		Name: MembershipMemory, Title: "Heap of one membership node that knows of nobody yet", Package: "internal/fleetsim",
		Benchmark: "BenchmarkMemberCapacity", Flags: []string{"-benchtime", "1x", "-count", "3"}, Cores: measurementCores,
		Metrics: []Metric{{Name: "heap of a node", Unit: "heap-B/node", SizeParameter: "size", PageUnit: "B"}},
	},
	{
		Name: Agent, Title: "An agent and its sidecars at rest, by sidecars", Package: "internal/fleet/e2e", Benchmark: "BenchmarkAgentCapacity",
		Flags: []string{"-benchtime", "1x", "-count", "3", "-timeout", "60m"}, Cores: measurementCores,
		Metrics: []Metric{
			{Name: "processor time of the agent", Unit: "agent-%core", SizeParameter: "sidecars", PageUnit: "% of a core"},
			{Name: "resident memory of the agent", Unit: "agent-MiB", SizeParameter: "sidecars", PageUnit: "MiB"},
			{Name: "descriptors of the agent", Unit: "agent-descriptors", SizeParameter: "sidecars", PageUnit: "descriptors"},
			{Name: "processor time of a sidecar", Unit: "sidecar-%core", SizeParameter: "sidecars", PageUnit: "% of a core"},
			{Name: "resident memory of a sidecar", Unit: "sidecar-MiB", SizeParameter: "sidecars", PageUnit: "MiB"},
		},
	},
	{
		Name: SettingsChange, Title: "An agent with one sidecar, by reloads a minute", Package: "internal/fleet/e2e",
		Benchmark: "BenchmarkSettingsChangeCapacity", Flags: []string{"-benchtime", "1x", "-count", "2", "-timeout", "60m", "-capacity-window", "1m"},
		Cores: measurementCores,
		Metrics: []Metric{
			{Name: "processor time of the agent", Unit: "agent-%core", SizeParameter: "changes", PageUnit: "% of a core"},
			{Name: "processor time of the sidecar", Unit: "sidecar-%core", SizeParameter: "changes", PageUnit: "% of a core"},
			{Name: "resident memory of the agent", Unit: "agent-MiB", SizeParameter: "changes", PageUnit: "MiB"},
		},
	},
	{
		Name: CommandReload, Title: "One command reloads one instance on each host, by hosts", Package: "internal/fleet/e2e",
		Benchmark: "BenchmarkReloadCapacity", Flags: []string{"-benchtime", "1x", "-count", "3", "-timeout", "60m", "-capacity-hosts", "50,100,200,400,800,1600"},
		Cores: measurementCores,
		Metrics: []Metric{
			{Name: "elapsed time", Unit: "s-elapsed", SizeParameter: "hosts", PageUnit: "s"},
			{Name: "processor time of the command", Unit: "s-cpu", SizeParameter: "hosts", PageUnit: "s"},
			{Name: "peak memory of the command", Unit: "MiB-peak", SizeParameter: "hosts", PageUnit: "MiB"},
			{Name: "descriptors of the command", Unit: "descriptors", SizeParameter: "hosts"},
		},
	},
	{
		Name: CommandList, Title: "One command asks all agents for their instances, by hosts", Package: "internal/fleet/e2e",
		Benchmark: "BenchmarkListCapacity", Flags: []string{"-benchtime", "1x", "-count", "5", "-timeout", "60m", "-capacity-hosts", "50,100,200,400,800"},
		Cores: measurementCores,
		Metrics: []Metric{
			{Name: "elapsed time", Unit: "s-elapsed", SizeParameter: "hosts", PageUnit: "s"},
			{Name: "processor time of the command", Unit: "s-cpu", SizeParameter: "hosts", PageUnit: "s"},
			{Name: "peak memory of the command", Unit: "MiB-peak", SizeParameter: "hosts", PageUnit: "MiB"},
			{Name: "descriptors of the command", Unit: "descriptors", SizeParameter: "hosts"},
		},
	},
	{
		Name: CommandBytes, Title: "Bytes of one reload command to and from each host, by hosts", Package: "internal/fleet/e2e",
		Benchmark: "BenchmarkReloadBytesCapacity", Flags: []string{"-benchtime", "1x", "-count", "3", "-timeout", "60m", "-capacity-hosts", "25,50,100,200,400"},
		Cores: measurementCores,
		Metrics: []Metric{
			{Name: "sent to a host", Unit: "sent-B/host", SizeParameter: "hosts", PageUnit: "B"},
			{Name: "received from a host", Unit: "received-B/host", SizeParameter: "hosts", PageUnit: "B"},
		},
	},
	{
		Name: Keys, Title: "The record of keys in SQLite, by keys", Package: "internal/idempotency/sqlite", Benchmark: "BenchmarkKeysCapacity",
		Flags: []string{"-benchtime", "200x", "-count", "3", "-timeout", "60m"}, Cores: measurementCores,
		Metrics: []Metric{
			{Name: "file bytes of a key", Unit: "file-B/key", SizeParameter: "keys", PageUnit: "B"},
			{Name: "one key's three commits", Unit: "sec/op", SizeParameter: "keys", PageUnit: "ms", Factor: millisecondsPerSecond},
			{Name: "time to open", Unit: "ms-to-open", SizeParameter: "keys", PageUnit: "ms"},
		},
	},
	{
		Name: PowerReturn, Title: "Return from a loss of power in the model, by sidecars; `share`: sidecars tell each other",
		Package: "internal/fleetsim", Benchmark: "BenchmarkReturnCapacity",
		Flags: []string{"-benchtime", "1x", "-timeout", "60m", "-capacity-sizes", "75,150,300,600", "-capacity-seeds", "3"}, Cores: measurementCores,
		Metrics: []Metric{
			{Name: "nine tenths of the worth served, alone", Unit: "s-to-nine-tenths", SizeParameter: "size", Parameters: map[string]string{"share": "false"}, PageUnit: "s"},
			{Name: "nine tenths of the worth served, sharing", Unit: "s-to-nine-tenths", SizeParameter: "size", Parameters: map[string]string{"share": "true"}, PageUnit: "s"},
			{Name: "bytes a second and sidecar, sharing", Unit: "sent-B/s", SizeParameter: "size", Parameters: map[string]string{"share": "true"}, PageUnit: "B/s"},
		},
	},
	{
		Name: Distribution, Title: "Settings by a writer and 16 relays, by subscribers", Package: "internal/hollow", Benchmark: "BenchmarkDistribution",
		Metrics: []Metric{
			{Name: "change for all, 999 in 1,000", Unit: "s-999", SizeParameter: "subscribers", Parameters: caseParameter("change-all"), PageUnit: "s"},
			{Name: "change for all, all", Unit: "s-all", SizeParameter: "subscribers", Parameters: caseParameter("change-all"), PageUnit: "s"},
			{Name: "change for all, known at the writer", Unit: "s-known", SizeParameter: "subscribers", Parameters: caseParameter("change-all"), PageUnit: "s"},
			{Name: "change for one service, all", Unit: "s-all", SizeParameter: "subscribers", Parameters: caseParameter("change-service"), PageUnit: "s"},
			{Name: "ten times the rate, worst, all", Unit: "worst-s-all", SizeParameter: "subscribers", Parameters: caseParameter("rate-tenfold"), PageUnit: "s"},
			{Name: "two relays killed, worst, all", Unit: "worst-s-all", SizeParameter: "subscribers", Parameters: caseParameter("relays-killed"), PageUnit: "s"},
			{Name: "a ninth back after a cut, all", Unit: "s-all-after-return", SizeParameter: "subscribers", Parameters: caseParameter("region-cut"), PageUnit: "s"},
			{Name: "all start at once, all", Unit: "s-all", SizeParameter: "subscribers", Parameters: caseParameter("start"), PageUnit: "s"},
			{Name: "after a loss of power, all", Unit: "s-all", SizeParameter: "subscribers", Parameters: caseParameter("power-loss"), PageUnit: "s"},
			{Name: "received by a subscriber at rest", Unit: "received-B/s", SizeParameter: "subscribers", Parameters: caseParameter("rest-subscriber"), PageUnit: "B/s"},
			{Name: "sent by a subscriber at rest", Unit: "sent-B/s", SizeParameter: "subscribers", Parameters: caseParameter("rest-subscriber"), PageUnit: "B/s"},
			{Name: "received by a subscriber at ten times the rate", Unit: "received-B/s", SizeParameter: "subscribers", Parameters: caseParameter("rate-tenfold-subscriber"), PageUnit: "B/s"},
			{Name: "processor time of a subscriber at ten times the rate", Unit: "%core", SizeParameter: "subscribers", Parameters: caseParameter("rate-tenfold-subscriber"), PageUnit: "% of a core"},
			{Name: "memory of a subscriber", Unit: "resident-B", SizeParameter: "subscribers", Parameters: caseParameter("rest-subscriber"), PageUnit: "MiB", Factor: mebibytesPerByte},
			{Name: "processor time of the busiest relay at ten times the rate", Unit: "max-%core", SizeParameter: "subscribers", Parameters: caseParameter("rate-tenfold-relay"), PageUnit: "% of a core"},
			{Name: "memory of the largest relay at ten times the rate", Unit: "max-resident-B", SizeParameter: "subscribers", Parameters: caseParameter("rate-tenfold-relay"), PageUnit: "MiB", Factor: mebibytesPerByte},
			{Name: "descriptors of the fullest relay", Unit: "max-descriptors", SizeParameter: "subscribers", Parameters: caseParameter("rest-relay"), PageUnit: "descriptors"},
		},
	},
}

// caseParameter returns the parameters of the samples of one case of the scale test of the
// distribution.
func caseParameter(name string) map[string]string { return map[string]string{"case": name} }
