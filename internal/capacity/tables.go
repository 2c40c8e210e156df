package capacity

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// Tables makes the tables of the page from raw results. It is not safe for concurrent use.
type Tables struct {
	results Results
	curves  *curves
	cache   map[string]string // tables that have been made, by their names
}

// NewTables returns the tables of these results. Make makes a table when it is first asked for it.
func NewTables(results Results) *Tables {
	return &Tables{results: results, curves: newCurves(results), cache: make(map[string]string)}
}

// TableError says why a table can't be made.
type TableError struct {
	Table  string
	Reason string
}

// Error implements error.
func (e *TableError) Error() string { return fmt.Sprintf("capacity: table %q: %s", e.Table, e.Reason) }

// Advice returns what a maintainer can do about the error.
func (e *TableError) Advice() string {
	return "use a table name that internal/capacity/tables.go knows, or collect the missing results"
}

// Make returns the table with a name, in Markdown. The name is "needs", "services", "days",
// "mechanisms", "role NAME", "raw MEASUREMENT" or "fits MEASUREMENT". Make returns an error if the
// name is unknown, or if results that the table needs are missing or can't be fitted.
func (t *Tables) Make(name string) (string, error) {
	if table, cached := t.cache[name]; cached {
		return table, nil
	}
	table, err := t.make(name)
	if err == nil {
		t.cache[name] = table
	}
	return table, err
}

// make makes a table, without the cache.
func (t *Tables) make(name string) (string, error) {
	kind, argument, _ := strings.Cut(name, " ")
	switch kind {
	case "needs":
		return needsTable(), nil
	case "services":
		return servicesTable(), nil
	case "days":
		table := daysTable(t.curves)
		return table, t.curves.err
	case "mechanisms":
		table := mechanismsTable(mechanisms(t.curves))
		return table, t.curves.err
	case "role":
		return t.role(argument)
	case "raw":
		return t.raw(argument)
	case "fits":
		return t.fits(argument)
	}
	return "", &TableError{name, "unknown kind of table"}
}

// markdown builds a table in Markdown.
type markdown struct{ text strings.Builder }

// addLine adds a row.
func (m *markdown) addLine(cells ...string) {
	m.text.WriteString("| " + strings.Join(cells, " | ") + " |\n")
}

// head adds the header row and the line that separates it from the others.
func (m *markdown) head(cells ...string) {
	m.addLine(cells...)
	m.addLine(slices.Repeat([]string{"---"}, len(cells))...)
}

// needsTable returns the table "needs": the operators' requirements and limits.
func needsTable() string {
	var table markdown
	table.head("need or limit", "figure")
	for _, need := range []struct{ name, value string }{
		{"servers, each with its sidecar", formatCount(Servers)},
		{"services", formatCount(Services)},
		{"regions; zones; servers of a zone, mean", fmt.Sprintf("%d; %d; %s", Regions, Zones, formatCount(serversPerZone))},
		{"calls a second; of one sidecar, mean", fmt.Sprintf("%s; %s", formatCount(CallsPerSecond), formatNumber(callsPerSidecar))},
		{"depth of calls", formatCount(CallDepth)},
		{"time added to a call, for 99 in 100", formatNumber(MaxAddedMilliseconds) + " ms"},
		{"changes of settings a day; time for each", fmt.Sprintf("%s; %s s", formatCount(ChangesPerDay), formatNumber(secondsPerDay/float64(ChangesPerDay)))},
		{"a change is in force everywhere within", formatNumber(ConvergeSeconds) + " s"},
		{"processor time for control, of each sidecar", formatNumber(ControlCorePercent) + " % of a core"},
		{"memory for control, of each sidecar", fmt.Sprintf("%s MB, which is %s MiB", formatNumber(ControlMegabytes), formatNumber(controlMebibytes))},
		{"bytes for control, of each sidecar", formatCount(ControlBytesPerSecond) + " B/s"},
		{"machines set aside for control", formatCount(ControlMachines)},
		{"descriptors of a process", formatCount(ProcessDescriptors)},
		{"machines that fail a day; that are restarted or replaced", fmt.Sprintf("%d; %s", FailuresPerDay, formatCount(RestartsPerDay))},
	} {
		table.addLine(need.name, need.value)
	}
	return table.text.String()
}

// formatCount rounds a value to an integer and formats it with all its digits.
func formatCount(count float64) string { return withCommas(math.Round(count)) }

// servicesTable returns the table "services": the assumptions about services, hosts and lists.
func servicesTable() string {
	sizes := ServiceSizes()
	lengths := assumedListLengths()
	var table markdown
	table.head("assumed", "figure")
	table.addLine("servers of the 1st, 2nd, 3rd, 10th, 100th largest service", strings.Join(
		[]string{formatInt(sizes[0]), formatInt(sizes[1]), formatInt(sizes[2]), formatInt(sizes[9]), formatInt(sizes[99])}, ", "))
	table.addLine("servers of the median and of the smallest service", formatInt(sizes[len(sizes)/2])+", "+formatInt(sizes[len(sizes)-1]))
	table.addLine("servers of all services; of the ten largest", formatInt(sum(sizes))+"; "+formatInt(sum(sizes[:10])))
	table.addLine("services that a sidecar calls, usually; at most", fmt.Sprintf("%d; %d", servicesCalled, maxServicesCalled))
	table.addLine("servers of a called service, mean", formatCount(meanCalledServers(sizes)))
	table.addLine("servers on the list of a sidecar that calls 5 services; 20 services", formatCount(lengths.typical)+"; "+formatCount(lengths.max))
	table.addLine("sidecars that call the largest service", formatCount(callersOfLargest(sizes)))
	table.addLine("sidecars of a host, mean; at most", fmt.Sprintf("%d; %d", typicalSidecarsPerHost, maxSidecarsPerHost))
	table.addLine("hosts, each with an agent: at the mean; at the worst, which the page counts with", formatCount(Servers/typicalSidecarsPerHost)+"; "+formatCount(Servers))
	table.addLine("servers of a rack", formatInt(serversPerRack))
	table.addLine("changes of the list for each restart", formatInt(listChangesPerRestart))
	return table.text.String()
}

// formatInt formats an integer with all its digits.
func formatInt(n int) string { return formatCount(float64(n)) }

// role returns the table of a role's estimates.
func (t *Tables) role(name string) (string, error) {
	all := roles(t.curves)
	index := slices.IndexFunc(all, func(role Role) bool { return role.Name == name })
	if index < 0 {
		return "", &TableError{"role " + name, "unknown role"}
	}
	var table markdown
	table.head("figure", "from", "at the size needed (95 %)", "unit", "limit", "needed/there")
	for _, estimate := range all[index].Estimates {
		limit, ratio := "none set", ""
		if estimate.Limit > 0 {
			limit, ratio = formatNumber(estimate.Limit), formatRatio(estimate.limitRatio())
		}
		table.addLine(estimate.Quantity, estimate.Source, estimate.formatValue(), estimate.Unit, limit, ratio)
	}
	return table.text.String(), t.curves.err
}

// descriptorUnit is the unit of figures that are formatted with all their digits, since they are
// close to their limit.
const descriptorUnit = "descriptors"

// formatValue formats the value of the estimate, with its interval if it has one. Descriptors are
// formatted without an interval.
func (e Estimate) formatValue() string {
	switch {
	case e.Unit == descriptorUnit:
		return formatCount(e.Value.Value)
	case e.Value.Low == e.Value.High:
		return formatNumber(e.Value.Value)
	default:
		return formatInterval(e.Value)
	}
}

// formatRatio formats the ratio of a value to its limit. An infinite ratio stands for a requirement
// that no component meets.
func formatRatio(ratio float64) string {
	if math.IsInf(ratio, 1) {
		return "no mechanism"
	}
	return formatNumber(ratio)
}

// mechanismsTable returns the table "mechanisms".
func mechanismsTable(all []Mechanism) string {
	var table markdown
	table.head("needed/there", "need", "needed", "there", "unit", "carried by", "remark")
	for _, comparison := range all {
		if comparison.Component == "" {
			table.addLine(formatRatio(comparison.Ratio), comparison.Need, "", "", "", "none", comparison.Remark)
			continue
		}
		achieved := Estimate{Value: exact(comparison.Achieved.Value), Unit: comparison.Unit}
		table.addLine(formatRatio(comparison.Ratio), comparison.Need, formatNumber(comparison.Required), achieved.formatValue(), comparison.Unit, comparison.Component, comparison.Remark)
	}
	return table.text.String()
}
