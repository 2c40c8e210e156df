package capacity

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
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

// TableError says which table can't be made.
type TableError struct {
	Table string
	What  string
}

// Error implements error.
func (e *TableError) Error() string { return fmt.Sprintf("capacity: table %q: %s", e.Table, e.What) }

// Advice says what a maintainer can do.
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
	table.addLine("sidecars of a host, mean; at most", fmt.Sprintf("%d; %d", sidecarsUsual, maxSidecars))
	table.addLine("hosts, each with an agent: at the mean; at the worst, which the page counts with", formatCount(Servers/sidecarsUsual)+"; "+formatCount(Servers))
	table.addLine("servers of a rack", count(rackServers))
	table.addLine("changes of the list for each restart", count(listChanges))
	return table.text.String()
}

func count(n int) string { return formatCount(float64(n)) }

// role is the table of a role's figures.
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

// descriptorUnit is of figures that are shown with all their digits: the limit is near.
const descriptorUnit = "descriptors"

// shown is the estimate's value with its interval, if it has one.
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

// formatFactor shows how many times a limit is reached.
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

// provenance says how a measurement was made.
func provenance(measured *Measured) string {
	text := fmt.Sprintf("`%s`\n\nMeasured %s; cores: %s; %s.", measured.Command, measured.Date, measured.Cores, measured.Go)
	if measured.Note != "" {
		text += " " + measured.Note
	}
	return text + "\n\n"
}

// measured returns the results of a measurement.
func (t *Tables) measured(table, name string) (*Measured, error) {
	if measured := t.results[name]; measured != nil {
		return measured, nil
	}
	return nil, &TableError{table + " " + name, "there is no result file of that name"}
}

// raw is the medians of a measurement's results by all parameters but the seed.
func (t *Tables) raw(name string) (string, error) {
	if name == Distribution && t.results[name] == nil {
		return "Not measured: there is no `internal/capacity/results/" + Distribution + ".txt` yet.\n", nil
	}
	measured, err := t.measured("raw", name)
	if err != nil {
		return "", err
	}
	columns := measured.columns()
	var table markdown
	head := []string{"parameters", "samples"}
	for _, column := range columns {
		head = append(head, "median "+column.unit())
	}
	table.head(head...)
	for _, group := range measured.groups() {
		cells := []string{group.name, count(len(group.samples))}
		for _, column := range columns {
			cells = append(cells, group.median(column))
		}
		table.addLine(cells...)
	}
	return provenance(measured) + table.text.String(), nil
}

// columns are the units that a raw table shows: those of the planned metrics, or all.
func (m *Measured) columns() []Metric {
	var columns []Metric
	add := func(metric Metric) {
		if !slices.ContainsFunc(columns, func(column Metric) bool { return column.Unit == metric.Unit }) {
			columns = append(columns, Metric{Unit: metric.Unit, Factor: metric.Factor, Shown: metric.Shown})
		}
	}
	if planned := MeasurementByName(m.Name); planned != nil {
		for _, metric := range planned.Metrics {
			shown := metric
			if metric.Factor == 0 {
				shown.Shown = ""
			}
			add(shown)
		}
	}
	if len(columns) == 0 {
		for _, sample := range m.Samples {
			for _, unit := range slices.Sorted(maps.Keys(sample.Values)) {
				add(Metric{Unit: unit})
			}
		}
	}
	return columns
}

// group is samples with the same parameters.
type group struct {
	name    string
	samples []Sample
}

// groups are the samples by their parameters, in the order of the file.
func (m *Measured) groups() []*group {
	var groups []*group
	for _, sample := range m.Samples {
		name := parameterName(sample.Parameters)
		at := slices.IndexFunc(groups, func(g *group) bool { return g.name == name })
		if at < 0 {
			at = len(groups)
			groups = append(groups, &group{name: name})
		}
		groups[at].samples = append(groups[at].samples, sample)
	}
	return groups
}

// seedParameter distinguishes repeated samples of the model.
const seedParameter = "seed"

func parameterName(parameters map[string]string) string {
	var words []string
	for _, key := range slices.Sorted(maps.Keys(parameters)) {
		if key != seedParameter {
			words = append(words, key+"="+parameters[key])
		}
	}
	return strings.Join(words, " ")
}

// median of a metric over the group, empty if no sample has it.
func (g *group) median(metric Metric) string {
	var values []float64
	for _, sample := range g.samples {
		if value, there := sample.Values[metric.Unit]; there {
			values = append(values, value*metric.scale())
		}
	}
	if len(values) == 0 {
		return ""
	}
	slices.Sort(values)
	middle := len(values) / 2
	if len(values)%2 == 1 {
		return formatNumber(values[middle])
	}
	return formatNumber((values[middle-1] + values[middle]) / 2)
}

// fits is the curves through a measurement's metrics.
func (t *Tables) fits(name string) (string, error) {
	planned := MeasurementByName(name)
	if name == Distribution && t.results[name] == nil {
		return "No fits: not measured yet.\n", nil
	}
	if planned == nil {
		return "", &TableError{"fits " + name, "there is no such measurement"}
	}
	var table markdown
	table.head("metric", "unit", "by", "sizes", "curve", "slope (95 %)", "fixed part (95 %)", "R²", "at 21,000 (95 %)", "as a straight line")
	for _, metric := range planned.Metrics {
		if metric.NoFit != "" {
			table.addLine(metric.Name, metric.unit(), metric.Size, "", "no curve: "+metric.NoFit, "", "", "", "", "")
			continue
		}
		fit, err := t.curves.fit(name, metric.Name)
		if err != nil {
			return "", err
		}
		line, err := t.line(name, metric)
		if err != nil {
			return "", err
		}
		at := ""
		if reachesServers[metric.Size] {
			at = formatInterval(fit.At(Servers))
		}
		straight := ""
		if at != "" && fit.Model != Line && fit.Model != Constant {
			straight = formatNumber(line.At(Servers).Value)
		}
		sizes := fmt.Sprintf("%s to %s, %d points", formatNumber(fit.Smallest), formatNumber(fit.Largest), fit.Points)
		table.addLine(metric.Name, metric.unit(), metric.Size, sizes, fit.Model.String(), fit.slope(), fit.fixed(), fit.goodness(), at, straight)
	}
	return table.text.String(), nil
}

// reachesServers names the sizes that reach 21,000 in the fleet.
var reachesServers = map[string]bool{"subscribers": true, "servers": true, "size": true, "hosts": true}

// line is the straight line through a metric, whatever fits best.
func (t *Tables) line(name string, metric Metric) (*Fit, error) {
	measured, err := t.measured("fits", name)
	if err != nil {
		return nil, err
	}
	points, err := measured.points(metric)
	if err != nil {
		return nil, err
	}
	return FitModel(Line, points)
}

// slope is what the curve says of growth, by its model's letters.
func (f *Fit) slope() string {
	switch f.Model {
	case Constant:
		return "none found"
	case Line:
		return formatInterval(f.Coefficients[1]) + " n"
	case Logarithm:
		return formatInterval(f.Coefficients[1]) + " ln n"
	case NLogN:
		return formatInterval(f.Coefficients[1]) + " n ln n"
	case Power:
		return "n to the power " + formatInterval(f.Coefficients[1])
	default:
		return formatInterval(f.Coefficients[2]) + " n² + " + formatInterval(f.Coefficients[1]) + " n"
	}
}

// fixed is the part that does not grow; for Power the factor.
func (f *Fit) fixed() string {
	if f.Model == Power {
		return "factor " + formatInterval(f.Coefficients[0])
	}
	return formatInterval(f.Coefficients[0])
}

// goodness is R². A constant explains no growth and has none.
func (f *Fit) goodness() string {
	if f.Model == Constant {
		return ""
	}
	return strconv.FormatFloat(f.RSquared, 'f', 4, 64)
}
