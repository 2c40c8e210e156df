package capacity

import (
	"embed"
	"fmt"
	"io"
	"io/fs"
	"path"
	"strconv"
	"strings"

	"golang.org/x/perf/benchfmt"
)

//go:embed results/*.txt
var resultFiles embed.FS

// Results are the raw results of all measurements, by the names of their files without
// ending.
type Results map[string]*Measured

// Measured is the raw results of one measurement.
type Measured struct {
	Name    string
	Command string // that measured them
	Date    string
	Cores   string
	Go      string
	Note    string // further remarks for the reader
	Samples []Sample
}

// Sample is one line of a benchmark's results.
type Sample struct {
	Parameters map[string]string // of the benchmark's name, as size=300
	Values     map[string]float64
}

// ResultError is a part of a result file that can't be used.
type ResultError struct {
	File string
	What string
}

// Error implements error.
func (e *ResultError) Error() string { return fmt.Sprintf("capacity: %s: %s", e.File, e.What) }

// Advice returns what a maintainer can do.
func (e *ResultError) Advice() string {
	return "measure again with `go run ./internal/capacity/collect`, which writes files in this form"
}

// LoadResults reads the raw results that this package holds.
func LoadResults() (Results, error) { return loadResults(resultFiles) }

func loadResults(files fs.FS) (Results, error) {
	names, err := fs.Glob(files, "results/*.txt")
	if err != nil {
		return nil, fmt.Errorf("capacity: %w", err)
	}
	results := make(Results)
	for _, name := range names {
		file, err := files.Open(name)
		if err != nil {
			return nil, fmt.Errorf("capacity: %w", err)
		}
		measured, err := readResults(file, name)
		file.Close()
		if err != nil {
			return nil, err
		}
		results[measured.Name] = measured
	}
	return results, nil
}

// readResults reads one result file.
func readResults(in io.Reader, name string) (*Measured, error) {
	measured := &Measured{Name: strings.TrimSuffix(path.Base(name), ".txt")}
	reader := benchfmt.NewReader(in, name)
	for reader.Scan() {
		switch record := reader.Result().(type) {
		case *benchfmt.Result:
			measured.configure(record)
			measured.Samples = append(measured.Samples, sampleOf(record))
		case *benchfmt.SyntaxError:
			return nil, &ResultError{name, record.Error()}
		}
	}
	if err := reader.Err(); err != nil {
		return nil, fmt.Errorf("capacity: %s: %w", name, err)
	}
	if len(measured.Samples) == 0 {
		return nil, &ResultError{name, "no benchmark result"}
	}
	for field, value := range map[string]string{"command": measured.Command, "date": measured.Date, "cores": measured.Cores} {
		if value == "" {
			return nil, &ResultError{name, "no line " + field + ": ..."}
		}
	}
	return measured, nil
}

func (m *Measured) configure(result *benchfmt.Result) {
	m.Command = result.GetConfig("command")
	m.Date = result.GetConfig("date")
	m.Cores = result.GetConfig("cores")
	m.Go = result.GetConfig("go")
	m.Note = result.GetConfig("note")
}

func sampleOf(result *benchfmt.Result) Sample {
	sample := Sample{Parameters: make(map[string]string), Values: make(map[string]float64)}
	_, parts := result.Name.Parts()
	for _, part := range parts {
		if key, value, found := strings.Cut(strings.TrimPrefix(string(part), "/"), "="); found {
			sample.Parameters[key] = value
		}
	}
	for _, value := range result.Values {
		sample.Values[value.Unit] = value.Value
	}
	return sample
}

// Point is a metric's value at a size.
type Point struct{ Size, Value float64 }

// points returns the samples of a metric. A sample without the metric, or with other parameters
// than the metric's, is left out.
func (m *Measured) points(metric Metric) ([]Point, error) {
	var points []Point
	for _, sample := range m.Samples {
		value, there := sample.Values[metric.Unit]
		if !there || !metric.fits(sample) {
			continue
		}
		size, err := strconv.ParseFloat(sample.Parameters[metric.Size], 64)
		if err != nil {
			return nil, &ResultError{m.Name, fmt.Sprintf("a result without a number %s=", metric.Size)}
		}
		if size < metric.From {
			continue
		}
		points = append(points, Point{size, value * metric.scale()})
	}
	if len(points) == 0 {
		return nil, &ResultError{m.Name, "no result in " + metric.Unit}
	}
	return points, nil
}
