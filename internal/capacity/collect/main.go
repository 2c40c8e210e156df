// Command collect runs measurements of docs/CAPACITY.md and writes their raw results to
// internal/capacity/results. Without a name it lists the measurements. Run it from the root of the
// module.
//
//	go run ./internal/capacity/collect [-note TEXT] NAME...
package main

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime"
	"strings"
	"time"

	"martendrum/internal/capacity"
)

const (
	resultsFolder = "internal/capacity/results"
	// measurementTimeout is how long one measurement may run before it is stopped and fails.
	measurementTimeout = 2 * time.Hour
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	note := flag.String("note", "", "remark for readers of the results, such as what else ran on the machine")
	flag.Parse()
	if err := collect(ctx, flag.Args(), *note); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// collect runs the named measurements one after the other, up to the first that fails. Without
// names it lists all.
func collect(ctx context.Context, names []string, note string) error {
	if len(names) == 0 {
		for _, measurement := range capacity.Measurements {
			fmt.Printf("%-18s %s\n", measurement.Name, measurement.Title)
		}
		return nil
	}
	for _, name := range names {
		measurement := capacity.MeasurementByName(name)
		if measurement == nil {
			return fmt.Errorf("collect: unknown measurement %q; run collect without a name to list them", name)
		}
		if err := measure(ctx, measurement, note); err != nil {
			return err
		}
	}
	return nil
}

// measure runs the benchmark of a measurement and, if it succeeds, replaces the result file.
func measure(ctx context.Context, measurement *capacity.Measurement, note string) error {
	ctx, cancel := context.WithTimeout(ctx, measurementTimeout)
	defer cancel()
	command := exec.CommandContext(ctx, "go", measurement.Arguments()...)
	cores := runtime.NumCPU()
	if measurement.Cores > 0 {
		cores = measurement.Cores
		command.Env = append(os.Environ(), fmt.Sprintf("GOMAXPROCS=%d", cores))
	}
	var output bytes.Buffer
	command.Stdout = io.MultiWriter(&output, os.Stdout)
	command.Stderr = os.Stderr
	fmt.Println(measurement.Command())
	if err := command.Run(); err != nil {
		return fmt.Errorf("collect: %s: %w", measurement.Name, err)
	}
	var text strings.Builder
	fmt.Fprintf(&text, "command: %s\n", measurement.Command())
	fmt.Fprintf(&text, "date: %s\n", time.Now().UTC().Format(time.DateOnly))
	fmt.Fprintf(&text, "cores: %d, of which the benchmark's process uses %d\n", runtime.NumCPU(), cores)
	fmt.Fprintf(&text, "go: %s\n", runtime.Version())
	if note != "" {
		fmt.Fprintf(&text, "note: %s\n", note)
	}
	for line := range strings.Lines(output.String()) {
		if !strings.HasPrefix(line, "PASS") && !strings.HasPrefix(line, "ok ") {
			text.WriteString(line)
		}
	}
	path := filepath.Join(resultsFolder, measurement.Name+".txt")
	if err := os.WriteFile(path, []byte(text.String()), 0o644); err != nil {
		return fmt.Errorf("collect: write the results: %w", err)
	}
	return nil
}
