package capacity

import (
	"errors"
	"strings"
	"testing"
)

// validResults is the text of a valid result file. Its three samples have the parameters servers and
// changing.
const validResults = `command: go test
date: 2026-01-02
cores: 8
goos: linux

BenchmarkListed/servers=30/changing=false-3	1	5000 ns/op	12.5 MiB
BenchmarkListed/servers=30/changing=true-3	1	6000 ns/op	13.5 MiB
BenchmarkListed/servers=300/changing=false-3	1	7000 ns/op	14.5 MiB
`

// readResults parses the configuration lines and all samples, and points selects and scales the
// samples of a metric.
func TestReadResults(t *testing.T) {
	resultFile, err := readResults(strings.NewReader(validResults), "results/listed.txt")
	if err != nil {
		t.Fatalf("readResults: %v", err)
	}
	if resultFile.Name != "listed" || resultFile.Command != "go test" || resultFile.Date != "2026-01-02" || len(resultFile.Samples) != 3 {
		t.Fatalf("readResults() = %+v, want the name listed, the command go test, the date 2026-01-02 and 3 samples", resultFile)
	}
	points, err := resultFile.points(Metric{Unit: "MiB", SizeParameter: "servers", Parameters: unchangedList, Factor: 2})
	if err != nil || len(points) != 2 || points[0] != (Point{30, 25}) || points[1] != (Point{300, 29}) {
		t.Errorf("points without list changes, times 2 = %v, %v, want {30 25} and {300 29}", points, err)
	}
	points, err = resultFile.points(Metric{Unit: "MiB", SizeParameter: "servers", MinSize: 100})
	if err != nil || len(points) != 1 || points[0] != (Point{300, 14.5}) {
		t.Errorf("points from size 100 = %v, %v, want {300 14.5}", points, err)
	}
}

// readResults fails on incomplete or malformed files, and points fails on a unit or a size
// parameter that no sample has.
func TestReadResultsRejectsBrokenFiles(t *testing.T) {
	for name, text := range map[string]string{
		"no result":        "command: go test\ndate: 2026-01-02\ncores: 8\n",
		"no command":       strings.Replace(validResults, "command:", "comment:", 1),
		"no date":          strings.Replace(validResults, "date:", "day:", 1),
		"no cores":         strings.Replace(validResults, "cores:", "machine:", 1),
		"a malformed line": strings.Replace(validResults, "5000 ns/op", "fast ns/op", 1),
	} {
		if _, err := readResults(strings.NewReader(text), "x.txt"); !errors.As(err, new(*ResultError)) {
			t.Errorf("readResults with %s: got error %v, want a *ResultError", name, err)
		}
	}
	resultFile, err := readResults(strings.NewReader(validResults), "results/listed.txt")
	if err != nil {
		t.Fatalf("readResults: %v", err)
	}
	for name, metric := range map[string]Metric{
		"a missing unit":           {Unit: "bytes", SizeParameter: "servers"},
		"a missing size parameter": {Unit: "MiB", SizeParameter: "hosts"},
	} {
		if _, err := resultFile.points(metric); !errors.As(err, new(*ResultError)) {
			t.Errorf("points with %s: got error %v, want a *ResultError", name, err)
		}
	}
}

// Each result file belongs to a measurement and was produced by its command, so that the command
// that the page shows for a figure repeats its measurement. The results of the distribution come
// from a scale test with a command of its own.
func TestResultsAreOfTheirMeasurements(t *testing.T) {
	results, err := LoadResults()
	if err != nil {
		t.Fatalf("LoadResults: %v", err)
	}
	for name, resultFile := range results {
		if name == Distribution {
			continue
		}
		definition := MeasurementByName(name)
		if definition == nil {
			t.Errorf("results/%s.txt belongs to no measurement", name)
		} else if resultFile.Command != definition.Command() {
			t.Errorf("results/%s.txt: got the command\n%s\nwant\n%s", name, resultFile.Command, definition.Command())
		}
	}
	for _, definition := range Measurements {
		if results[definition.Name] == nil {
			t.Errorf("results/%s.txt is missing", definition.Name)
		}
	}
}
