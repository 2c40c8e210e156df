package capacity

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// provenance returns how a measurement was made.
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

// raw returns the table of the medians of a measurement's results by all parameters except the
// seed.
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

// columns returns the units that a raw table shows: those of the planned metrics, or all.
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

// groups returns the samples by their parameters, in the order of the file.
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

// median returns that of a metric over the group, empty if no sample has it.
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
