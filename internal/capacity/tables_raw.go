package capacity

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// provenance returns the text above a raw table: how the results were measured.
func provenance(resultFile *ResultFile) string {
	text := fmt.Sprintf("`%s`\n\nMeasured %s; cores: %s; %s.", resultFile.Command, resultFile.Date, resultFile.Cores, resultFile.Go)
	if resultFile.Note != "" {
		text += " " + resultFile.Note
	}
	return text + "\n\n"
}

// resultFile returns the results of a measurement. If there are none, it returns a *TableError for
// the table of the given kind, "raw" or "fits".
func (t *Tables) resultFile(kind, name string) (*ResultFile, error) {
	if resultFile := t.results[name]; resultFile != nil {
		return resultFile, nil
	}
	return nil, &TableError{kind + " " + name, "there is no result file for the measurement"}
}

// raw returns the provenance of a measurement's results and a table of their medians. It has one
// row for each set of parameters; samples that differ only in the seed share a row.
func (t *Tables) raw(name string) (string, error) {
	if name == Distribution && t.results[name] == nil {
		return "Not measured: there is no `internal/capacity/results/" + Distribution + ".txt` yet.\n", nil
	}
	resultFile, err := t.resultFile("raw", name)
	if err != nil {
		return "", err
	}
	columns := resultFile.columns()
	var table markdown
	head := []string{"parameters", "samples"}
	for _, column := range columns {
		head = append(head, "median "+column.pageUnit())
	}
	table.head(head...)
	for _, group := range resultFile.groups() {
		cells := []string{group.name, formatInt(len(group.samples))}
		for _, column := range columns {
			cells = append(cells, group.median(column))
		}
		table.addLine(cells...)
	}
	return provenance(resultFile) + table.text.String(), nil
}

// columns returns a metric for each column of a raw table. A column stands for a unit. If the
// measurement has metrics, the columns are their units, otherwise all units of the samples.
func (f *ResultFile) columns() []Metric {
	var columns []Metric
	add := func(metric Metric) {
		if !slices.ContainsFunc(columns, func(column Metric) bool { return column.Unit == metric.Unit }) {
			columns = append(columns, Metric{Unit: metric.Unit, Factor: metric.Factor, PageUnit: metric.PageUnit})
		}
	}
	if definition := MeasurementByName(f.Name); definition != nil {
		for _, metric := range definition.Metrics {
			shown := metric
			if metric.Factor == 0 { // the values are not converted, so the raw unit is shown
				shown.PageUnit = ""
			}
			add(shown)
		}
	}
	if len(columns) == 0 {
		for _, sample := range f.Samples {
			for _, unit := range slices.Sorted(maps.Keys(sample.Values)) {
				add(Metric{Unit: unit})
			}
		}
	}
	return columns
}

// group holds the samples that have the same parameters, apart from the seed.
type group struct {
	name    string
	samples []Sample
}

// groups returns the samples grouped by their parameters, in the order in which each group first
// occurs in the file.
func (f *ResultFile) groups() []*group {
	var groups []*group
	for _, sample := range f.Samples {
		name := formatParameters(sample.Parameters)
		index := slices.IndexFunc(groups, func(g *group) bool { return g.name == name })
		if index < 0 {
			index = len(groups)
			groups = append(groups, &group{name: name})
		}
		groups[index].samples = append(groups[index].samples, sample)
	}
	return groups
}

// seedParameter is the parameter that tells apart samples of the same simulation with different
// random numbers.
const seedParameter = "seed"

// formatParameters returns the parameters except the seed as "key=value key=value", sorted by key.
func formatParameters(parameters map[string]string) string {
	var words []string
	for _, key := range slices.Sorted(maps.Keys(parameters)) {
		if key != seedParameter {
			words = append(words, key+"="+parameters[key])
		}
	}
	return strings.Join(words, " ")
}

// median returns the formatted median of a metric over the group, empty if no sample has the metric.
func (g *group) median(metric Metric) string {
	var values []float64
	for _, sample := range g.samples {
		if value, found := sample.Values[metric.Unit]; found {
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
