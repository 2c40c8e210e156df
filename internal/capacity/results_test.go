package capacity

import (
	"errors"
	"strings"
	"testing"
)

const goodResults = `command: go test
date: 2026-01-02
cores: 8
goos: linux

BenchmarkListed/servers=30/changing=false-3	1	5000 ns/op	12.5 MiB
BenchmarkListed/servers=30/changing=true-3	1	6000 ns/op	13.5 MiB
BenchmarkListed/servers=300/changing=false-3	1	7000 ns/op	14.5 MiB
`

func TestReadResults(t *testing.T) {
	measured, err := readResults(strings.NewReader(goodResults), "results/listed.txt")
	if err != nil {
		t.Fatal(err)
	}
	if measured.Name != "listed" || measured.Command != "go test" || measured.Date != "2026-01-02" || len(measured.Samples) != 3 {
		t.Fatalf("%+v", measured)
	}
	points, err := measured.points(Metric{Unit: "MiB", Size: "servers", Only: notChanging, Factor: 2})
	if err != nil || len(points) != 2 || points[0] != (Point{30, 25}) || points[1] != (Point{300, 29}) {
		t.Errorf("%v, %v", points, err)
	}
	points, err = measured.points(Metric{Unit: "MiB", Size: "servers", From: 100})
	if err != nil || len(points) != 1 || points[0] != (Point{300, 14.5}) {
		t.Errorf("%v, %v", points, err)
	}
}

func TestReadResultsRefuses(t *testing.T) {
	for name, text := range map[string]string{
		"no result":    "command: go test\ndate: 2026-01-02\ncores: 8\n",
		"no command":   strings.Replace(goodResults, "command:", "comment:", 1),
		"no date":      strings.Replace(goodResults, "date:", "day:", 1),
		"no cores":     strings.Replace(goodResults, "cores:", "machine:", 1),
		"broken lines": strings.Replace(goodResults, "5000 ns/op", "fast ns/op", 1),
	} {
		if _, err := readResults(strings.NewReader(text), "x.txt"); !errors.As(err, new(*ResultError)) {
			t.Errorf("%s: %v", name, err)
		}
	}
	measured, err := readResults(strings.NewReader(goodResults), "results/listed.txt")
	if err != nil {
		t.Fatal(err)
	}
	for name, metric := range map[string]Metric{
		"a unit that isn't there": {Unit: "bytes", Size: "servers"},
		"a size that isn't there": {Unit: "MiB", Size: "hosts"},
	} {
		if _, err := measured.points(metric); !errors.As(err, new(*ResultError)) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Each result file belongs to a measurement and was made by its command, so that the
// command beside a figure repeats it.
func TestResultsAreOfTheirMeasurements(t *testing.T) {
	results, err := LoadResults()
	if err != nil {
		t.Fatal(err)
	}
	for name, measured := range results {
		if name == Distribution {
			continue
		}
		planned := MeasurementByName(name)
		if planned == nil {
			t.Errorf("results/%s.txt belongs to no measurement", name)
		} else if measured.Command != planned.Command() {
			t.Errorf("results/%s.txt was made by\n%s\nnot by\n%s", name, measured.Command, planned.Command())
		}
	}
	for _, planned := range Measurements {
		if results[planned.Name] == nil {
			t.Errorf("there is no results/%s.txt", planned.Name)
		}
	}
}
