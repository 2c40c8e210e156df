package capacity

import (
	"errors"
	"maps"
	"os"
	"strings"
	"testing"
)

// pagePath is the page, from this package's folder.
const pagePath = "../../docs/CAPACITY.md"

func readPage(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile(pagePath)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func loadTables(t *testing.T) (Results, *Tables) {
	t.Helper()
	results, err := LoadResults()
	if err != nil {
		t.Fatal(err)
	}
	return results, NewTables(results)
}

// The page's tables are those of the raw results.
func TestPageIsMadeOfTheResults(t *testing.T) {
	_, tables := loadTables(t)
	if err := Check(readPage(t), tables); err != nil {
		t.Error(err)
		if advised, ok := errors.AsType[*PageError](err); ok {
			t.Log(advised.Advice())
		}
	}
}

// A figure that is changed in any result file, or in any table of the page, makes the check
// fail.
func TestChangedFigureIsFound(t *testing.T) {
	page := readPage(t)
	results, _ := loadTables(t)
	for name, measured := range results {
		for unit := range measured.Samples[0].Values {
			planned := MeasurementByName(name)
			if planned == nil || !shows(planned, unit) {
				continue
			}
			before := make([]map[string]float64, len(measured.Samples))
			for i, sample := range measured.Samples {
				before[i] = maps.Clone(sample.Values)
				if value, there := sample.Values[unit]; there {
					sample.Values[unit] = 1.5*value + 1e-6
				}
			}
			if err := Check(page, NewTables(results)); !errors.As(err, new(*PageError)) {
				t.Errorf("%s, %s: changed results pass: %v", name, unit, err)
			}
			for i := range measured.Samples {
				measured.Samples[i].Values = before[i]
			}
		}
	}
	tables := NewTables(results)
	if err := Check(page, tables); err != nil {
		t.Fatal(err)
	}
	for number, line := range strings.Split(page, "\n") {
		if !strings.HasPrefix(line, "| ") || !strings.ContainsAny(line, "12345678") {
			continue
		}
		changed := strings.Replace(page, line, strings.Map(nextDigit, line), 1)
		if err := Check(changed, tables); !errors.As(err, new(*PageError)) {
			t.Errorf("line %d: a changed figure passes: %v", number+1, err)
		}
	}
}

// shows reports whether the page shows a unit of a measurement.
func shows(measurement *Measurement, unit string) bool {
	for _, metric := range measurement.Metrics {
		if metric.Unit == unit {
			return true
		}
	}
	return false
}

func nextDigit(digit rune) rune {
	if digit >= '1' && digit <= '8' {
		return digit + 1
	}
	return digit
}

// Incomplete markers, unknown tables and measurements that are not shown are errors.
func TestFillRefuses(t *testing.T) {
	page := readPage(t)
	_, tables := loadTables(t)
	first := markerBegin + "needs" + markerBeginEnd
	for name, broken := range map[string]string{
		"an unknown table":       strings.Replace(page, first, markerBegin+"lunch"+markerBeginEnd, 1),
		"an unknown role":        strings.Replace(page, first, markerBegin+"role cook"+markerBeginEnd, 1),
		"an unknown measurement": strings.Replace(page, first, markerBegin+"raw lunch"+markerBeginEnd, 1),
		"no end":                 strings.Replace(page, markerEnd, "", 1),
		"an end too many":        markerEnd + "\n" + page,
		"a measurement missing":  strings.Replace(page, markerBegin+"raw "+Chain+markerBeginEnd, markerBegin+"needs"+markerBeginEnd, 1),
	} {
		if broken == page {
			t.Fatalf("%s: the page has no place for this test", name)
		}
		if _, err := Fill(broken, tables); err == nil {
			t.Errorf("%s is taken", name)
		}
	}
}
