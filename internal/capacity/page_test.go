package capacity

import (
	"errors"
	"maps"
	"os"
	"strings"
	"testing"
)

// pagePath is the path of the page, relative to the folder of this package.
const pagePath = "../../docs/CAPACITY.md"

func readPage(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile(pagePath)
	if err != nil {
		t.Fatalf("read the page: %v", err)
	}
	return string(text)
}

func loadTables(t *testing.T) (Results, *Tables) {
	t.Helper()
	results, err := LoadResults()
	if err != nil {
		t.Fatalf("LoadResults: %v", err)
	}
	return results, NewTables(results)
}

// The tables on the page are those that the raw results give.
func TestPageIsMadeOfTheResults(t *testing.T) {
	_, tables := loadTables(t)
	if err := Check(readPage(t), tables); err != nil {
		t.Errorf("Check(%s): %v", pagePath, err)
		if pageError, ok := errors.AsType[*PageError](err); ok {
			t.Log(pageError.Advice())
		}
	}
}

// Check fails if a figure is changed in any result file that the page shows, or in any table of the
// page.
func TestChangedFigureIsFound(t *testing.T) {
	page := readPage(t)
	results, _ := loadTables(t)
	for name, resultFile := range results {
		for unit := range resultFile.Samples[0].Values {
			definition := MeasurementByName(name)
			if definition == nil || !showsUnit(definition, unit) {
				continue
			}
			original := make([]map[string]float64, len(resultFile.Samples))
			for i, sample := range resultFile.Samples {
				original[i] = maps.Clone(sample.Values)
				if value, found := sample.Values[unit]; found {
					sample.Values[unit] = 1.5*value + 1e-6
				}
			}
			if err := Check(page, NewTables(results)); !errors.As(err, new(*PageError)) {
				t.Errorf("Check with changed results of %s in %s: got error %v, want a *PageError", name, unit, err)
			}
			for i := range resultFile.Samples {
				resultFile.Samples[i].Values = original[i]
			}
		}
	}
	tables := NewTables(results)
	if err := Check(page, tables); err != nil {
		t.Fatalf("Check with the original results: %v", err)
	}
	for number, line := range strings.Split(page, "\n") {
		if !strings.HasPrefix(line, "| ") || !strings.ContainsAny(line, "12345678") {
			continue
		}
		changed := strings.Replace(page, line, strings.Map(nextDigit, line), 1)
		if err := Check(changed, tables); !errors.As(err, new(*PageError)) {
			t.Errorf("Check with a changed figure in line %d: got error %v, want a *PageError", number+1, err)
		}
	}
}

// showsUnit reports whether the page shows the values in a unit of a measurement.
func showsUnit(measurement *Measurement, unit string) bool {
	for _, metric := range measurement.Metrics {
		if metric.Unit == unit {
			return true
		}
	}
	return false
}

// nextDigit returns the next higher digit for the digits 1 to 8, and any other character unchanged.
// Applied to each character of a figure, it gives another figure of the same length.
func nextDigit(digit rune) rune {
	if digit >= '1' && digit <= '8' {
		return digit + 1
	}
	return digit
}

// Fill fails on unmatched markers, unknown tables and measurements that the page does not show.
func TestFillRejectsBrokenPages(t *testing.T) {
	page := readPage(t)
	_, tables := loadTables(t)
	first := markerBegin + "needs" + markerBeginEnd
	for name, broken := range map[string]string{
		"an unknown table":       strings.Replace(page, first, markerBegin+"lunch"+markerBeginEnd, 1),
		"an unknown role":        strings.Replace(page, first, markerBegin+"role cook"+markerBeginEnd, 1),
		"an unknown measurement": strings.Replace(page, first, markerBegin+"raw lunch"+markerBeginEnd, 1),
		"a missing end marker":   strings.Replace(page, markerEnd, "", 1),
		"an end marker too many": markerEnd + "\n" + page,
		"a missing measurement":  strings.Replace(page, markerBegin+"raw "+Chain+markerBeginEnd, markerBegin+"needs"+markerBeginEnd, 1),
	} {
		if broken == page {
			t.Fatalf("%s: the page is unchanged: it lacks the text that this case replaces", name)
		}
		if _, err := Fill(broken, tables); err == nil {
			t.Errorf("Fill with %s succeeded, want an error", name)
		}
	}
}
