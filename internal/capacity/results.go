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

// Results are the raw results of all measurements. The keys are the names of the measurements, which
// are the names of their files without .txt.
type Results map[string]*ResultFile

// ResultFile is the content of one result file: the raw results of one measurement.
type ResultFile struct {
	Name    string
	Command string // the command line that produced the results
	Date    string // the day of the measurement, as 2006-01-02
	Cores   string // cores of the machine and of the benchmark's process, in words
	Go      string // Go version; empty if the file has none
	Note    string // further remarks for the reader; empty if the file has none
	Samples []Sample
}

// Sample is one line of a benchmark's results.
type Sample struct {
	Parameters map[string]string  // parts of the benchmark's name of the form size=300
	Values     map[string]float64 // by unit
}

// ResultError says why results are missing or can't be used.
type ResultError struct {
	File   string // path of the result file, or the name of the measurement
	Reason string
}

// Error implements error.
func (e *ResultError) Error() string { return fmt.Sprintf("capacity: %s: %s", e.File, e.Reason) }

// Advice returns what a maintainer can do about the error.
func (e *ResultError) Advice() string {
	return "measure again with `go run ./internal/capacity/collect`, which writes files in the expected format"
}

// LoadResults parses the result files that are embedded in this package. It returns a *ResultError
// if a file is not in the expected format.
func LoadResults() (Results, error) { return loadResults(resultFiles) }

// loadResults parses the files results/*.txt of a file system.
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
		resultFile, err := readResults(file, name)
		file.Close()
		if err != nil {
			return nil, err
		}
		results[resultFile.Name] = resultFile
	}
	return results, nil
}

// readResults parses one result file. The name is its path.
func readResults(in io.Reader, name string) (*ResultFile, error) {
	resultFile := &ResultFile{Name: strings.TrimSuffix(path.Base(name), ".txt")}
	reader := benchfmt.NewReader(in, name)
	for reader.Scan() {
		switch record := reader.Result().(type) {
		case *benchfmt.Result:
			resultFile.setConfiguration(record)
			resultFile.Samples = append(resultFile.Samples, newSample(record))
		case *benchfmt.SyntaxError:
			return nil, &ResultError{name, record.Error()}
		}
	}
	if err := reader.Err(); err != nil {
		return nil, fmt.Errorf("capacity: %s: %w", name, err)
	}
	if len(resultFile.Samples) == 0 {
		return nil, &ResultError{name, "it has no benchmark result"}
	}
	for field, value := range map[string]string{"command": resultFile.Command, "date": resultFile.Date, "cores": resultFile.Cores} {
		if value == "" {
			return nil, &ResultError{name, "it has no line \"" + field + ": ...\""}
		}
	}
	return resultFile, nil
}

// setConfiguration copies the configuration lines that apply to a result.
func (f *ResultFile) setConfiguration(result *benchfmt.Result) {
	f.Command = result.GetConfig("command")
	f.Date = result.GetConfig("date")
	f.Cores = result.GetConfig("cores")
	f.Go = result.GetConfig("go")
	f.Note = result.GetConfig("note")
}

// newSample converts a benchmark result.
func newSample(result *benchfmt.Result) Sample {
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

// Point is the value of a metric at a size, in the unit of the page.
type Point struct{ Size, Value float64 }

// points returns the samples of a metric as points. It leaves out samples without the metric's
// unit, with other parameters, or with a size below its MinSize. It returns a *ResultError if no
// sample is left, or if a sample has no numeric size.
func (f *ResultFile) points(metric Metric) ([]Point, error) {
	var points []Point
	for _, sample := range f.Samples {
		value, found := sample.Values[metric.Unit]
		if !found || !metric.matches(sample) {
			continue
		}
		size, err := strconv.ParseFloat(sample.Parameters[metric.SizeParameter], 64)
		if err != nil {
			return nil, &ResultError{f.Name, fmt.Sprintf("a result has no number in the parameter %s=", metric.SizeParameter)}
		}
		if size < metric.MinSize {
			continue
		}
		points = append(points, Point{size, value * metric.scale()})
	}
	if len(points) == 0 {
		return nil, &ResultError{f.Name, "it has no result in " + metric.Unit + " with the parameters and sizes of the metric"}
	}
	return points, nil
}
