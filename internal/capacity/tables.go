package capacity

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// Tables makes the tables of the page from raw results.
type Tables struct {
	results Results
	curves  *curves
	made    map[string]string // tables by their names
}

// NewTables returns the tables of these results.
func NewTables(results Results) *Tables {
	return &Tables{results: results, curves: newCurves(results), made: make(map[string]string)}
}

// TableError is a table that can't be made.
type TableError struct {
	Table string
	What  string
}

// Error implements error.
func (e *TableError) Error() string { return fmt.Sprintf("capacity: table %q: %s", e.Table, e.What) }

// Advice returns what a maintainer can do.
func (e *TableError) Advice() string {
	return "name a table that internal/capacity/tables.go makes, or collect the results that it needs"
}

// Make makes a table by its name: "needs", "services", "days", "mechanisms", "role NAME", "raw
// MEASUREMENT" or "fits MEASUREMENT".
func (t *Tables) Make(name string) (string, error) {
	if table, made := t.made[name]; made {
		return table, nil
	}
	table, err := t.make(name)
	if err == nil {
		t.made[name] = table
	}
	return table, err
}

func (t *Tables) make(name string) (string, error) {
	kind, of, _ := strings.Cut(name, " ")
	switch kind {
	case "needs":
		return needsTable(), nil
	case "services":
		return servicesTable(), nil
	case "days":
		made := daysTable(t.curves)
		return made, t.curves.err
	case "mechanisms":
		made := mechanismsTable(mechanisms(t.curves))
		return made, t.curves.err
	case "role":
		return t.role(of)
	case "raw":
		return t.raw(of)
	case "fits":
		return t.fits(of)
	}
	return "", &TableError{name, "there is no such kind"}
}

// markdown is a table, line by line.
type markdown struct{ text strings.Builder }

// addLine adds a line of cells.
func (m *markdown) addLine(cells ...string) {
	m.text.WriteString("| " + strings.Join(cells, " | ") + " |\n")
}

// head adds the first line.
func (m *markdown) head(cells ...string) {
	m.addLine(cells...)
	m.addLine(slices.Repeat([]string{"---"}, len(cells))...)
}

func needsTable() string {
	var table markdown
	table.head("need or limit", "figure")
	for _, need := range []struct{ name, value string }{
		{"servers, each with its sidecar", formatCount(Servers)},
		{"services", formatCount(Services)},
		{"regions; zones; servers of a zone, mean", fmt.Sprintf("%d; %d; %s", Regions, Zones, formatCount(zoneServers))},
		{"calls a second; of one sidecar, mean", fmt.Sprintf("%s; %s", formatCount(CallsPerSecond), formatNumber(callsPerSidecar))},
		{"depth of calls", formatCount(Depth)},
		{"time added to a call, for 99 in 100", formatNumber(AddedMilliseconds) + " ms"},
		{"changes of settings a day; time for each", fmt.Sprintf("%s; %s s", formatCount(ChangesPerDay), formatNumber(secondsPerDay/float64(ChangesPerDay)))},
		{"a change is in force everywhere within", formatNumber(ConvergeSeconds) + " s"},
		{"processor time for control, of each sidecar", formatNumber(ControlCorePercent) + " % of a core"},
		{"memory for control, of each sidecar", fmt.Sprintf("%s MB, which is %s MiB", formatNumber(ControlMegabytes), formatNumber(controlMebibyte))},
		{"bytes for control, of each sidecar", formatCount(ControlBytesPerSecond) + " B/s"},
		{"machines set aside for control", formatCount(ControlMachines)},
		{"descriptors of a process", formatCount(ProcessDescriptors)},
		{"machines that fail a day; that are restarted or replaced", fmt.Sprintf("%d; %s", FailuresPerDay, formatCount(RestartsPerDay))},
	} {
		table.addLine(need.name, need.value)
	}
	return table.text.String()
}

// formatCount formats an integer with all its digits.
func formatCount(count float64) string { return withCommas(math.Round(count)) }

func servicesTable() string {
	sizes := ServiceSizes()
	length := assumedLists()
	var table markdown
	table.head("assumed", "figure")
	table.addLine("servers of the 1st, 2nd, 3rd, 10th, 100th largest service", strings.Join(
		[]string{count(sizes[0]), count(sizes[1]), count(sizes[2]), count(sizes[9]), count(sizes[99])}, ", "))
	table.addLine("servers of the median and of the smallest service", count(sizes[len(sizes)/2])+", "+count(sizes[len(sizes)-1]))
	table.addLine("servers of all services; of the ten largest", count(sum(sizes))+"; "+count(sum(sizes[:10])))
	table.addLine("services that a sidecar calls, usually; at most", fmt.Sprintf("%d; %d", servicesCalled, maxServicesCalled))
	table.addLine("servers of a called service, mean", formatCount(calledServers(sizes)))
	table.addLine("servers on the list of a sidecar that calls 5 services; 20 services", formatCount(length.usual)+"; "+formatCount(length.many))
	table.addLine("sidecars that call the largest service", formatCount(callersOfLargest(sizes)))
	table.addLine("sidecars of a host, mean; at most", fmt.Sprintf("%d; %d", typicalSidecars, maxSidecars))
	table.addLine("hosts, each with an agent: at the mean; at the worst, which the page counts with", formatCount(Servers/typicalSidecars)+"; "+formatCount(Servers))
	table.addLine("servers of a rack", count(rackServers))
	table.addLine("changes of the list for each restart", count(listChanges))
	return table.text.String()
}

func count(n int) string { return formatCount(float64(n)) }

// role returns the table of a role's figures.
func (t *Tables) role(name string) (string, error) {
	all := roles(t.curves)
	at := slices.IndexFunc(all, func(role Role) bool { return role.Name == name })
	if at < 0 {
		return "", &TableError{"role " + name, "there is no such role"}
	}
	var table markdown
	table.head("figure", "from", "at the size needed (95 %)", "unit", "limit", "needed/there")
	for _, estimate := range all[at].Estimates {
		limit, factor := "none set", ""
		if estimate.Limit > 0 {
			limit, factor = formatNumber(estimate.Limit), formatFactor(estimate.needed())
		}
		table.addLine(estimate.Quantity, estimate.From, estimate.shown(), estimate.Unit, limit, factor)
	}
	return table.text.String(), t.curves.err
}

// descriptorUnit is the unit of figures that are shown with all their digits, since their limit is
// near.
const descriptorUnit = "descriptors"

// shown returns the estimate's value with its interval, if it has one.
func (e Estimate) shown() string {
	switch {
	case e.Unit == descriptorUnit:
		return formatCount(e.Value.Value)
	case e.Value.Low == e.Value.High:
		return formatNumber(e.Value.Value)
	default:
		return formatInterval(e.Value)
	}
}

// formatFactor formats a multiple of a limit.
func formatFactor(factor float64) string {
	if math.IsInf(factor, 1) {
		return "no mechanism"
	}
	return formatNumber(factor)
}

func mechanismsTable(all []Mechanism) string {
	var table markdown
	table.head("needed/there", "need", "needed", "there", "unit", "carried by", "remark")
	for _, one := range all {
		if one.Carrier == "" {
			table.addLine(formatFactor(one.Factor), one.Need, "", "", "", "none", one.Remark)
			continue
		}
		there := Estimate{Value: exactly(one.There.Value), Unit: one.Unit}
		table.addLine(formatFactor(one.Factor), one.Need, formatNumber(one.Needed), there.shown(), one.Unit, one.Carrier, one.Remark)
	}
	return table.text.String()
}
